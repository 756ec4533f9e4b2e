#pragma once

/// Looks whether the own server's port is open, by connecting and closing again.

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

  /// Calls back once, from a later event.
  void look(Callback callback);

 private:
  boost::asio::io_context& context_;
  Address server_;
};

}  // namespace coursepond::node
