#pragma once

/// A small HTTP/1.1 server for short, complete requests: operator API, metrics, health, status page
/// and the stand-ins. It handles the requests of one connection one at a time, in order.

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "core/error.h"
#include "core/time.h"
#include "proxy/link_scheduler.h"
#include "runtime/http_message.h"

namespace coursepond::runtime {

/// Limits of one HttpServer. A caller that exceeds one receives a typed refusal (408, 413, 431).
struct HttpServerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = std::uint64_t{4} * 1024 * 1024;
  /// How long a kept connection may stay without a request.
  Duration idle_timeout = std::chrono::seconds(60);
  /// From a request's first byte to its last.
  Duration request_timeout = std::chrono::seconds(10);
  /// How long the caller may take to accept a further piece of an answer.
  Duration write_timeout = std::chrono::seconds(10);
  std::size_t connections = 1024;  ///< Further connections are closed when they arrive.
};

/// Counters for /metrics. Never reset.
struct HttpServerStatistics {
  std::uint64_t connections_accepted = 0;
  std::uint64_t connections_refused = 0;  ///< The connection limit was reached.
  std::uint64_t requests = 0;
  std::uint64_t refused_too_large = 0;  ///< Head or body exceeded its limit.
  std::uint64_t refused_malformed = 0;
  std::uint64_t refused_slow = 0;  ///< Head or body was not complete in time.
};

/// Answers one request, immediately or later, on the io_context's thread. All copies answer the
/// same request: the first answer is sent, later ones are ignored. If the last copy is destroyed
/// without an answer, the caller receives 500.
class HttpResponder {
 public:
  class Channel;
  explicit HttpResponder(std::shared_ptr<Channel> channel);

  void respond(HttpResponse response) const;

  /// Sends `head` with chunked coding but no body yet, for an answer that becomes available piece
  /// by piece. Follow with sendChunk() and finish(). All three have no effect once the caller has
  /// left.
  void begin(HttpResponse head) const;
  void sendChunk(std::string bytes) const;
  void finish() const;
  /// Closes the connection without the answer or the rest of it, as a crashing server would.
  void cut() const;

  /// Calls `callback` once if the caller leaves before the answer is complete.
  void onCallerDisconnected(std::function<void()> callback) const;

 private:
  std::shared_ptr<Channel> channel_;
};

class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, HttpResponder)>;

  /// Listens on `address` (port 0: any free port) and starts to accept. Fails with kUnavailable
  /// when the address cannot be bound. `context` must outlive the server and run on one thread.
  static Result<std::unique_ptr<HttpServer>> create(boost::asio::io_context& context,
                                                    const Address& address, HttpServerLimits limits,
                                                    Handler handler);
  /// Closes all connections immediately.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Sends large whole answers in turns of `link`, which must outlive the server, and reports small
  /// ones to it. All large ones have the same due time and share the link evenly.
  void scheduleOutput(proxy::LinkScheduler& link, TimePoint due);

  /// The address on which the server listens, with the port that was bound.
  Address address() const;
  const HttpServerStatistics& statistics() const;
  std::size_t connectionCount() const;

  /// Accepts no more connections; open ones continue.
  void stopAccepting();
  /// Accepts no more connections, closes idle ones now and each other one after its current
  /// request, then calls `closed`.
  void closeWhenIdle(std::function<void()> closed);

 private:
  class Implementation;
  explicit HttpServer(std::shared_ptr<Implementation> implementation);
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace coursepond::runtime
