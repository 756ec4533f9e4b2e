#include "runtime/log_line.h"

#include <algorithm>
#include <charconv>
#include <regex>

namespace coursepond::runtime {
namespace {

constexpr std::string_view kEventKey = "event=";

/// Removes and returns one value from the front of `rest`: up to a space, or quoted as
/// quotedValue() writes it.
std::string takeValue(std::string_view& rest) {
  if (!rest.starts_with('"')) {
    const std::size_t end = std::min(rest.find(' '), rest.size());
    std::string value(rest.substr(0, end));
    rest.remove_prefix(end);
    return value;
  }
  std::string value;
  std::size_t index = 1;
  while (index < rest.size() && rest[index] != '"') {
    if (rest[index] == '\\' && index + 1 < rest.size() && rest[index + 1] != 'x') ++index;
    value += rest[index++];
  }
  rest.remove_prefix(std::min(index + 1, rest.size()));
  return value;
}

std::string timeIn(std::string_view prefix) {
  static const std::regex pattern(R"((\d{8} \d\d:\d\d:\d\d\.\d{6}))");
  std::match_results<std::string_view::const_iterator> found;
  if (!std::regex_search(prefix.begin(), prefix.end(), found, pattern)) return {};
  return found[1].str();
}

std::int64_t numberAt(const std::string& text, std::size_t start, std::size_t length) {
  std::int64_t number = 0;
  std::from_chars(text.data() + start, text.data() + start + length, number);
  return number;
}

}  // namespace

std::optional<std::string_view> LogLine::field(std::string_view key) const {
  const auto found = std::find_if(fields.begin(), fields.end(),
                                  [key](const LogField& field) { return field.key == key; });
  if (found == fields.end()) return std::nullopt;
  return found->value;
}

std::optional<LogLine> parseLogLine(std::string_view text) {
  const std::size_t start = text.find(kEventKey);
  if (start == std::string_view::npos) return std::nullopt;
  LogLine line;
  line.written_at = timeIn(text.substr(0, start));
  std::string_view rest = text.substr(start);
  while (rest.ends_with('\n') || rest.ends_with('\r')) rest.remove_suffix(1);
  while (!rest.empty()) {
    const std::size_t equals = rest.find('=');
    if (equals == std::string_view::npos) break;
    std::string key(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    line.fields.push_back({std::move(key), takeValue(rest)});
    while (rest.starts_with(' ')) rest.remove_prefix(1);
  }
  line.event = line.fields.front().value;
  line.fields.erase(line.fields.begin());
  return line;
}

Duration timeOfDay(const LogLine& line) {
  constexpr std::size_t kHours = 9, kMinutes = 12, kSeconds = 15, kMicroseconds = 18, kLength = 24;
  if (line.written_at.size() != kLength) return Duration(0);
  return std::chrono::hours(numberAt(line.written_at, kHours, 2)) +
         std::chrono::minutes(numberAt(line.written_at, kMinutes, 2)) +
         std::chrono::seconds(numberAt(line.written_at, kSeconds, 2)) +
         std::chrono::microseconds(numberAt(line.written_at, kMicroseconds, 6));
}

}  // namespace coursepond::runtime
