#pragma once

/// Asks this machine's server how it is, when the ingress wants to know.

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
      : client_(context), server_(std::move(server)), names_(std::move(names)) {}

  /// Where the server tells how it is; empty: it doesn't.
  void setPath(std::string path) { path_ = std::move(path); }
  /// Calls back when the server answers, whatever it says of its health: it also says so while it
  /// is leaving. Not called when it doesn't answer, or when it doesn't tell.
  void ask(Callback callback);

 private:
  runtime::HttpClient client_;
  Address server_;
  runtime::HeaderNames names_;
  std::string path_;
};

/// The server's word in `response`; nothing when it is none: a busy server may answer without
/// having looked.
std::optional<ingress::ServerHealth> healthOf(const runtime::HttpClientResponse& response,
                                              const runtime::HeaderNames& names);

}  // namespace coursepond::node
