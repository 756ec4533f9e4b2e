#include "process/load_process.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace coursepond::process_tests {

using nlohmann::json;

namespace {

constexpr char kReportFile[] = "load.json";

std::string join(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) text += (text.empty() ? "" : ",") + part;
  return text;
}

std::vector<std::string> makeArguments(const LoadPlan& plan) {
  std::vector<std::string> targets;
  for (const Address& target : plan.targets) targets.push_back(formatAddress(target));
  return {"--targets",
          join(targets),
          "--journal-file",
          join(plan.journal_files),
          "--rate",
          std::to_string(plan.rate),
          "--duration-ms",
          std::to_string(toMilliseconds(plan.duration)),
          "--journal-delay-ms",
          "500",
          "--request",
          "6 GET process.example /lookup?size=300",
          "--request",
          "1 GET process.example /large?size=70000",
          "--request",
          "1 GET process.example /stream?size=20000&chunked=1",
          "--request",
          "1 GET process.example /slow?time_ms=400&size=100",
          "--request",
          "3 POST process.example /once?size=100 once",
          "--json"};
}

}  // namespace

LoadProcess::LoadProcess(const TestFolder& folder, const LoadPlan& plan)
    : folder_(folder),
      duration_(plan.duration),
      process_("coursepond-load", makeArguments(plan), folder.file(kReportFile)) {}

LoadResult LoadProcess::finish() {
  constexpr Duration kExitTimeout = std::chrono::seconds(40);
  const auto status = process_.waitForExit(duration_ + kExitTimeout);
  if (!status) throw std::runtime_error("coursepond-load did not exit in time");
  LoadResult result;
  result.exit_status = *status;
  result.report = folder_.read(kReportFile);
  const json report = json::parse(result.report, nullptr, false);
  if (!report.is_object())
    throw std::runtime_error("coursepond-load printed no JSON report: " + result.report);
  const json& outcomes = report.at("outcomes");
  result.requests = report.at("requests");
  result.answered = outcomes.at("answered");
  result.not_run = outcomes.at("not_run");
  result.unknown = outcomes.at("unknown");
  result.cut = outcomes.at("cut");
  result.no_answer = outcomes.at("no_answer");
  result.not_sent = outcomes.at("not_sent");
  for (const auto& [name, count] : report.at("violations").items()) {
    result.violations += count.get<std::uint64_t>();
  }
  return result;
}

}  // namespace coursepond::process_tests
