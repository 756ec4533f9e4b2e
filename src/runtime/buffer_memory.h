#pragma once

/// Limits the memory that idle buffers keep.

#include <cstddef>
#include <string>

namespace coursepond::runtime {

/// Capacity that a buffer keeps for the next message. Most messages fit; a connection that carried
/// one large answer must not hold its memory for as long as it is open.
inline constexpr std::size_t kKeptBufferBytes = std::size_t{8} * 1024;

/// Clears `buffer`, and releases its memory if that is larger than most messages need.
inline void clearBuffer(std::string& buffer) {
  if (buffer.capacity() > kKeptBufferBytes) {
    std::string().swap(buffer);
  } else {
    buffer.clear();
  }
}

}  // namespace coursepond::runtime
