#include "report_text.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace coursepond::simulation {
namespace {

using Json = nlohmann::json;

std::string hexadecimal(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

std::string milliseconds(Duration duration) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f", static_cast<double>(duration.count()) / 1000.0);
  return text;
}

std::string command(const RunName& name, std::uint64_t seed) {
  std::string text =
      "coursepond-sim --scenario " + name.scenario + " --seed " + std::to_string(seed);
  if (!name.without.empty()) text += " --without " + name.without;
  return text;
}

std::uint64_t concluded(const RunReport& report, Conclusion conclusion) {
  const auto found = report.requests.conclusions.find(conclusion);
  return found == report.requests.conclusions.end() ? 0 : found->second;
}

std::string text(const Percentiles& percentiles) {
  return "p50=" + milliseconds(percentiles.p50) + " p99=" + milliseconds(percentiles.p99) +
         " max=" + milliseconds(percentiles.longest);
}

Json percentilesJson(const Percentiles& percentiles) {
  return {{"samples", percentiles.samples},
          {"p50", percentiles.p50.count() / 1000.0},
          {"p99", percentiles.p99.count() / 1000.0},
          {"max", percentiles.longest.count() / 1000.0}};
}

}  // namespace

std::string reportLine(const RunName& name, const RunReport& report) {
  return name.scenario + " " + report.deployment + " seed=" + std::to_string(report.seed) +
         " trace=" + hexadecimal(report.trace_hash) + " convergence_ms " +
         text(report.convergence.since_confirm) + " (after_accepted " +
         text(report.convergence.since_accepted) + ")" + " control_bytes_per_node=" +
         std::to_string(static_cast<std::uint64_t>(report.control_bytes_per_node)) + " (" +
         std::to_string(static_cast<std::uint64_t>(report.control_bytes_per_node_second)) +
         "/s) faults=" + std::to_string(report.faults.size()) +
         " accepted=" + std::to_string(report.operators.accepted) +
         " refused=" + std::to_string(report.operators.refused) +
         " unknown=" + std::to_string(report.operators.unknown) +
         " memory_losses=" + std::to_string(report.memory_losses) +
         " requests=" + std::to_string(report.requests.sent) +
         " answered=" + std::to_string(concluded(report, Conclusion::kAnswered)) +
         (report.violation ? " VIOLATION " + report.violation->promise : " ok");
}

std::string reportJson(const RunName& name, const RunReport& report) {
  Json json = {
      {"scenario", name.scenario},
      {"without", name.without},
      {"deployment", report.deployment},
      {"seed", report.seed},
      {"trace", hexadecimal(report.trace_hash)},
      {"events", report.events},
      {"faults", report.faults.size()},
      {"convergence_ms", percentilesJson(report.convergence.since_confirm)},
      {"convergence_after_accepted_ms", percentilesJson(report.convergence.since_accepted)},
      {"control_bytes_per_node", report.control_bytes_per_node},
      {"control_bytes_per_node_second", report.control_bytes_per_node_second},
      {"memory_losses", report.memory_losses},
      {"operators",
       {{"plans", report.operators.plans},
        {"plans_refused", report.operators.plans_refused},
        {"accepted", report.operators.accepted},
        {"refused", report.operators.refused},
        {"unknown", report.operators.unknown}}},
      {"requests",
       {{"sent", report.requests.sent},
        {"runs", report.requests.runs},
        {"answered", concluded(report, Conclusion::kAnswered)},
        {"not_run", concluded(report, Conclusion::kRefusedNotRun)},
        {"unknown", concluded(report, Conclusion::kUnknown)},
        {"cut", concluded(report, Conclusion::kCut)},
        {"connection_lost", concluded(report, Conclusion::kConnectionLost)},
        {"caller_left", concluded(report, Conclusion::kCallerLeft)}}}};
  if (report.violation) {
    json["violation"] = {{"promise", report.violation->promise},
                         {"detail", report.violation->detail},
                         {"repeat", command(name, report.seed)},
                         {"last_events", report.last_events}};
  }
  return json.dump();
}

std::string violationText(const RunName& name, const RunReport& report) {
  std::string text = "  broken: " + report.violation->promise + ": " + report.violation->detail +
                     "\n  repeat: " + command(name, report.seed) + "\n  faults:";
  for (const Fault& fault : report.faults) text += "\n    " + describe(fault);
  text += "\n  last events:";
  for (const std::string& event : report.last_events) text += "\n    " + event;
  return text;
}

void Totals::add(const RunReport& report) {
  ++runs_;
  violations_ += report.violation ? 1 : 0;
  requests_ += report.requests.sent;
  accepted_ += report.operators.accepted;
  convergence_.insert(convergence_.end(), report.convergence_samples.begin(),
                      report.convergence_samples.end());
  bytes_per_node_second_.push_back(report.control_bytes_per_node_second);
}

std::string Totals::text() const {
  std::vector<double> bytes = bytes_per_node_second_;
  std::sort(bytes.begin(), bytes.end());
  const double median_bytes = bytes.empty() ? 0 : bytes[bytes.size() / 2];
  return "total runs=" + std::to_string(runs_) + " violations=" + std::to_string(violations_) +
         " requests=" + std::to_string(requests_) + " accepted=" + std::to_string(accepted_) +
         " convergence_ms " + simulation::text(percentilesOf(convergence_)) +
         " control_bytes_per_node_second median=" +
         std::to_string(static_cast<std::uint64_t>(median_bytes));
}

}  // namespace coursepond::simulation
