#pragma once

/// The I/O layer of one node's data path: replaces the sockets of the real process and drives the
/// production RequestFlow.

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "backend_model.h"
#include "guard.h"
#include "network.h"
#include "process_environment.h"
#include "proxy/proxy_state.h"
#include "proxy/request_flow.h"
#include "upstream.h"

namespace coursepond::simulation {

/// Finds a running or stopped back end by id; null if there was none.
using BackendDirectory = std::function<BackendModel*(const EndpointId&)>;

/// One request of a caller.
struct CallerRequest {
  RequestId id;
  RequestKind kind;
};

class DataPath {
 public:
  /// All references must outlive this.
  DataPath(NodeId node, ZoneId zone, Guard without, VirtualTime& time, Network& network,
           ProcessEnvironment& environment, proxy::ProxyState& state, RequestChecks& checks,
           BackendDirectory backends, std::function<Duration()> calm_for);
  ~DataPath();

  /// Serves a request that arrived from a caller.
  void serve(const CallerRequest& request);
  /// Called when the caller disconnected.
  void abandon(const RequestId& request);

  /// Whether the head of the answer was forwarded. The rest may stall when the link stalls.
  bool answering(const RequestId& request) const;

  /// Requests that have not been answered yet.
  std::vector<RequestId> inFlight() const;
  /// Closes all connections; called when the process crashes or ends.
  void closeAll();

 private:
  class Exchange;
  friend class Exchange;
  struct Pool {
    std::vector<UpstreamConnectionPointer> idle;
    std::uint32_t open = 0;
  };

  UpstreamConnectionPointer takeIdle(const EndpointId& server);
  void release(const EndpointId& server, const UpstreamConnectionPointer& connection);
  void close(const EndpointId& server, const UpstreamConnectionPointer& connection);
  void checkLeaving(BackendModel& server);
  void sweepFinished();

  NodeId node_;
  ZoneId zone_;
  Guard without_;
  VirtualTime& time_;
  Network& network_;
  ProcessEnvironment& environment_;
  proxy::ProxyState& state_;
  RequestChecks& checks_;
  BackendDirectory backends_;
  std::function<Duration()> calm_for_;
  std::map<EndpointId, Pool> pools_;
  std::map<EndpointId, TimePoint> leaving_announced_at_;  ///< When an answer first announced it.
  std::map<RequestId, std::unique_ptr<Exchange>> exchanges_;
};

}  // namespace coursepond::simulation
