#pragma once

/// The implementation of ProxyState, which RequestFlow uses.

#include <map>
#include <memory>
#include <vector>

#include "proxy/proxy_state.h"
#include "proxy/route_table.h"
#include "proxy/service_state.h"
#include "proxy/stop_deadline.h"

namespace coursepond::proxy {

/// A snapshot with its route table. Each request uses the one that it started with.
struct RoutingSnapshot {
  explicit RoutingSnapshot(model::SnapshotPointer its_snapshot)
      : snapshot(std::move(its_snapshot)), table(snapshot->routes) {}

  model::SnapshotPointer snapshot;
  RouteTable table;
  std::vector<std::shared_ptr<ServiceState>> services;  ///< Service of each route, by route index.
};

class ProxyState::Parts {
 public:
  Parts(ZoneId zone, Settings values, Environment& clock);

  /// Returns the service's state, which is created if it does not exist yet.
  std::shared_ptr<ServiceState> service(const ServiceName& name);
  const ServiceState* findService(const ServiceName& name) const;
  void install(model::SnapshotPointer next_snapshot);

  const ZoneId own_zone;
  const Settings settings;
  Environment& environment;
  std::size_t node_count = 1;
  std::size_t in_flight = 0;
  bool stopping = false;
  StopDeadline stop_deadline;
  ProxyStatistics statistics;
  DeadlineQueue deadlines;
  std::shared_ptr<const RoutingSnapshot> routing;
  model::SnapshotPointer snapshot;

 private:
  friend class ProxyState;
  void removeUnused();

  std::map<ServiceName, std::shared_ptr<ServiceState>> services_;
};

}  // namespace coursepond::proxy
