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

/// Tells a connection pool which connections it may open and keep.
class ConnectionPolicy {
 public:
  virtual ~ConnectionPolicy() = default;
  /// Returns the maximum number of connections to one server of the service, at least 1.
  virtual std::uint32_t connectionBudget(const ServiceName& service,
                                         const EndpointId& endpoint) const = 0;
  /// Returns whether the server may still be used for new requests.
  virtual bool usable(const ServiceName& service, const EndpointId& endpoint) const = 0;
  /// Returns the servers to which idle connections should be kept open.
  virtual std::vector<WarmServer> warmServers() const = 0;
};

}  // namespace coursepond::proxy
