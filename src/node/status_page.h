#pragma once

/// Renders a node's status page as plain text, readable in a browser and with curl.

#include <string>
#include <vector>

#include "core/digest.h"
#include "core/ids.h"
#include "core/time.h"
#include "membership/view.h"
#include "proxy/proxy_state.h"

namespace coursepond::node {

/// Content of the status page.
struct StatusReport {
  NodeId node;
  ZoneId zone;
  std::string readiness;  ///< "ready", "not ready: ..." or "stopping".
  Duration uptime{};
  Version in_force;
  Digest digest;  ///< Digest of the configuration in force.
  Version accepted;
  Version staged;
  std::size_t routes = 0;
  std::size_t services = 0;
  std::size_t secrets = 0;
  membership::Roles roles;
  membership::View view;
  std::size_t requests_in_flight = 0;
  std::size_t peer_connections = 0;
  std::vector<proxy::ServerReport> servers;
  std::string last_rejection;  ///< Reason of the last rejected configuration content, if any.
};

std::string renderStatusPage(const StatusReport& report);

}  // namespace coursepond::node
