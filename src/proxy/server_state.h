#pragma once

#include <algorithm>
#include <memory>

#include "model/configuration.h"
#include "model/endpoint.h"
#include "proxy/concurrency_limit.h"
#include "proxy/connection_share.h"
#include "proxy/decaying_average.h"
#include "proxy/outlier_detector.h"
#include "proxy/server_limit.h"

namespace coursepond::proxy {

/// One server of a service and everything that this node observed of it. Requests that use it have
/// a shared pointer, so that it outlives its removal from the endpoint record.
struct ServerState {
  ServerState(model::Endpoint listed, std::uint32_t slots, std::size_t nodes)
      : endpoint(std::move(listed)), limit(slots, nodes) {}

  /// Returns whether the server must not get requests yet.
  bool isBackingOff(TimePoint now) const { return now < backoff_until; }
  void backOff(TimePoint until) { backoff_until = std::max(backoff_until, until); }

  model::Endpoint endpoint;
  std::uint32_t in_flight = 0;
  std::uint32_t batch_in_flight = 0;
  DecayingAverage latency_ms;  ///< Time from sending a request to the answer's head.
  double reported_load = 0;    ///< As reported by the server, 0..1; may be outdated or wrong.
  ConcurrencyLimit limit;
  ConnectionShare connections;
  OutlierRecord outlier;
  TimePoint warm_since;  ///< When slow start began.
  TimePoint backoff_until;
  ServerLimit rate;  ///< This node's share of the limit that the server reports.
  bool draining = false;
};

using ServerPointer = std::shared_ptr<ServerState>;

}  // namespace coursepond::proxy
