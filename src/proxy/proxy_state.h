#pragma once

/// The data-path state that all requests of one node share: the snapshot, the servers of each
/// service and what was observed of them, queues, retry budgets.

#include <memory>
#include <vector>

#include "core/environment.h"
#include "model/endpoint.h"
#include "model/snapshot.h"
#include "proxy/connection_policy.h"
#include "proxy/settings.h"

namespace coursepond::proxy {

/// Counters for /metrics and the simulator. Never reset. Each request that is not routed to an
/// answer counts once in one of the refused_, shed_ or outcome_ counters, or in caller_gone.
struct ProxyStatistics {
  std::uint64_t requests = 0;               ///< Started.
  std::uint64_t answers_forwarded = 0;      ///< Server answers passed on whole.
  std::uint64_t answers_cut = 0;            ///< Server answers that broke off half way.
  std::uint64_t attempts = 0;               ///< Requests handed to a connection, retries included.
  std::uint64_t retries = 0;                ///< Attempts beyond a request's first.
  std::uint64_t retries_denied_budget = 0;  ///< Not retried since the retry budget was spent.
  std::uint64_t server_refusals = 0;        ///< Not-run answers of servers, retried ones included.
  std::uint64_t queued = 0;                 ///< Requests that waited for a slot.
  std::uint64_t refused_no_route = 0;       ///< 404, and 400 for ambiguous paths.
  std::uint64_t refused_queue_full = 0;
  std::uint64_t refused_deadline = 0;   ///< Not run: too little time, or none, was left.
  std::uint64_t refused_no_server = 0;  ///< No server in use, or no configuration yet.
  std::uint64_t refused_stopping = 0;
  std::uint64_t refused_by_servers = 0;  ///< Not run after the last attempt that was allowed.
  std::uint64_t shed_batch = 0;
  std::uint64_t outcome_unknown = 0;  ///< 502 and 504: the request may have run.
  std::uint64_t caller_gone = 0;      ///< The caller left before its answer.
  std::uint64_t ejections = 0;        ///< Servers left out for their failures.
};

/// One server as this node sees it, for the status page.
struct ServerReport {
  ServiceName service;
  model::Endpoint endpoint;
  std::uint32_t in_flight = 0;
  double latency_ms = 0;         ///< Moving average of answered requests.
  double reported_load = 0;      ///< As last reported, 0..1.
  double concurrency_limit = 0;  ///< Requests this node allows itself on the server.
  bool ejected = false;
  bool draining = false;
};

class ProxyState final : public ConnectionPolicy {
 public:
  ProxyState(ZoneId own_zone, Settings settings, Environment& environment);
  ~ProxyState() override;

  /// Puts a snapshot in force for requests that start from now on. A lower version than the one
  /// in force is refused (returns false).
  bool apply(model::SnapshotPointer snapshot);
  const model::SnapshotPointer& snapshot() const;
  void updateEndpoints(const model::EndpointSet& endpoints);
  /// How many nodes share the servers; divides their connection limits.
  void setNodeCount(std::size_t nodes);

  /// Connections this node may open to one server of the service (at least 1).
  std::uint32_t connectionBudget(const ServiceName& service) const;
  /// The same for one server; lower while the server refuses connections.
  std::uint32_t connectionBudget(const ServiceName& service,
                                 const EndpointId& endpoint) const override;
  /// True when the server may still be used for new work (known, live, not draining).
  bool usable(const ServiceName& service, const EndpointId& endpoint) const override;
  /// The servers in use that are not ejected.
  std::vector<WarmServer> warmServers() const override;

  /// A planned stop began: new requests are refused, those in flight finish.
  void beginStop();
  std::size_t requestsInFlight() const;

  const ProxyStatistics& statistics() const;
  std::vector<ServerReport> serverReports() const;

  /// Internal to src/proxy: the parts RequestFlow works with.
  class Parts;
  Parts& parts();

 private:
  std::unique_ptr<Parts> parts_;
};

}  // namespace coursepond::proxy
