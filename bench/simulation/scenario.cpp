#include "scenario.h"

namespace coursepond::simulation {
namespace {

using enum FaultKind;

const std::vector<FaultKind> kPlanned = {kStopNode, kLeaveBackend};
const std::vector<FaultKind> kHerds = {kHerd, kCrashNode, kReplaceNode};
const std::vector<FaultKind> kZoneCuts = {kCutZone, kCutOneWay, kSplit};
const std::vector<FaultKind> kFreezes = {kPauseNode, kPauseReader};
const std::vector<FaultKind> kOutages = {kPlatformDown,      kPlatformSilent, kPlatformStale,
                                         kPlatformMalformed, kBrokenVersion,  kMachineLag};
const std::vector<FaultKind> kRaces = {kLoss, kCrossing, kCutZone};
const std::vector<FaultKind> kBackends = {kCrashBackend, kLeaveBackend, kSlowBackend, kShedBackend,
                                          kLyingBackend};
const std::vector<FaultKind> kNotices = {kLimitBackend, kLimitService, kAnnounceLeaving,
                                         kCrashBackend, kSlowBackend,  kPlatformDown};
const std::vector<FaultKind> kNoticesAndRestarts = {kLimitBackend, kLimitService, kAnnounceLeaving,
                                                    kStopNode,     kCrashNode,    kReplaceNode,
                                                    kPauseNode};
const std::vector<FaultKind> kEverything = {
    kCrashNode,     kReplaceNode,    kHerd,          kPauseNode,    kPauseReader,
    kCutZone,       kCutOneWay,      kSplit,         kLoss,         kCrossing,
    kPlatformDown,  kPlatformSilent, kPlatformStale, kMachineLag,   kPlatformMalformed,
    kBrokenVersion, kStopNode,       kCrashBackend,  kLeaveBackend, kSlowBackend,
    kShedBackend,   kLyingBackend};

OperatorSettings racing() {
  OperatorSettings settings;
  settings.operators = 3;
  settings.shortest_interval = std::chrono::milliseconds(300);
  settings.longest_interval = std::chrono::seconds(2);
  settings.publishes = 0.5;
  settings.race = true;
  return settings;
}

OperatorSettings pair() {
  OperatorSettings settings;
  settings.operators = 2;
  return settings;
}

}  // namespace

const std::vector<Scenario>& scenarios() {
  static const std::vector<Scenario> all = {
      {"magnolia", "magnolia", kPlanned, 4, {}},
      {"freight", "freight", kPlanned, 4, {}},
      {"herd", std::nullopt, kHerds, 4, {}},
      {"zone-cut", std::nullopt, kZoneCuts, 4, pair()},
      {"freeze", std::nullopt, kFreezes, 6, {}},
      {"outage", std::nullopt, kOutages, 5, {}},
      {"operator-race", std::nullopt, kRaces, 3, racing()},
      {"everything", std::nullopt, kEverything, 10, pair()},
      {"backends", std::nullopt, kBackends, 30, {}},
      {"notices", std::nullopt, kNotices, 30, {}},
      {"notices-and-restarts", std::nullopt, kNoticesAndRestarts, 20, {}},
      {"lose-all", std::nullopt, {kLoseAll}, 1, {}},
  };
  return all;
}

const Scenario* findScenario(std::string_view name) {
  for (const Scenario& scenario : scenarios()) {
    if (scenario.name == name) return &scenario;
  }
  return nullptr;
}

Deployment deploymentOf(const Scenario& scenario, std::uint64_t seed) {
  const std::string name = scenario.deployment.value_or(seed % 2 == 0 ? "magnolia" : "freight");
  return name == "magnolia" ? magnolia() : freight();
}

}  // namespace coursepond::simulation
