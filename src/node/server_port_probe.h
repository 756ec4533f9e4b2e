#pragma once

/// Checks whether the port of the local server is open by connecting to it and closing the
/// connection.

#include <boost/asio/io_context.hpp>
#include <functional>

#include "core/address.h"
#include "ingress/server_end_watch.h"

namespace coursepond::node {

class ServerPortProbe {
 public:
  using Callback = std::function<void(ingress::ServerPort)>;

  /// `context` must outlive the probe, and its callbacks are called from it.
  ServerPortProbe(boost::asio::io_context& context, Address server)
      : context_(context), server_(std::move(server)) {}

  /// Starts a check. `callback` is called once, never before this function returns.
  void probe(Callback callback);

 private:
  boost::asio::io_context& context_;
  Address server_;
};

}  // namespace coursepond::node
