#include "runtime/request_body.h"

#include "runtime/buffer_memory.h"

namespace coursepond::runtime {

void RequestBody::add(std::string_view piece) {
  received_ += piece.size();
  if (is_kept_ && received_ > settings_.replay_bytes) drop();
  if (is_kept_) {
    bytes_.append(piece);
  } else if (unkept_digest_) {
    unkept_digest_->add(piece);
  }
}

void RequestBody::drop() {
  is_kept_ = false;
  if (settings_.digests_unkept) unkept_digest_.emplace().add(bytes_);
  clearBuffer(bytes_);
}

std::optional<Digest> RequestBody::digest() const {
  if (is_kept_) return Digest::of(bytes_);
  if (unkept_digest_) return unkept_digest_->digest();
  return std::nullopt;
}

void RequestBody::clear() {
  clearBuffer(bytes_);
  unkept_digest_.reset();
  received_ = 0;
  is_kept_ = true;
}

}  // namespace coursepond::runtime
