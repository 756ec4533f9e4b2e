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
  double remote = 0;  ///< Answers from other zones, of what was asked.
};

Means play(const std::string& name) {
  const std::vector<FleetScenario> scenarios = fleetScenarios();
  Means means;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const FleetOutcome outcome = playFleet(scenarioNamed(scenarios, name), {"default"}, seed);
    means.earned += outcome.earnedPart() / kSeeds;
    means.late += outcome.latePart() / kSeeds;
    means.refused += outcome.refusedPart() / kSeeds;
    means.calls_failed += outcome.calls_failed / kSeeds;
    means.remote_to_callers += outcome.remote_to_callers / outcome.asked() / kSeeds;
    means.remote += outcome.remote_answers / outcome.asked() / kSeeds;
  }
  return means;
}

}  // namespace

TEST_CASE("a run follows from its seed") {
  FleetScenario scenario = fleetScenarios().back();
  scenario.length = std::chrono::seconds(2);
  const FleetOutcome first = playFleet(scenario, {"default"}, 7);
  const FleetOutcome again = playFleet(scenario, {"default"}, 7);
  CHECK(first.asked() > 100);
  CHECK(first.earnedPart() == again.earnedPart());
  CHECK(first.hop_refusals == again.hop_refusals);
}

// Requests waited at full servers, or were refused after two of them, while others had free slots:
// an egress of a large fleet hears of each server once in seconds. Two refusals ended a request
// (before); now four ingresses are asked for a free slot and the request waits at the shortest
// queue of these. Mean of the seeds 1 and 2, earned part of the worth, late and refused parts:
//                                            before                 now
//   lookups, two bursts                      0.857 0.101 0.071      0.875 0.074 0.069
//   lookups, a quarter of the servers gone   0.897 0.086 0.035      0.917 0.059 0.032
//   downloads, a long burst                  0.876 0.127 0.047      0.895 0.094 0.046
//   transfers, two bursts                    0.697 0.183 0.130      0.726 0.162 0.119
TEST_CASE("in bursts of load, requests find the slots that are free") {
  const Means lookups = play("lookups, two bursts");
  CHECK(lookups.earned > 0.865);
  CHECK(lookups.late < 0.08);
  const Means gone = play("lookups, a quarter of the servers gone");
  CHECK(gone.earned > 0.908);
  CHECK(gone.late < 0.07);
  const Means downloads = play("downloads, a long burst");
  CHECK(downloads.earned > 0.89);
  CHECK(downloads.late < 0.1);
  const Means transfers = play("transfers, two bursts");
  CHECK(transfers.earned > 0.705);
}

// A server that rejects half of what it gets is free when others are not, so that asks for a free
// slot found it first: each rejection uses up repeats, and a grant fails with its rejected call.
// Before, 0.946 of the worth and 598 failed calls (mean of the seeds 1 to 3); now (seeds 1 and 2)
// 0.965 and 157.
TEST_CASE("servers that reject much of what they get are left to those that find no other") {
  const Means rejecting = play("downloads, a quarter of a service's servers reject half");
  CHECK(rejecting.earned > 0.955);
  CHECK(rejecting.calls_failed < 300);
}

// Bytes between zones are paid for. Answers from other zones to callers, and in all with those to
// calls of running work, which choose by cost as before. In all before: 0.26 of the requests in the
// bursts of the lookups and 0.08 at their usual load, now 0.13 and 0.07.
TEST_CASE("the own zone's slots are asked for first") {
  const Means bursts = play("lookups, two bursts");
  CHECK(bursts.remote_to_callers < 0.12);
  CHECK(bursts.remote < 0.16);
  const Means usual = play("lookups, usual load");
  CHECK(usual.remote_to_callers < 0.04);
  CHECK(usual.remote < 0.08);
  CHECK(usual.earned > 0.965);
}

// All machines lost power. The servers came back cold, were sent what their slots took, crashed,
// came back cold and crashed again: 444 times in the 14 s after the loss, in which a fifth of the
// requests was in time (before). Now none crashes, and four seconds after the loss the
// fleet is whole again. Mean of the seeds 1 to 3: 0.463 of the worth before, 0.866 now; 0.904 if
// servers never crashed, which no decision can reach.
TEST_CASE("a fleet that starts cold serves what it bears, and is whole again when it is warm") {
  const std::vector<FleetScenario> scenarios = fleetScenarios();
  const FleetScenario& loss = scenarioNamed(scenarios, "grants, all servers lose power");
  const FleetOutcome outcome = playFleet(loss, {"default"}, 1);
  CHECK(outcome.cold_crashes == 0);
  CHECK(outcome.earnedPart() > 0.85);
  const auto inTime = [&](std::size_t second) {
    return outcome.in_time_by_second.at(second) / outcome.asked_by_second.at(second);
  };
  CHECK(inTime(7) > 0.15);
  CHECK(inTime(10) > 0.88);

  FleetPolicy unbounded{"unbounded"};
  unbounded.knows_cold_rate = false;
  const FleetOutcome overloaded = playFleet(loss, unbounded, 1);
  CHECK(overloaded.cold_crashes > 100);
  CHECK(overloaded.earnedPart() < 0.6);
}

}  // namespace coursepond::data_path
