#pragma once

/// One line of a node's log, read back; see logging.h for how it is written.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace coursepond::runtime {

/// One "key=value" of a line. Never give it the value of a secret.
struct LogField {
  std::string key;
  std::string value;
  friend bool operator==(const LogField&, const LogField&) = default;
};

struct LogLine {
  /// "20261202 11:32:18.256235" as the node's clock had it; empty when the line has no time.
  std::string written_at;
  std::string event;
  std::vector<LogField> fields;

  /// The value of the first field of that name, or nothing.
  std::optional<std::string_view> field(std::string_view key) const;
};

/// The line's event and fields, whatever stands before them; nothing when it has no event.
std::optional<LogLine> parseLogLine(std::string_view text);

/// The time of day of `line.written_at`, for differences between lines; zero when it has none.
Duration timeOfDay(const LogLine& line);

}  // namespace coursepond::runtime
