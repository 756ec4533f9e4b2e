#pragma once

/// Requests the health state of the server on this machine on behalf of the ingress.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "core/address.h"
#include "ingress/ingress_state.h"
#include "runtime/header_names.h"
#include "runtime/http_client.h"

namespace coursepond::node {

class ServerHealthClient {
 public:
  using Callback = std::function<void(const ingress::ServerHealth&)>;

  /// `context` must outlive the client.
  ServerHealthClient(boost::asio::io_context& context, Address server, runtime::HeaderNames names)
      : client_(context, limits()), server_(std::move(server)), names_(std::move(names)) {}

  /// Sets the path of the server's health endpoint. Empty if the server has none.
  void setPath(std::string path) { path_ = std::move(path); }
  /// Requests the health state. `callback` is called for every valid answer, whatever its status,
  /// because a server that is leaving still reports its state. It is not called if the server does
  /// not answer in time or the answer contains no health state.
  void fetch(Callback callback);

 private:
  static runtime::HttpClientLimits limits();

  runtime::HttpClient client_;
  Address server_;
  runtime::HeaderNames names_;
  std::string path_;
};

/// Parses the health state in `response`. Returns nothing if the response does not come from the
/// health check itself: a busy server may reject the request without running it.
std::optional<ingress::ServerHealth> healthOf(const runtime::HttpClientResponse& response,
                                              const runtime::HeaderNames& names);

}  // namespace coursepond::node
