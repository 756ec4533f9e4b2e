#pragma once

/// A load on a fleet of nodes with two hops, and what its callers got.

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
  std::vector<double> speeds = {1.0};  ///< Each server draws one.
};

/// Requests that a server makes for one of its own.
struct CallShape {
  std::string kind;
  std::uint32_t times = 1;  ///< All at once.
  double share = 1;         ///< Of the requests, those that make them.
};

/// One kind of request. Kinds with `per_second` zero are only made by servers.
struct KindShape {
  std::string name;
  std::string service;
  double per_second = 0;  ///< Of the whole fleet.
  Duration work{};        ///< Mean, at a server of speed 1.
  double spread = 0.3;    ///< Standard deviation of the work's logarithm.
  Duration target{};
  Duration deadline{};
  double worth = 1;
  double late_worth = 0.3;
  std::uint32_t rank = 1;
  bool is_repeatable = true;
  std::uint32_t returns = 1;  ///< How often a refused caller comes back.
  std::vector<CallShape> calls = {};
};

/// More load for a while.
struct Burst {
  Duration at{};
  Duration length{};
  double factor = 1;
};

/// Some servers of a service reject a part of what they get, at once and though they have room.
struct RejectingServers {
  std::string service;
  double share = 0;  ///< Of the servers.
  double rate = 0;   ///< Of the requests at these.
  Duration at{};
  Duration length{};
};

struct FleetScenario {
  std::string name;
  std::size_t zones = 6;
  std::vector<ServiceShape> services;
  std::vector<KindShape> kinds;
  double load = 1;          ///< Multiplies each kind's rate.
  double servers_gone = 0;  ///< Part of each service's servers that end a third into the run.
  std::vector<Burst> bursts;
  RejectingServers rejecting;
  ColdShape cold;
  Duration power_loss{};  ///< When all servers end and start cold; zero: never.
  Duration length = std::chrono::seconds(20);
};

/// Settings of every node.
struct FleetPolicy {
  std::string name;
  egress::Settings egress = {};
  ingress::Settings ingress = {};
  bool knows_cold_rate = true;  ///< The configuration tells what a cold server bears.
};

/// Of one kind, counted by requests as callers see them: a refused one that returns is the same.
struct KindOutcome {
  std::string name;
  double asked = 0;
  double in_time = 0;  ///< Answered within its target, from the first try.
  double late = 0;
  double refused = 0;
  double failed = 0;
  double earned = 0;  ///< Worth of those served.
  double owed = 0;    ///< Worth if all were in time.
};

struct FleetOutcome {
  std::vector<KindOutcome> kinds;
  double refusals = 0;           ///< Answers "not run", also of callers that return.
  double hop_refusals = 0;       ///< By ingresses to egresses.
  double remote_answers = 0;     ///< Answers that came from another zone.
  double remote_to_callers = 0;  ///< Of these, answers to callers, not to servers that call.
  double remote_refusals = 0;    ///< By ingresses of another zone.
  double rejected = 0;           ///< By servers.
  double calls_failed = 0;       ///< Made by servers.
  double cold_crashes = 0;       ///< Cold servers that got more than they bear.
  std::vector<double> in_time_by_second;  ///< Of all kinds, by the second they were asked in.
  std::vector<double> asked_by_second;
  double busiest = 0;  ///< Requests run at the busiest server over the mean of its service.

  double asked() const;
  double earnedPart() const;  ///< Earned by all kinds, of what is owed.
  double refusedPart() const;
  double latePart() const;
};

/// Plays the scenario; the outcome follows from the arguments alone.
FleetOutcome playFleet(const FleetScenario& scenario, const FleetPolicy& policy,
                       std::uint64_t seed);

/// Fleets and loads like those that users run, by name.
std::vector<FleetScenario> fleetScenarios();

}  // namespace coursepond::data_path
