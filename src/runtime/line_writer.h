#pragma once

/// Writes lines to a pipe or file without ever waiting for its reader: while the reader stands
/// still, a bounded number of lines is kept, and what exceeds it is counted and told later.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace coursepond::runtime {

class LineWriter {
 public:
  /// Writes to `descriptor`, which stays open and is not closed here. Keeps `lines_kept` at most.
  LineWriter(int descriptor, std::size_t lines_kept)
      : descriptor_(descriptor), lines_kept_(lines_kept) {}

  /// `line` ends with a line feed. One that is longer than a pipe takes at once is cut.
  void write(std::string line);
  /// Writes what is kept, as far as the reader makes room.
  void flush();

  std::size_t waiting() const { return lines_.size(); }
  /// Lines left out because too many were waiting.
  std::uint64_t dropped() const { return dropped_; }

 private:
  void keep(std::string line);
  void tellDropped();

  int descriptor_;
  std::size_t lines_kept_;
  std::deque<std::string> lines_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_untold_ = 0;
};

}  // namespace coursepond::runtime
