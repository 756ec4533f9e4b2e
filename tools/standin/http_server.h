#pragma once

/// A small HTTP/1.1 server for the stand-ins. It supports keep-alive with one request at a time on
/// each connection, and detects clients that disconnect before their reply.

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>

#include "core/address.h"
#include "core/time.h"
#include "http_message.h"

namespace coursepond::standin {

/// Limits and delays of an HttpServer.
struct HttpServerOptions {
  Address listen;                          ///< Port 0 selects a free port.
  std::size_t connection_limit = 4096;     ///< Connections above it are handled by `on_excess`.
  Duration connection_delay = Duration{};  ///< Delay of a new connection's first read.
};

/// Counters of an HttpServer.
struct HttpServerCounts {
  std::size_t open_connections = 0;
  std::size_t accepted_connections = 0;
  std::size_t excess_connections = 0;
};

class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// `on_excess` handles requests on connections above the limit, which are closed after their
  /// reply. `on_request` handles all other requests.
  HttpServer(boost::asio::io_context& context, HttpServerOptions options, Handler on_request,
             Handler on_excess);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and listens. Fails with kUnavailable when the address is taken.
  Result<Address> start();

  /// Stops accepting connections and closes every connection that has no request in progress.
  void stop();

  /// Closes each connection after its next reply from now on. Idle connections stay open, so that a
  /// client that has just sent a request gets its answer.
  void closeAfterReplies();

  HttpServerCounts counts() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace coursepond::standin
