#pragma once

/// Writes lines to a pipe or file without ever waiting for its reader. While the reader does not
/// read, a bounded number of lines is queued; further lines are dropped and counted, and their
/// number is written once there is room again.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace coursepond::runtime {

class LineWriter {
 public:
  /// Writes to `descriptor`, which must stay open and is not closed here. Queues at most
  /// `max_lines` lines.
  LineWriter(int descriptor, std::size_t max_lines)
      : descriptor_(descriptor), max_lines_(max_lines) {}

  /// `line` must end with a line feed. A line longer than PIPE_BUF is truncated.
  void write(std::string line);
  /// Writes queued lines as long as the descriptor accepts them without waiting.
  void flush();

  std::size_t waiting() const { return lines_.size(); }
  /// Number of lines dropped because the queue was full.
  std::uint64_t dropped() const { return dropped_; }

 private:
  void enqueue(std::string line);
  void enqueueDropNotice();

  int descriptor_;
  std::size_t max_lines_;
  std::deque<std::string> lines_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_unreported_ = 0;
};

}  // namespace coursepond::runtime
