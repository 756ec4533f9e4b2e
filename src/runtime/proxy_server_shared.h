#pragma once

/// Internal to the ProxyServer: state shared by all its connections.

#include <functional>
#include <memory>
#include <unordered_set>

#include "core/environment.h"
#include "runtime/body_gate.h"
#include "runtime/caller_request.h"
#include "runtime/deadline_watch.h"
#include "runtime/http_parser.h"
#include "runtime/proxy_server.h"
#include "runtime/request_body.h"
#include "runtime/upstream_pool.h"

namespace coursepond::runtime {

class CallerConnection;

/// State shared by all connections of one ProxyServer.
struct ProxyServerShared {
  ProxyServerSettings settings;
  std::unique_ptr<FieldTable> table;
  ExchangeSource source;
  Environment& environment;
  std::shared_ptr<DeadlineWatch> watch;
  UpstreamPool pool;
  BodyGate body_gate;
  std::shared_ptr<HeldBodyBudget> held_bodies;
  ProxyServerStatistics statistics;
  std::unordered_set<CallerConnection*> connections;
  bool stopping = false;           ///< Every answer ends its connection.
  std::function<void()> on_empty;  ///< Called when the last connection is gone.
  RequestIdSource request_ids;
  bool closes_idle = false;  ///< The grace time of a stop is over.
};

}  // namespace coursepond::runtime
