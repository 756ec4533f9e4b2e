#pragma once

#include <vector>

#include "experiment.h"

namespace coursepond::data_path {

/// Returns the load balancing policies to compare. The last one has the default settings.
std::vector<Policy> policies();

/// Returns scenarios with shared servers, overload, slow servers and misleading load reports. They
/// are run with every policy.
std::vector<Scenario> balancingScenarios();

/// Returns scenarios in which half the answers are lost for some seconds after the work is done:
/// with the default retry budget, with an unlimited one and without retries. They are run with the
/// default policy.
std::vector<Scenario> retryScenarios();

}  // namespace coursepond::data_path
