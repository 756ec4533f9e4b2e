#include "fleet_load.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace coursepond::data_path {
namespace {

constexpr std::uint64_t kSeeds = 2;

const FleetScenario& scenarioNamed(const std::vector<FleetScenario>& scenarios,
                                   const std::string& name) {
  const auto found =
      std::find_if(scenarios.begin(), scenarios.end(),
                   [&name](const FleetScenario& scenario) { return scenario.name == name; });
  REQUIRE(found != scenarios.end());
  return *found;
}

struct Means {
  double earned = 0;
  double late = 0;
  double refused = 0;
  double calls_failed = 0;
  double remote_to_callers = 0;
  double remote = 0;  ///< Answers from other zones per request.
};

Means runScenario(const std::string& name) {
  const std::vector<FleetScenario> scenarios = fleetScenarios();
  Means means;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const FleetOutcome outcome = runFleet(scenarioNamed(scenarios, name), {"default"}, seed);
    means.earned += outcome.earnedFraction() / kSeeds;
    means.late += outcome.lateFraction() / kSeeds;
    means.refused += outcome.refusedFraction() / kSeeds;
    means.calls_failed += outcome.calls_failed / kSeeds;
    means.remote_to_callers += outcome.remote_to_callers / outcome.sent() / kSeeds;
    means.remote += outcome.remote_answers / outcome.sent() / kSeeds;
  }
  return means;
}

}  // namespace

TEST_CASE("two runs with the same seed have the same outcome") {
  FleetScenario scenario = fleetScenarios().back();
  scenario.length = std::chrono::seconds(2);
  const FleetOutcome first = runFleet(scenario, {"default"}, 7);
  const FleetOutcome again = runFleet(scenario, {"default"}, 7);
  CHECK(first.sent() > 100);
  CHECK(first.earnedFraction() == again.earnedFraction());
  CHECK(first.hop_refusals == again.hop_refusals);
}

// Guards against requests that queue at full servers, or are refused by two of them, while other
// servers have free slots. In a large fleet, an egress receives the load of each server only once
// every few seconds, so its choice is often stale. It must therefore ask up to four ingresses for a
// free slot and then wait in the shortest of their queues, rather than give up after two refusals.
TEST_CASE("requests find free slots during bursts of load") {
  const Means lookups = runScenario("lookups, two bursts");
  CHECK(lookups.earned > 0.865);
  CHECK(lookups.late < 0.08);
  const Means gone = runScenario("lookups, a quarter of the servers gone");
  CHECK(gone.earned > 0.908);
  CHECK(gone.late < 0.07);
  const Means downloads = runScenario("downloads, a long burst");
  CHECK(downloads.earned > 0.89);
  CHECK(downloads.late < 0.1);
  const Means transfers = runScenario("transfers, two bursts");
  CHECK(transfers.earned > 0.705);
}

// A server that rejects half of its requests has free slots when others don't, so that requests
// that look for a free slot find it first. Each rejection uses up retry budget, and a grant fails
// if one of its calls is rejected.
TEST_CASE("servers that reject many requests are used only when no other server is available") {
  const Means rejecting = runScenario("downloads, a quarter of a service's servers reject half");
  CHECK(rejecting.earned > 0.955);
  CHECK(rejecting.calls_failed < 300);
}

// Traffic between zones costs money. Limits the answers from other zones to callers, and to callers
// and servers together. Calls that servers make while running a request select servers by cost.
TEST_CASE("requests prefer free slots in their own zone") {
  const Means bursts = runScenario("lookups, two bursts");
  CHECK(bursts.remote_to_callers < 0.12);
  CHECK(bursts.remote < 0.16);
  const Means usual = runScenario("lookups, usual load");
  CHECK(usual.remote_to_callers < 0.04);
  CHECK(usual.remote < 0.08);
  CHECK(usual.earned > 0.965);
}

// All machines lose power and all servers restart cold. If nodes send them as many requests as they
// have slots, the servers crash, restart cold and crash again. With the limit for cold servers none
// of them crashes, and the fleet is back to normal four seconds after the loss.
TEST_CASE("a fleet that restarts cold serves what cold servers sustain, and recovers when warm") {
  const std::vector<FleetScenario> scenarios = fleetScenarios();
  const FleetScenario& loss = scenarioNamed(scenarios, "grants, all servers lose power");
  const FleetOutcome outcome = runFleet(loss, {"default"}, 1);
  CHECK(outcome.cold_crashes == 0);
  CHECK(outcome.earnedFraction() > 0.85);
  const auto inTime = [&](std::size_t second) {
    return outcome.in_time_by_second.at(second) / outcome.sent_by_second.at(second);
  };
  CHECK(inTime(7) > 0.15);
  CHECK(inTime(10) > 0.88);

  FleetPolicy unbounded{"unbounded"};
  unbounded.has_cold_rate = false;
  const FleetOutcome overloaded = runFleet(loss, unbounded, 1);
  CHECK(overloaded.cold_crashes > 100);
  CHECK(overloaded.earnedFraction() < 0.6);
}

}  // namespace coursepond::data_path
