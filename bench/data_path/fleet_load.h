#pragma once

/// Simulates the load of callers on a fleet of two-hop nodes (egress and ingress) and reports the
/// outcome of their requests.

#include <cstdint>
#include <string>
#include <vector>

#include "cold_server.h"
#include "core/time.h"
#include "egress/settings.h"
#include "ingress/settings.h"

namespace coursepond::data_path {

/// The servers of one service, spread evenly over the zones.
struct ServiceShape {
  std::string name;
  std::size_t servers = 0;
  std::uint32_t slots = 8;
  std::vector<double> speeds = {1.0};  ///< Each server gets one of these at random.
};

/// Calls to another service that a server makes while it runs a request.
struct CallShape {
  std::string kind;
  std::uint32_t times = 1;  ///< Number of calls, all made in parallel.
  double share = 1;         ///< Fraction of the requests that make these calls.
};

/// One kind of request. Kinds with `per_second` zero are only sent by servers, as calls.
struct KindShape {
  std::string name;
  std::string service;
  double per_second = 0;  ///< Requests per second in the whole fleet.
  Duration work{};        ///< Mean service time on a server of speed 1.
  double spread = 0.3;    ///< Standard deviation of the logarithm of the service time.
  Duration target{};
  Duration deadline{};
  double utility = 1;         ///< Of an answer within the target.
  double late_utility = 0.3;  ///< Of a later answer.
  std::uint32_t rank = 1;
  bool is_repeatable = true;
  std::uint32_t caller_retries = 1;  ///< How often a refused caller retries.
  std::vector<CallShape> calls = {};
};

/// Multiplies the load for a limited time.
struct Burst {
  Duration at{};
  Duration length{};
  double factor = 1;
};

/// Some servers of a service immediately reject a fraction of their requests despite free slots.
struct RejectingServers {
  std::string service;
  double share = 0;  ///< Fraction of the servers.
  double rate = 0;   ///< Fraction of the requests to these servers.
  Duration at{};
  Duration length{};
};

struct FleetScenario {
  std::string name;
  std::size_t zones = 6;
  std::vector<ServiceShape> services;
  std::vector<KindShape> kinds;
  double load = 1;  ///< Multiplies each kind's rate.
  /// Fraction of each service's servers that leave after a third of the run.
  double leaving_fraction = 0;
  std::vector<Burst> bursts;
  RejectingServers rejecting;
  ColdShape cold;
  Duration power_loss{};  ///< Time at which all servers restart cold; zero: never.
  Duration length = std::chrono::seconds(20);
};

/// Settings of every node.
struct FleetPolicy {
  std::string name;
  egress::Settings egress = {};
  ingress::Settings ingress = {};
  bool has_cold_rate = true;  ///< Whether nodes know the rate that cold servers sustain.
};

/// Outcome of one kind of request as callers see it. A request and its retries by the caller count
/// as one.
struct KindOutcome {
  std::string name;
  double sent = 0;     ///< Requests, without retries.
  double in_time = 0;  ///< Answered within the target, counted from the first try.
  double late = 0;
  double refused = 0;
  double failed = 0;
  double earned_utility = 0;    ///< Utility of the answered requests.
  double possible_utility = 0;  ///< Utility if all requests were answered in time.
};

struct FleetOutcome {
  std::vector<KindOutcome> kinds;
  double refusals = 0;           ///< "Not run" answers, including those that callers retry.
  double hop_refusals = 0;       ///< Refusals sent by ingresses to egresses.
  double remote_answers = 0;     ///< Answers from another zone.
  double remote_to_callers = 0;  ///< Those of `remote_answers` that went to callers, not servers.
  double remote_refusals = 0;    ///< Refusals by ingresses in another zone.
  double rejected = 0;           ///< Requests rejected by servers.
  double calls_failed = 0;       ///< Failed calls made by servers.
  double cold_crashes = 0;       ///< Crashes of cold servers by overload.
  std::vector<double> in_time_by_second;  ///< All kinds, by the second of the first try.
  std::vector<double> sent_by_second;
  double busiest = 0;  ///< Highest ratio of a server's requests to the mean of its service.

  double sent() const;
  double earnedFraction() const;  ///< Earned utility as a fraction of the possible utility.
  double refusedFraction() const;
  double lateFraction() const;
};

/// Runs the scenario. The outcome depends only on the arguments.
FleetOutcome runFleet(const FleetScenario& scenario, const FleetPolicy& policy, std::uint64_t seed);

/// Returns named scenarios with fleets and loads like those of real users.
std::vector<FleetScenario> fleetScenarios();

}  // namespace coursepond::data_path
