#pragma once

/// Lines on standard error for changes of state: "event=roles_changed node=a1 reader=yes". Counters
/// tell how often things happen; lines tell that something is different now.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "runtime/line_writer.h"
#include "runtime/log_line.h"
#include "runtime/settings.h"
#include "runtime/token_bucket.h"

namespace coursepond::runtime {

/// Prepares the process's logging; once, before the first line.
void initializeLogging(const char* program, const LogSettings& settings);

/// The least severe lines that are written from now on.
void setLogLevel(LogLevel level);

/// "event=x key=value key2="with blanks""; control characters are escaped.
std::string formatLine(std::string_view event, const std::vector<LogField>& fields);

/// Lines of this process that wait for the reader of its standard error, and those dropped.
const LineWriter& standardErrorLines();

/// Writes lines, at most so many per second; what exceeds it is counted, and the next line that is
/// written says how many were left out. Never waits for the reader of standard error.
class StateLog {
 public:
  explicit StateLog(std::uint32_t lines_per_second) : bucket_(lines_per_second) {}

  void write(LogLevel level, TimePoint now, std::string_view event,
             const std::vector<LogField>& fields);

  void setLimit(std::uint32_t lines_per_second) { bucket_ = TokenBucket(lines_per_second); }

  std::uint64_t written() const { return written_; }
  std::uint64_t suppressed() const { return suppressed_; }

 private:
  TokenBucket bucket_;
  std::uint64_t written_ = 0;
  std::uint64_t suppressed_ = 0;
  std::uint64_t suppressed_in_a_row_ = 0;
};

}  // namespace coursepond::runtime
