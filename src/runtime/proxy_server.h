#pragma once

/// The server of the data path: accepts callers' requests, runs one proxy::RequestFlow for each,
/// streams bodies in both directions with bounded buffers, and keeps connections to servers open.

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "core/address.h"
#include "core/environment.h"
#include "core/error.h"
#include "model/configuration.h"
#include "proxy/connection_policy.h"
#include "proxy/link_scheduler.h"
#include "proxy/proxy_state.h"
#include "proxy/request_flow.h"
#include "runtime/header_names.h"
#include "runtime/http_head_writer.h"
#include "runtime/proxy_refusal.h"
#include "runtime/upstream_pool.h"

namespace coursepond::runtime {

/// Limits for callers. A caller that exceeds one receives a typed refusal; see RefusalReason.
struct ProxyServerSettings {
  Address listen{"127.0.0.1", 0};   ///< Port 0: any free port.
  std::size_t connections = 10000;  ///< Further connections are closed when they arrive.
  std::uint32_t head_bytes = 16 * 1024;
  std::uint64_t body_bytes = 0;            ///< 0: any length, since bodies are streamed.
  std::uint32_t buffer_bytes = 32 * 1024;  ///< Size of the receive buffer per caller.
  /// Leading bytes of a request body that are kept for a retry.
  std::uint32_t replay_bytes = 64 * 1024;
  /// Maximum size of a body that is held until its request is identified.
  std::size_t held_body_bytes = std::size_t{1024} * 1024;
  /// Maximum size of all of these together.
  std::size_t held_bodies_bytes = std::size_t{8} * 1024 * 1024;
  /// How long a kept connection may stay without a request.
  Duration idle_timeout = std::chrono::seconds(60);
  Duration head_timeout = std::chrono::seconds(10);  ///< From a head's first byte to its last.
  Duration body_timeout = std::chrono::seconds(10);  ///< Between two pieces of a request body.
  /// How long the caller may take to accept one buffer of an answer.
  Duration write_timeout = std::chrono::seconds(10);
  /// A planned stop still accepts requests on kept connections for this long, and each answer asks
  /// the caller to close. After that, idle connections are closed.
  Duration stop_grace = std::chrono::seconds(1);
  /// A planned stop cuts requests that are still in flight after this time.
  Duration stop_drain = std::chrono::seconds(30);
  UpstreamPoolSettings upstream;
  HeaderNames names;
  AnswerStyle answer_style = AnswerStyle::kDirect;
  /// Maximum number of bodies over 16 KiB that an ingress requests from the previous hop at the
  /// same time: enough to keep a link busy while one begins and another ends.
  std::size_t max_large_bodies = 3;
  bool exact_retry_after = false;  ///< Retry-After in fractions of a second.
  /// Answers up to this length are buffered until they are complete. If one breaks off, it counts
  /// as no answer and the request may be retried elsewhere. Zero: every answer is streamed.
  std::size_t buffered_answer_bytes = 0;
  /// Maximum number of requests of one connection that run at the same time, if that is allowed;
  /// see ExchangeSource::may_run_concurrently. Further requests are not read until one completes.
  std::size_t max_concurrent_requests = 8;
  /// Schedules large answers; must outlive the server. Null: they are sent at once.
  proxy::LinkScheduler* link = nullptr;
  /// Address of this machine: output to callers there crosses no link and is not scheduled. Empty:
  /// all output crosses the link.
  std::string own_host;
  /// Schedules the bodies of large requests; must outlive the server. Null: they are sent at once.
  proxy::LinkScheduler* upstream_link = nullptr;
  /// Requests to servers at this address cross no link.
  std::string upstream_own_host;
  /// Called with the IP address of each caller that connects. May be empty.
  std::function<void(const std::string& host)> on_caller;
};

/// Creates the state machine of one request.
using ExchangeFactory =
    std::function<std::unique_ptr<proxy::Exchange>(proxy::RequestHead, proxy::RequestIo&)>;

/// Decides how one ProxyServer handles its requests.
struct ExchangeSource {
  ExchangeFactory make;
  proxy::ConnectionPolicy* policy = nullptr;
  std::function<void()> begin_stop;  ///< Refuses new requests from now on.
  /// Whether a request without a body may start while earlier requests of its connection are still
  /// running. Its caller sends it again if the connection ends early. Empty: never.
  std::function<bool(const proxy::RequestHead&)> may_run_concurrently;
};

/// Returns the source for a node that reaches servers directly. Both arguments must outlive the
/// source.
ExchangeSource directExchanges(proxy::ProxyState& state, Environment& environment);

/// Counters for /metrics. Never reset.
struct ProxyServerStatistics {
  std::uint64_t connections_accepted = 0;
  std::uint64_t connections_refused = 0;  ///< The connection limit was reached.
  std::uint64_t requests = 0;             ///< Requests whose heads passed the checks.
  std::uint64_t answers = 0;       ///< Answers fully passed to the caller, refusals included.
  std::uint64_t answers_cut = 0;   ///< Answers during which the caller's connection was cut.
  std::uint64_t callers_gone = 0;  ///< Callers that left before their answer.
  std::uint64_t cut_at_stop = 0;   ///< Requests still in flight at the end of the drain time.
  RefusalCounts refusals{};
};

class ProxyServer {
 public:
  /// Listens and starts to accept. Fails with kUnavailable when the address cannot be bound.
  /// `context` (run on one thread), `state` and `environment` must outlive the server.
  static Result<std::unique_ptr<ProxyServer>> create(boost::asio::io_context& context,
                                                     const ProxyServerSettings& settings,
                                                     proxy::ProxyState& state,
                                                     Environment& environment);
  /// The same with other state machines. Everything that `source` refers to must outlive the
  /// server.
  static Result<std::unique_ptr<ProxyServer>> create(boost::asio::io_context& context,
                                                     const ProxyServerSettings& settings,
                                                     ExchangeSource source,
                                                     Environment& environment);
  /// Cuts all connections immediately.
  ~ProxyServer();
  ProxyServer(const ProxyServer&) = delete;
  ProxyServer& operator=(const ProxyServer&) = delete;

  /// The address on which the server listens, with the port that was bound.
  Address address() const;

  /// Starts a planned stop: accepts no new connections, finishes every request in flight, calls
  /// ProxyState::beginStop() after the grace period, and `drained` once no caller is connected.
  /// Requests that are still in flight at `end` are cut; by default, stop_grace and stop_drain
  /// after this call.
  void beginStop(std::function<void()> drained, std::optional<TimePoint> end = std::nullopt);

  /// Applies an operator's limits. A limit of zero leaves the setting unchanged.
  void setCallerLimits(const model::CallerLimits& limits);
  /// Makes every further answer ask its caller to close. Connections are still accepted.
  void announceClose();

  const ProxyServerStatistics& statistics() const;
  const UpstreamStatistics& upstreamStatistics() const;
  std::size_t callerConnectionCount() const;
  std::size_t upstreamConnectionCount() const;

 private:
  class Implementation;
  explicit ProxyServer(std::shared_ptr<Implementation> implementation);
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace coursepond::runtime
