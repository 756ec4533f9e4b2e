#include "runtime/peer_frame.h"

#include <algorithm>
#include <cstdint>
#include <cstring>

namespace coursepond::runtime {
namespace {

/// Lower and upper bound for the size of one read. Most messages are short and a node has many
/// connections, so the lower bound is small.
constexpr std::size_t kMinReadBytes = 1024;
constexpr std::size_t kMaxReadBytes = 256UL * 1024;
/// Larger buffers are released once they are empty.
constexpr std::size_t kMaxIdleBufferBytes = 8UL * 1024;

}  // namespace

void appendFrame(std::string& output, std::string_view payload) {
  const auto length = static_cast<std::uint32_t>(payload.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    output.push_back(static_cast<char>((length >> shift) & 0xFF));
  }
  output.append(payload);
}

std::optional<std::size_t> FrameDecoder::announcedLength() const {
  if (end_ - begin_ < kFrameHeaderSize) return std::nullopt;
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFrameHeaderSize; ++i) {
    length = (length << 8) | static_cast<unsigned char>(buffer_[begin_ + i]);
  }
  return length;
}

FrameSpace FrameDecoder::prepare() {
  if (begin_ > 0) {
    std::memmove(buffer_.data(), buffer_.data() + begin_, end_ - begin_);
    end_ -= begin_;
    begin_ = 0;
  }
  std::size_t wanted = kMinReadBytes;
  if (const std::optional<std::size_t> length = announcedLength()) {
    const std::size_t whole = kFrameHeaderSize + std::min(*length, frame_limit_);
    const std::size_t missing = whole > end_ ? whole - end_ : 0;
    wanted = std::clamp(missing, kMinReadBytes, kMaxReadBytes);
  }
  if (end_ == 0 && buffer_.size() > kMaxIdleBufferBytes) std::string().swap(buffer_);
  if (buffer_.size() < end_ + wanted) buffer_.resize(end_ + wanted);
  return FrameSpace{buffer_.data() + end_, buffer_.size() - end_};
}

void FrameDecoder::commit(std::size_t size) { end_ += size; }

Result<std::optional<std::string_view>> FrameDecoder::next() {
  const std::optional<std::size_t> length = announcedLength();
  if (!length) return std::optional<std::string_view>();
  if (*length > frame_limit_) {
    return Error{
        ErrorKind::kTooLarge,
        "a frame of " + std::to_string(*length) + " bytes was announced, which exceeds the limit",
        "raise peer.frame_limit_bytes (now " + std::to_string(frame_limit_) +
            ") on every node, if the sender is a node of this mesh"};
  }
  if (end_ - begin_ < kFrameHeaderSize + *length) return std::optional<std::string_view>();
  const std::string_view payload(buffer_.data() + begin_ + kFrameHeaderSize, *length);
  begin_ += kFrameHeaderSize + *length;
  return std::optional<std::string_view>(payload);
}

}  // namespace coursepond::runtime
