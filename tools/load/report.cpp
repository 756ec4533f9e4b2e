#include "report.h"

#include <array>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace coursepond::load {

using nlohmann::json;

namespace {

struct NamedQuantile {
  const char* name;
  double quantile;
};

constexpr std::array kPercentiles{NamedQuantile{"p50", 0.5}, NamedQuantile{"p90", 0.9},
                                  NamedQuantile{"p99", 0.99}, NamedQuantile{"p99.9", 0.999}};

struct NamedCount {
  const char* name;
  std::uint64_t count;
};

std::array<NamedCount, 6> violationCounts(const Verification& verification) {
  return {NamedCount{"lost", verification.lost},
          NamedCount{"doubled", verification.doubled},
          NamedCount{"not_run_ran", verification.not_run_ran},
          NamedCount{"mixed_up", verification.mixed_up},
          NamedCount{"short", verification.short_answers},
          NamedCount{"version_regressions", verification.version_regressions}};
}

void writeLatencies(std::ostream& out, const char* name, const LatencyHistogram& latency) {
  if (latency.count() == 0) return;
  const auto print = [&](const char* label, Duration value) {
    out << "  " << label << ' ' << std::fixed << std::setprecision(2)
        << static_cast<double>(value.count()) / 1000.0 << " ms";
  };
  out << name;
  for (const NamedQuantile& percentile : kPercentiles) {
    print(percentile.name, latency.percentile(percentile.quantile));
  }
  print("max", latency.max());
  out << '\n';
}

json latencyJson(const LatencyHistogram& latency) {
  json object{{"count", latency.count()}, {"max", latency.max().count()}};
  for (const NamedQuantile& percentile : kPercentiles) {
    object[percentile.name] = latency.percentile(percentile.quantile).count();
  }
  return object;
}

}  // namespace

std::string formatReport(const RunResult& result, const Verification& verification,
                         bool journals_checked) {
  std::ostringstream out;
  out << result.records.size() << " requests over " << result.connections_opened << " connections, "
      << result.failovers << " sent to another node\n";
  for (const Outcome outcome : kOutcomes) {
    const std::uint64_t count = result.count(outcome);
    if (count == 0) continue;
    out << "  " << outcomeName(outcome) << ": " << count << '\n';
    const auto reasons = result.reasons.find(outcome);
    if (reasons == result.reasons.end()) continue;
    for (const auto& [reason, number] : reasons->second) {
      out << "    " << reason << ": " << number << '\n';
    }
  }
  writeLatencies(out, "latency of answers:", result.answered_latency);
  writeLatencies(out, "latency of the others:", result.other_latency);
  for (const auto& [target, seen] : result.versions) {
    out << "  " << target << " served versions " << seen.lowest << " to " << seen.highest << '\n';
  }
  out << "checked " << (journals_checked ? "against the journals:" : "without journals:");
  for (const NamedCount& violation : violationCounts(verification)) {
    out << ' ' << violation.name << ' ' << violation.count;
  }
  out << '\n';
  for (const std::string& example : verification.examples) out << "  " << example << '\n';
  return out.str();
}

std::string formatJsonReport(const RunResult& result, const Verification& verification,
                             bool journals_checked) {
  json outcomes = json::object();
  json reasons = json::object();
  for (const Outcome outcome : kOutcomes) {
    outcomes[std::string(outcomeName(outcome))] = result.count(outcome);
  }
  for (const auto& [outcome, counts] : result.reasons) {
    reasons[std::string(outcomeName(outcome))] = counts;
  }
  json versions = json::object();
  for (const auto& [target, seen] : result.versions) {
    versions[target] = {seen.lowest.value(), seen.highest.value()};
  }
  json violations = json::object();
  for (const NamedCount& violation : violationCounts(verification)) {
    violations[violation.name] = violation.count;
  }
  return json{{"requests", result.records.size()},
              {"connections_opened", result.connections_opened},
              {"failovers", result.failovers},
              {"outcomes", std::move(outcomes)},
              {"reasons", std::move(reasons)},
              {"answered_latency_us", latencyJson(result.answered_latency)},
              {"other_latency_us", latencyJson(result.other_latency)},
              {"versions", std::move(versions)},
              {"journals_checked", journals_checked},
              {"violations", std::move(violations)},
              {"examples", verification.examples}}
      .dump();
}

}  // namespace coursepond::load
