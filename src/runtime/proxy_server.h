#pragma once

/// The data path's server: takes callers' requests, runs one proxy::RequestFlow for each, streams
/// bodies both ways with bounded buffers and keeps the connections to servers.

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "core/address.h"
#include "core/environment.h"
#include "core/error.h"
#include "model/configuration.h"
#include "proxy/connection_policy.h"
#include "proxy/proxy_state.h"
#include "proxy/request_flow.h"
#include "runtime/header_names.h"
#include "runtime/http_head_writer.h"
#include "runtime/proxy_refusal.h"
#include "runtime/upstream_pool.h"

namespace coursepond::runtime {

/// Limits towards callers. Beyond one, the caller gets a typed refusal; see RefusalReason.
struct ProxyServerSettings {
  Address listen{"127.0.0.1", 0};   ///< Port 0: any free port.
  std::size_t connections = 10000;  ///< More callers are closed as they arrive.
  std::uint32_t head_bytes = 16 * 1024;
  std::uint64_t body_bytes = 0;            ///< 0: any length, since bodies are streamed.
  std::uint32_t buffer_bytes = 32 * 1024;  ///< Read from a caller at a time.
  std::uint32_t replay_bytes = 64 * 1024;  ///< Kept of a request's body for a further attempt.
  Duration idle_timeout = std::chrono::seconds(60);   ///< A kept connection without a request.
  Duration head_timeout = std::chrono::seconds(10);   ///< From a head's first byte to its last.
  Duration body_timeout = std::chrono::seconds(10);   ///< Between two pieces of a request body.
  Duration write_timeout = std::chrono::seconds(10);  ///< To take one buffer of an answer.
  /// A planned stop still takes requests on kept connections for this long; each answer tells the
  /// caller to close. Then silent connections are closed.
  Duration stop_grace = std::chrono::seconds(1);
  /// A planned stop cuts what is still in flight after this long.
  Duration stop_drain = std::chrono::seconds(30);
  UpstreamPoolSettings upstream;
  HeaderNames names;
  AnswerStyle answer_style = AnswerStyle::kDirect;
  /// Bodies over 16 KiB that an ingress asks the hop before for at a time: enough to keep a link
  /// busy while one begins and another ends.
  std::size_t large_bodies_at_once = 3;
  bool exact_retry_after = false;  ///< Retry-After in fractions of a second.
  /// An answer up to this long is held until it is whole: one that breaks off is then no answer,
  /// and the request may still be tried elsewhere. Zero: every answer is streamed.
  std::size_t whole_answer_bytes = 0;
  /// Requests of one connection that run at the same time, where they may: see
  /// ExchangeSource::runs_beside. More of them wait unread.
  std::size_t requests_side_by_side = 8;
  /// Told the IP number of each caller that connects. May be empty.
  std::function<void(const std::string& host)> on_caller;
};

/// Makes the state machine of one request.
using ExchangeFactory =
    std::function<std::unique_ptr<proxy::Exchange>(proxy::RequestHead, proxy::RequestIo&)>;

/// What decides on the requests of one ProxyServer.
struct ExchangeSource {
  ExchangeFactory make;
  proxy::ConnectionPolicy* policy = nullptr;
  std::function<void()> begin_stop;  ///< From now on, new requests are refused.
  /// Whether a request without a body may begin while earlier ones of its connection still run: its
  /// caller sends it again when the connection ends early. Empty: none may.
  std::function<bool(const proxy::RequestHead&)> runs_beside;
};

/// A node that reaches servers itself. Both must outlive the source.
ExchangeSource directExchanges(proxy::ProxyState& state, Environment& environment);

/// Counters for /metrics. Never reset.
struct ProxyServerStatistics {
  std::uint64_t connections_accepted = 0;
  std::uint64_t connections_refused = 0;  ///< Over the limit of connections.
  std::uint64_t requests = 0;             ///< Heads that passed the checks.
  std::uint64_t answers = 0;              ///< Passed to the caller whole, refusals included.
  std::uint64_t answers_cut = 0;          ///< The caller's connection was cut inside an answer.
  std::uint64_t callers_gone = 0;         ///< Left before their answer.
  std::uint64_t cut_at_stop = 0;          ///< Still in flight when the drain time was over.
  RefusalCounts refusals{};
};

class ProxyServer {
 public:
  /// Listens and begins to accept. Fails with kUnavailable when the address cannot be bound.
  /// `context` (run on one thread), `state` and `environment` must outlive the server.
  static Result<std::unique_ptr<ProxyServer>> create(boost::asio::io_context& context,
                                                     const ProxyServerSettings& settings,
                                                     proxy::ProxyState& state,
                                                     Environment& environment);
  /// The same with other state machines. What `source` refers to must outlive the server.
  static Result<std::unique_ptr<ProxyServer>> create(boost::asio::io_context& context,
                                                     const ProxyServerSettings& settings,
                                                     ExchangeSource source,
                                                     Environment& environment);
  /// Cuts everything at once.
  ~ProxyServer();
  ProxyServer(const ProxyServer&) = delete;
  ProxyServer& operator=(const ProxyServer&) = delete;

  /// Where it listens, with the port that was bound.
  Address address() const;

  /// Begins a planned stop: accepts no new connections, finishes every request in flight, calls
  /// ProxyState::beginStop() after the grace, and `drained` once no caller is connected.
  void beginStop(std::function<void()> drained);

  /// Puts an operator's limits in force; a zero leaves the setting as it is.
  void setCallerLimits(const model::CallerLimits& limits);
  /// From now on every answer asks its caller to close; connections are still accepted.
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
