#include "cli/explain_command.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/options.h"
#include "cli/request_story.h"
#include "runtime/logging.h"

namespace coursepond::cli {
namespace {

constexpr char kExamples[] =
    "  coursepond explain --request 9c41d07be2a35f68 node-a.log node-b.log\n"
    "  cat *.log | coursepond explain --request 9c41d07be2a35f68 -\n";
constexpr char kStandardInput[] = "-";
constexpr char kAroundDefault[] = "1000";

/// Reads all logs. If one cannot be read, reports it and returns false.
bool readLogs(const std::vector<std::string>& paths, RequestTimeline& timeline,
              std::ostream& error) {
  for (const std::string& path : paths) {
    if (path == kStandardInput) {
      timeline.read(std::cin);
      continue;
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
      error << "coursepond explain: cannot read '" << path
            << "' (remedy: pass a log that exists and is readable, or - for standard input)\n";
      return false;
    }
    timeline.read(file);
  }
  return true;
}

void printText(const RequestTimeline& timeline, std::ostream& out) {
  const std::vector<TimelineEntry> lines = timeline.lines();
  const Duration start = runtime::timeOfDay(lines.front().line);
  for (const TimelineEntry& entry : lines) {
    const double offset =
        std::chrono::duration<double, std::milli>(runtime::timeOfDay(entry.line) - start).count();
    out << std::fixed << std::setprecision(1) << std::setw(9) << offset << " ms "
        << (entry.is_decision ? "* " : "  ")
        << runtime::formatLine(entry.line.event, entry.line.fields) << "\n";
  }
  const Conclusion conclusion = timeline.conclusion();
  out << "outcome: " << conclusion.outcome << "\n";
  if (conclusion.reason.empty()) return;
  out << "reason:  " << conclusion.reason;
  if (!conclusion.meaning.empty()) out << ": " << conclusion.meaning;
  out << "\n";
  if (!conclusion.look_at.empty()) out << "look at: " << conclusion.look_at << "\n";
}

void printJson(const RequestTimeline& timeline, std::ostream& out) {
  nlohmann::json lines = nlohmann::json::array();
  for (const TimelineEntry& entry : timeline.lines()) {
    nlohmann::json fields = nlohmann::json::object();
    for (const runtime::LogField& field : entry.line.fields) fields[field.key] = field.value;
    lines.push_back({{"written_at", entry.line.written_at},
                     {"event", entry.line.event},
                     {"is_decision", entry.is_decision},
                     {"fields", std::move(fields)}});
  }
  const Conclusion conclusion = timeline.conclusion();
  const nlohmann::json report = {{"lines", std::move(lines)},
                                 {"outcome", conclusion.outcome},
                                 {"reason", conclusion.reason},
                                 {"meaning", conclusion.meaning},
                                 {"look_at", conclusion.look_at}};
  out << report.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
}

ExitCode run(const Arguments& arguments, Streams streams) {
  cxxopts::Options options("coursepond explain",
                           "Traces one request through the logs of the nodes that handled it");
  options.add_options()("request", "The request's id", cxxopts::value<std::string>(), "ID")(
      "around-ms", "Also show state changes of these nodes up to this long before",
      cxxopts::value<std::int64_t>()->default_value(kAroundDefault),
      "MS")("json", "Print JSON")("log", "Logs to read, or - for standard input",
                                  cxxopts::value<std::vector<std::string>>(), "LOG...");
  options.parse_positional({"log"});
  options.positional_help("LOG...");
  const cxxopts::ParseResult parsed = parseArguments(options, arguments);
  if (helpWasPrinted(parsed, options, kExamples, streams.out)) return ExitCode::kOk;
  if (parsed.count("request") == 0 || parsed.count("log") == 0) {
    streams.error << "coursepond explain: no request or no log is specified (remedy: coursepond "
                     "explain --request ID LOG...)\n";
    return ExitCode::kUsage;
  }
  const auto request = parsed["request"].as<std::string>();
  RequestTimeline timeline(request,
                           std::chrono::milliseconds(parsed["around-ms"].as<std::int64_t>()));
  if (!readLogs(parsed["log"].as<std::vector<std::string>>(), timeline, streams.error)) {
    return ExitCode::kUsage;
  }
  if (!timeline.isFound()) {
    streams.error << "coursepond explain: no log line found for request '" << request
                  << "' (remedy: read the logs of all nodes; successful requests are logged "
                     "only with log.decisions = \"all\"; see suppressed_before for omitted "
                     "lines)\n";
    return ExitCode::kRefused;
  }
  parsed.count("json") > 0 ? printJson(timeline, streams.out) : printText(timeline, streams.out);
  return ExitCode::kOk;
}

}  // namespace

Command explainCommand() {
  return Command{"explain", "Traces one request through the logs of several nodes", kExamples, run};
}

}  // namespace coursepond::cli
