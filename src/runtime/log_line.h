#pragma once

/// Parses a line of a node's log; see logging.h for how it is written.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace coursepond::runtime {

/// One "key=value" pair of a line. Must not contain the value of a secret.
struct LogField {
  std::string key;
  std::string value;
  friend bool operator==(const LogField&, const LogField&) = default;
};

struct LogLine {
  /// "20261202 11:32:18.256235", the node's local time; empty when the line has no time.
  std::string written_at;
  std::string event;
  std::vector<LogField> fields;

  /// Returns the value of the first field called `key`, if there is one.
  std::optional<std::string_view> field(std::string_view key) const;
};

/// Parses the event and the fields of a line, ignoring any prefix. Returns nothing when there is no
/// event.
std::optional<LogLine> parseLogLine(std::string_view text);

/// Returns the time of day of `line.written_at`, for computing differences between lines; zero when
/// the line has no time.
Duration timeOfDay(const LogLine& line);

}  // namespace coursepond::runtime
