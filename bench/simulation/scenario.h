#pragma once

/// Named scenarios: the faults, operators and deployment of a run.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "deployment.h"
#include "fault.h"
#include "operators.h"

namespace coursepond::simulation {

struct Scenario {
  std::string name;
  /// Name of the deployment. Empty: Magnolia for even seeds and Freight for odd ones.
  std::optional<std::string> deployment;
  std::vector<FaultKind> faults;
  std::size_t most_faults = 0;
  OperatorSettings operators;
};

/// Phases of a run, as times since its start.
namespace phases {
inline constexpr Duration kWarmUp = std::chrono::seconds(20);
inline constexpr FaultWindow kFaults = {std::chrono::seconds(22), std::chrono::seconds(50)};
inline constexpr Duration kOperatorsEnd = std::chrono::seconds(58);
inline constexpr Duration kTrafficEnd = std::chrono::seconds(66);
inline constexpr Duration kEnd = std::chrono::seconds(70);
}  // namespace phases

const std::vector<Scenario>& scenarios();
/// Returns null if there is no such scenario.
const Scenario* findScenario(std::string_view name);
Deployment deploymentOf(const Scenario& scenario, std::uint64_t seed);

}  // namespace coursepond::simulation
