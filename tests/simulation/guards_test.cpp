// Shows that every checker detects the failure it is meant for: a run with a disabled safeguard
// must violate the matching promise.

#include <doctest/doctest.h>

#include <string>

#include "simulation.h"

namespace coursepond::simulation {
namespace {

struct Expectation {
  const char* without;
  const char* scenario;
  const char* promise;
};

constexpr std::uint64_t kMostSeeds = 12;

constexpr Expectation kExpectations[] = {
    {"merge-by-arrival", "operator-race", promises::kVersionForward},
    {"apply-without-closure", "freight", promises::kClosure},
    {"apply-in-part", "freight", promises::kWhole},
    {"retry-after-send", "backends", promises::kAtMostOnce},
    {"not-run-after-send", "backends", promises::kNotRun},
    {"reuse-abandoned-connection", "backends", promises::kOwnWholeAnswer},
    {"short-answer", "backends", promises::kOwnWholeAnswer},
    {"ignore-draining", "freight", promises::kLeaving},
    {"ignore-limit", "notices", promises::kServerLimit},
    {"cut-on-stop", "freight", promises::kPlannedStop},
    {"no-pause-check", "freeze", promises::kPauseRecheck},
    {"all-read", "freight", promises::kFewReaders},
    {"no-anti-entropy", "herd", promises::kConverged},
    {"accept-without-majority", "zone-cut", promises::kAcceptedNotContradicted},
    {"refuse-after-commit", "freight", promises::kRefusedNotContradicted},
    {"always-grant", "operator-race", promises::kAcceptedNotContradicted},
    {"no-deadline", "backends", promises::kConcluded},
    {"adopt-at-once", "everything", promises::kAdoptedAfterLoss},
};

}  // namespace

TEST_CASE("the checker of each safeguard detects that the safeguard is disabled") {
  for (const Expectation& expectation : kExpectations) {
    CAPTURE(expectation.without);
    RunOptions options;
    options.scenario = *findScenario(expectation.scenario);
    options.without = *findGuard(expectation.without);
    std::string broken;
    for (options.seed = 1; options.seed <= kMostSeeds && broken != expectation.promise;
         ++options.seed) {
      const RunReport report = run(options);
      if (report.violation) broken = report.violation->promise;
    }
    CHECK(broken == expectation.promise);
  }
}

TEST_CASE("every safeguard has an expected violation in this test") {
  CHECK(std::size(kExpectations) == kGuardNames.size());
}

}  // namespace coursepond::simulation
