#pragma once

/// Machines as listed by the platform: back ends of services and the nodes of the mesh. The list
/// may be stale.

#include <vector>

#include "core/address.h"
#include "core/ids.h"

namespace coursepond::model {

enum class MachineState { kLive, kLeaving };

/// One server of a service.
struct Endpoint {
  EndpointId id;
  Address address;
  ZoneId zone;
  MachineState state = MachineState::kLive;
  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// All servers of one service in one zone. A newer generation replaces an older one completely.
struct EndpointSet {
  ServiceName service;
  ZoneId zone;
  Generation generation;
  std::vector<Endpoint> endpoints;
  friend bool operator==(const EndpointSet&, const EndpointSet&) = default;
};

/// One node of the mesh, as listed by the platform.
struct ListedNode {
  NodeId id;
  ZoneId zone;
  Address peer_address;
  MachineState state = MachineState::kLive;
  friend bool operator==(const ListedNode&, const ListedNode&) = default;
};

/// The platform's machine list at one generation.
struct MachineList {
  Generation generation;
  std::vector<ListedNode> nodes;
  std::vector<EndpointSet> endpoint_sets;
};

}  // namespace coursepond::model
