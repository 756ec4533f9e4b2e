#include "runtime/request_body.h"

#include <utility>

#include "runtime/buffer_memory.h"

namespace coursepond::runtime {

void RequestBody::add(std::string_view piece) {
  received_ += piece.size();
  const bool may_keep = is_held_ || received_ <= settings_.replay_bytes;
  if (is_kept_ && !may_keep) drop();
  if (is_kept_) {
    bytes_.append(piece);
    if (!is_held_) return;
    held_bytes_ += piece.size();
    budget_->add(piece.size());
  } else if (unkept_digest_) {
    unkept_digest_->add(piece);
  }
}

void RequestBody::beginHold() {
  if (std::exchange(is_held_, true)) return;
  held_bytes_ += bytes_.size();
  budget_->add(bytes_.size());
}

bool RequestBody::mayHoldMore() const {
  return is_kept_ && bytes_.size() <= settings_.max_held_bytes && !budget_->isExhausted();
}

void RequestBody::drop() {
  if (!std::exchange(is_kept_, false)) return;
  release();
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
  release();
  unkept_digest_.reset();
  received_ = 0;
  is_kept_ = true;
  is_held_ = false;
}

}  // namespace coursepond::runtime
