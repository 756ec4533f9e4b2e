#include "runtime/logging.h"

#include <glog/logging.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>

namespace coursepond::runtime {
namespace {

int severityOf(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return google::GLOG_INFO;
    case LogLevel::kWarning:
      return google::GLOG_WARNING;
    case LogLevel::kError:
      return google::GLOG_ERROR;
  }
  return google::GLOG_INFO;
}

/// Number of lines queued while the reader of standard error does not read.
constexpr std::size_t kMaxQueuedLines = 1000;

LineWriter& standardError() {
  static LineWriter writer(STDERR_FILENO, kMaxQueuedLines);
  return writer;
}

/// Receives glog's finished messages, so that glog itself never writes to standard error, which
/// could block.
class StandardErrorSink final : public google::LogSink {
 public:
  void send(google::LogSeverity severity, const char* /*full_filename*/, const char* base_filename,
            int line, const google::LogMessageTime& time, const char* message,
            std::size_t length) override {
    standardError().write(ToString(severity, base_filename, line, time, message, length) + "\n");
  }
};

bool needsQuotes(const std::string& value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char character) {
           return character <= ' ' || character == '"' || character == '=' || character == 0x7F;
         });
}

std::string quotedValue(const std::string& value) {
  constexpr char kHexDigits[] = "0123456789abcdef";
  std::string text = "\"";
  for (const char character : value) {
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      text += '\\';
      text += character;
    } else if (std::iscntrl(byte) != 0) {
      text += "\\x";
      text += kHexDigits[byte >> 4];
      text += kHexDigits[byte & 0xF];
    } else {
      text += character;
    }
  }
  return text + "\"";
}

}  // namespace

void initializeLogging(const char* program, const LogSettings& settings) {
  FLAGS_logtostderr = true;  // The machines have no disks.
  setLogLevel(settings.level);
  if (!google::IsGoogleLoggingInitialized()) google::InitGoogleLogging(program);
}

const LineWriter& standardErrorLines() { return standardError(); }

void setLogLevel(LogLevel level) { FLAGS_minloglevel = severityOf(level); }

std::string formatLine(std::string_view event, const std::vector<LogField>& fields) {
  std::string line = "event=" + std::string(event);
  for (const LogField& field : fields) {
    line += " " + field.key + "=";
    line += needsQuotes(field.value) ? quotedValue(field.value) : field.value;
  }
  return line;
}

void StateLog::write(LogLevel level, TimePoint now, std::string_view event,
                     const std::vector<LogField>& fields) {
  if (!bucket_.take(now)) {
    ++suppressed_;
    ++suppressed_in_a_row_;
    return;
  }
  std::string line = formatLine(event, fields);
  if (suppressed_in_a_row_ > 0) {
    line += " suppressed_before=" + std::to_string(suppressed_in_a_row_);
    suppressed_in_a_row_ = 0;
  }
  ++written_;
  static StandardErrorSink sink;
  google::LogMessage("state", 0, severityOf(level), &sink, false).stream() << line;
}

}  // namespace coursepond::runtime
