// Compares data path policies for several nodes that share servers, and prints Markdown tables.

#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>

#include "fleet_load.h"
#include "scenarios.h"

namespace coursepond::data_path {
namespace {

void printRow(const std::string& name, const Outcome& outcome) {
  std::printf("| %s | %.1f | %.1f | %.0f of %.0f | %.2f %% | %.2f %% | %.3f | %.3f | %.0f |\n",
              name.c_str(), outcome.p50_ms, outcome.p99_ms, outcome.goodput, outcome.offered,
              100 * outcome.not_run, 100 * outcome.unknown, outcome.attempts, outcome.refusals,
              outcome.worst_second);
}

void printHeader(const std::string& title) {
  std::printf("\n**%s**\n\n", title.c_str());
  std::printf(
      "| policy | p50 ms | p99 ms | good answers/s | not run | unknown | attempts per request | "
      "refusals per request | worst second |\n|---|---|---|---|---|---|---|---|---|\n");
}

void printSeconds(const FleetOutcome& outcome) {
  std::printf("\nfraction answered in time, by second of arrival:");
  for (std::size_t second = 0; second < outcome.sent_by_second.size(); ++second) {
    const bool has_any = second < outcome.in_time_by_second.size();
    const double in_time = has_any ? outcome.in_time_by_second[second] : 0;
    std::printf(" %.2f", in_time / std::max(outcome.sent_by_second[second], 1.0));
  }
  std::printf("; crashes of cold servers: %.0f\n", outcome.cold_crashes);
}

void printFleet(const FleetScenario& scenario, const FleetPolicy& policy, std::uint64_t seed) {
  const FleetOutcome outcome = runFleet(scenario, policy, seed);
  std::printf("\n**%s**, %s, seed %llu\n\n", scenario.name.c_str(), policy.name.c_str(),
              static_cast<unsigned long long>(seed));
  std::printf(
      "earned utility %.4f, refused %.4f, late %.4f; answers \"not run\" %.0f, between hops %.0f; "
      "from "
      "another zone %.3f of the answers; calls failed %.0f; busiest server over the mean %.2f\n\n",
      outcome.earnedFraction(), outcome.refusedFraction(), outcome.lateFraction(), outcome.refusals,
      outcome.hop_refusals, outcome.remote_answers / std::max(outcome.sent(), 1.0),
      outcome.calls_failed, outcome.busiest);
  std::printf("| kind | sent | in time | late | refused | failed |\n|---|---|---|---|---|---|\n");
  for (const KindOutcome& kind : outcome.kinds) {
    if (kind.sent == 0) continue;
    std::printf("| %s | %.0f | %.3f | %.3f | %.3f | %.3f |\n", kind.name.c_str(), kind.sent,
                kind.in_time / kind.sent, kind.late / kind.sent, kind.refused / kind.sent,
                kind.failed / kind.sent);
  }
  printSeconds(outcome);
}

int run(int argc, char** argv) {
  cxxopts::Options options("coursepond-data-path", "Compares data path policies in virtual time");
  auto add = options.add_options();
  add("seeds", "number of runs per scenario (seeds 1 to N), averaged except with --fleet",
      cxxopts::value<std::uint64_t>()->default_value("3"));
  add("only", "run only scenarios whose name contains this text",
      cxxopts::value<std::string>()->default_value(""));
  add("fleet", "simulate a fleet of two-hop nodes instead, and print outcomes by kind of request");
  add("help", "print this help");
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::puts(options.help().c_str());
    return 0;
  }
  const auto seeds = arguments["seeds"].as<std::uint64_t>();
  const auto only = arguments["only"].as<std::string>();
  const auto chosen = [&only](const Scenario& scenario) {
    return scenario.name.find(only) != std::string::npos;
  };
  if (arguments.count("fleet") > 0) {
    for (const FleetScenario& scenario : fleetScenarios()) {
      if (scenario.name.find(only) == std::string::npos) continue;
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        printFleet(scenario, {"default settings"}, seed);
      }
    }
    return 0;
  }
  for (const Scenario& scenario : balancingScenarios()) {
    if (!chosen(scenario)) continue;
    printHeader(scenario.name);
    for (const Policy& policy : policies()) {
      printRow(policy.name, meanOutcome(scenario, policy, seeds));
    }
  }
  printHeader("Retries");
  for (const Scenario& scenario : retryScenarios()) {
    if (!chosen(scenario)) continue;
    printRow(scenario.name, meanOutcome(scenario, policies().back(), seeds));
  }
  return 0;
}

}  // namespace
}  // namespace coursepond::data_path

int main(int argc, char** argv) { return coursepond::data_path::run(argc, argv); }
