#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <cstring>
#include <string_view>
#include <vector>

namespace coursepond::runtime {

/// Received bytes that are not consumed yet. Starts small and grows up to a fixed bound, whatever
/// the sender does.
class ReceiveBuffer {
 public:
  explicit ReceiveBuffer(std::size_t bound) : bound_(bound) {}

  std::string_view data() const { return {bytes_.data() + begin_, end_ - begin_}; }
  bool empty() const { return begin_ == end_; }
  /// Whether there is no room until some bytes are consumed.
  bool full() const { return end_ - begin_ >= bound_; }

  /// Returns free space for received bytes. Empty when the buffer is full.
  boost::asio::mutable_buffer prepare() {
    if (begin_ == end_) begin_ = end_ = 0;
    if (was_filled_ || bytes_.size() - end_ < kMinFreeBytes) makeRoom();
    return boost::asio::buffer(bytes_.data() + end_, bytes_.size() - end_);
  }
  void commit(std::size_t size) {
    end_ += size;
    was_filled_ = end_ == bytes_.size();
  }
  void consume(std::size_t size) { begin_ += size; }
  void clear() { begin_ = end_ = 0; }

 private:
  static constexpr std::size_t kInitialBytes = 4096;
  static constexpr std::size_t kMinFreeBytes = 1024;

  void makeRoom() {
    if (begin_ > 0) {
      std::memmove(bytes_.data(), bytes_.data() + begin_, end_ - begin_);
      end_ -= begin_;
      begin_ = 0;
    }
    const bool has_room = !was_filled_ && bytes_.size() - end_ >= kMinFreeBytes;
    was_filled_ = false;
    if (has_room || bytes_.size() >= bound_) return;
    bytes_.resize(std::min(bound_, std::max(kInitialBytes, bytes_.size() * 2)));
  }

  std::size_t bound_;
  std::vector<char> bytes_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  bool was_filled_ = false;  ///< The last read used all free space, so the next one may be larger.
};

}  // namespace coursepond::runtime
