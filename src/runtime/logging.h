#pragma once

/// Logs state changes on standard error, as in "event=roles_changed node=a1 reader=yes". Counters
/// show how often something happens; log lines show that something has changed.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "runtime/line_writer.h"
#include "runtime/log_line.h"
#include "runtime/settings.h"
#include "runtime/token_bucket.h"

namespace coursepond::runtime {

/// Sets up the process's logging. Call once, before the first line.
void initializeLogging(const char* program, const LogSettings& settings);

/// Sets the lowest severity that is logged from now on.
void setLogLevel(LogLevel level);

/// Formats "event=x key=value key2="with blanks"". Control characters are escaped.
std::string formatLine(std::string_view event, const std::vector<LogField>& fields);

/// The queue of log lines of this process, with counts of waiting and dropped lines.
const LineWriter& standardErrorLines();

/// Writes at most a given number of lines per second. Further lines are counted, and the next line
/// that is written states how many were omitted. Never waits for the reader of standard error.
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
