#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "model/endpoint.h"

namespace coursepond::proxy {

/// A server to which idle connections are worth keeping.
struct WarmServer {
  ServiceName service;
  model::Endpoint endpoint;
};

/// What a connection pool may do, as the decision classes see it.
class ConnectionPolicy {
 public:
  virtual ~ConnectionPolicy() = default;
  /// Connections that may be open to one server of the service (at least 1).
  virtual std::uint32_t connectionBudget(const ServiceName& service,
                                         const EndpointId& endpoint) const = 0;
  /// True when the server may still be used for new work.
  virtual bool usable(const ServiceName& service, const EndpointId& endpoint) const = 0;
  virtual std::vector<WarmServer> warmServers() const = 0;
};

}  // namespace coursepond::proxy
