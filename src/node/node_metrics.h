#pragma once

/// Defines the metrics of a node and maps each component's statistics to them.

#include <functional>

#include "control/control_plane.h"
#include "proxy/proxy_state.h"
#include "runtime/http_server.h"
#include "runtime/metrics.h"
#include "runtime/peer_transport.h"
#include "runtime/proxy_server.h"

namespace coursepond::node {

/// Current values of the gauges.
struct NodeGauges {
  bool ready = false;
  Version in_force;
  Version accepted;
  Version staged;
  membership::Roles roles;
  std::size_t known_nodes = 0;
  std::size_t reachable_zones = 0;
  std::size_t known_zones = 0;
  std::size_t requests_in_flight = 0;
  std::size_t caller_connections = 0;
  std::size_t peer_connections = 0;
  double uptime_seconds = 0;
};

struct LogCounters {
  std::uint64_t written = 0;
  std::uint64_t suppressed = 0;
};

/// Functions that return the current values. Called on each scrape.
struct MetricSources {
  std::function<NodeGauges()> gauges;
  std::function<control::ControlStatistics()> control;
  std::function<proxy::ProxyStatistics()> proxy;
  std::function<runtime::ProxyServerStatistics()> callers;
  std::function<runtime::UpstreamStatistics()> upstream;
  std::function<runtime::PeerStatistics()> peers;
  std::function<runtime::HttpServerStatistics()> admin;
  std::function<LogCounters()> log;
};

runtime::MetricTable makeNodeMetrics(const MetricSources& sources);

}  // namespace coursepond::node
