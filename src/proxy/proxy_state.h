#pragma once

/// The data-path state that is shared by all requests of one node: the snapshot, the servers of
/// each service with their observed state, the queues and the retry budgets.

#include <memory>
#include <vector>

#include "core/environment.h"
#include "model/endpoint.h"
#include "model/snapshot.h"
#include "proxy/connection_policy.h"
#include "proxy/settings.h"

namespace coursepond::proxy {

/// Counters for /metrics and the simulator. Never reset. Each request that gets no server answer is
/// counted once in one of the refused_, shed_ or outcome_ counters, or in caller_gone.
struct ProxyStatistics {
  std::uint64_t requests = 0;               ///< Started requests.
  std::uint64_t answers_forwarded = 0;      ///< Server answers forwarded completely.
  std::uint64_t answers_cut = 0;            ///< Server answers that were truncated.
  std::uint64_t attempts = 0;               ///< Attempts, including retries.
  std::uint64_t retries = 0;                ///< Attempts after the first one of a request.
  std::uint64_t retries_denied_budget = 0;  ///< Retries denied because the budget was used up.
  std::uint64_t server_refusals = 0;        ///< "Not run" answers of servers, including retried.
  std::uint64_t queued = 0;                 ///< Requests that waited for a slot.
  std::uint64_t refused_no_route = 0;       ///< 404, and 400 for ambiguous paths.
  std::uint64_t refused_queue_full = 0;
  std::uint64_t refused_deadline = 0;   ///< Not run, because too little time was left.
  std::uint64_t refused_no_server = 0;  ///< No usable server, or no configuration yet.
  std::uint64_t refused_stopping = 0;
  std::uint64_t refused_by_servers = 0;  ///< Not run, and no further attempt was allowed.
  std::uint64_t shed_batch = 0;
  std::uint64_t outcome_unknown = 0;  ///< 502 and 504: the request may have run.
  std::uint64_t caller_gone = 0;      ///< The caller disconnected before it got an answer.
  std::uint64_t ejections = 0;        ///< Ejections of failing servers.
};

/// State of one server as observed by this node, for the status page.
struct ServerReport {
  ServiceName service;
  model::Endpoint endpoint;
  std::uint32_t in_flight = 0;
  double latency_ms = 0;         ///< Moving average of answered requests.
  double reported_load = 0;      ///< As last reported by the server, from 0 to 1.
  double concurrency_limit = 0;  ///< Maximum number of requests in flight from this node.
  bool ejected = false;
  bool draining = false;
};

class ProxyState final : public ConnectionPolicy {
 public:
  ProxyState(ZoneId own_zone, Settings settings, Environment& environment);
  ~ProxyState() override;

  /// Applies a snapshot to requests that start from now on. Returns false and does nothing if its
  /// version is lower than the current one.
  bool apply(model::SnapshotPointer snapshot);
  const model::SnapshotPointer& snapshot() const;
  void updateEndpoints(const model::EndpointSet& endpoints);
  /// Sets the number of nodes that share the servers. Their connection limits are divided by it.
  void setNodeCount(std::size_t nodes);

  /// Returns the maximum number of connections to one server of the service, at least 1.
  std::uint32_t connectionBudget(const ServiceName& service) const;
  /// Returns the same for a specific server. Lower while the server refuses connections.
  std::uint32_t connectionBudget(const ServiceName& service,
                                 const EndpointId& endpoint) const override;
  /// Returns whether the server may be used for new requests (known, live, not draining).
  bool usable(const ServiceName& service, const EndpointId& endpoint) const override;
  /// Returns the usable servers that are not ejected.
  std::vector<WarmServer> warmServers() const override;

  /// Announces a planned stop. All requests are answered before `end`, when the process exits and
  /// would cut them.
  void announceStop(TimePoint end);
  /// Starts a planned stop: new requests are refused, and those in flight finish.
  void beginStop();
  std::size_t requestsInFlight() const;

  const ProxyStatistics& statistics() const;
  std::vector<ServerReport> serverReports() const;

  /// Internal to src/proxy: the state that RequestFlow uses.
  class Parts;
  Parts& parts();

 private:
  std::unique_ptr<Parts> parts_;
};

}  // namespace coursepond::proxy
