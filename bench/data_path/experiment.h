#pragma once

/// Simulates several nodes that share the servers of one service, in virtual time. The result of a
/// run depends only on its scenario, policy and seed.

#include <functional>
#include <string>
#include <vector>

#include "proxy/settings.h"
#include "shared_server.h"

namespace coursepond::data_path {

/// A change to the servers at a given time of the run.
struct ServerChange {
  Duration at;
  std::function<void(Servers&)> apply;
};

struct Scenario {
  std::string name;
  double load = 0.7;                 ///< Offered load as a fraction of the servers' capacity.
  double busiest_node_fraction = 0;  ///< Fraction of all requests; zero: spread evenly.
  std::size_t nodes = 6;
  std::size_t servers = 4;
  std::uint32_t retry_budget_percent = 20;
  Duration deadline = std::chrono::seconds(1);
  std::vector<ServerChange> changes;
};

/// A load balancing policy, given as proxy settings.
struct Policy {
  std::string name;
  proxy::Settings settings;
};

struct Outcome {
  double p50_ms = 0;
  double p99_ms = 0;
  double goodput = 0;       ///< Successful answers per second to measured requests.
  double offered = 0;       ///< Measured requests per second.
  double not_run = 0;       ///< Fraction of the requests.
  double unknown = 0;       ///< Fraction of the requests.
  double attempts = 0;      ///< Attempts per request, over the whole run.
  double refusals = 0;      ///< Refusals by servers per request, over the whole run.
  double worst_second = 0;  ///< Lowest number of answers in any measured second.
};

Outcome runExperiment(const Scenario& scenario, const Policy& policy, std::uint64_t seed);

/// Returns the mean of each figure over the runs with seeds 1 to `seeds`.
Outcome meanOutcome(const Scenario& scenario, const Policy& policy, std::uint64_t seeds);

}  // namespace coursepond::data_path
