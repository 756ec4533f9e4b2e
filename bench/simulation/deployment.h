#pragma once

/// The meshes of the two users at their current sizes, and the configuration versions that their
/// operators publish.

#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace coursepond::simulation {

/// One kind of request that callers make.
struct RequestKind {
  std::string method;
  std::string path;
  bool may_repeat = true;
  Duration deadline{};
};

struct ServiceShape {
  ServiceName name;
  std::uint32_t servers_per_zone = 1;
  std::uint32_t slots = 10;
  std::uint32_t connections = 100;
  Duration service_time{};
  RequestKind request;
};

struct Deployment {
  std::string name;
  std::vector<ZoneId> zones;
  std::uint32_t nodes_per_zone = 3;
  Duration zone_latency{};
  std::vector<ServiceShape> services;
};

Deployment magnolia();
Deployment freight();

/// Returns the platform's document of one version. Each version adds and removes a route (with its
/// service and secret) and changes a secret's value and a service's queue limit.
std::string documentText(const Deployment& deployment, Version version);

/// Returns an invalid document, which every node must reject: one route's service is missing.
std::string brokenDocumentText(const Deployment& deployment, Version version);

}  // namespace coursepond::simulation
