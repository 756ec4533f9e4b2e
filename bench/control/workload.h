#pragma once

/// The workload on which every distribution system is measured.

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "distribution/messages.h"
#include "model/endpoint.h"
#include "platform_model.h"

namespace coursepond::bench {

/// A user's mesh with a given number of nodes.
struct MeshShape {
  std::string name;
  std::uint32_t zones = 3;
  std::uint32_t nodes = 20;  ///< Total of all zones, spread evenly.
  Duration zone_latency{};   ///< One way, between zones.
  std::vector<std::string> services;
  std::uint32_t servers_per_service = 4;  ///< Per zone.
  std::uint32_t routes = 120;
};

MeshShape magnolia(std::uint32_t nodes);
MeshShape freight(std::uint32_t nodes);

/// Lengths of the phases of a run, which follow one another.
struct WorkPlan {
  Duration warm_up = std::chrono::seconds(40);
  Duration idle = std::chrono::seconds(60);
  std::uint32_t changes = 10;  ///< Number of changes, each of one route.
  /// Time from the publication of a change to its confirmation, and from there to the next change.
  Duration change_interval = std::chrono::seconds(4);
  Duration churn = std::chrono::seconds(60);  ///< One server is replaced every second.
};

ZoneId zoneName(std::uint32_t zone);
NodeId nodeName(std::uint32_t node);
ZoneId zoneOfNode(const MeshShape& shape, std::uint32_t node);

/// Returns the platform's JSON text of one version. It differs from the previous version in the
/// timeout of one route.
std::string documentText(const MeshShape& shape, Version version);

std::vector<model::ListedNode> makeNodes(const MeshShape& shape);
/// Returns the servers after `churn_steps` changes, each of which replaces one server.
std::vector<simulation::ListedBackend> makeBackends(const MeshShape& shape,
                                                    std::uint32_t churn_steps);
/// Returns the endpoint set in which change number `step` (from 1) replaced a server.
distribution::EndpointKey churnedSet(const MeshShape& shape, std::uint32_t step);

}  // namespace coursepond::bench
