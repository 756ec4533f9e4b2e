#pragma once

/// Frames of the protocol between nodes: a four-byte length in big-endian order, followed by that
/// many bytes of payload.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "core/error.h"

namespace coursepond::runtime {

inline constexpr std::size_t kFrameHeaderSize = 4;

/// Free space in a receive buffer.
struct FrameSpace {
  char* data;
  std::size_t size;
};

/// Appends one frame with `payload` to `output`.
void appendFrame(std::string& output, std::string_view payload);

/// Splits a byte stream into frames. Memory use grows with the bytes received, never with a length
/// that was only announced.
class FrameDecoder {
 public:
  /// A frame whose payload is longer than `frame_limit` bytes is rejected.
  explicit FrameDecoder(std::size_t frame_limit) : frame_limit_(frame_limit) {}

  /// Returns free space for received bytes. It is valid until the next call of any function.
  FrameSpace prepare();
  /// Call when `size` bytes of that space have been filled.
  void commit(std::size_t size);

  /// Returns the next complete payload, valid until prepare() is called, or nothing while it is
  /// incomplete. Returns kTooLarge, permanently, once a frame larger than the limit was announced.
  Result<std::optional<std::string_view>> next();

  /// Whether a part of an incomplete frame has been received.
  bool insideFrame() const { return end_ > begin_; }

 private:
  /// Returns the payload length of the frame at begin_, if its header is complete.
  std::optional<std::size_t> announcedLength() const;

  std::size_t frame_limit_;
  std::string buffer_;
  std::size_t begin_ = 0;  ///< Offset of the first byte not yet consumed.
  std::size_t end_ = 0;    ///< Offset after the last received byte.
};

}  // namespace coursepond::runtime
