#pragma once

/// A keep-alive client connection of the load tool that carries one request at a time.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "core/address.h"
#include "core/environment.h"
#include "outcome.h"

namespace coursepond::load {

/// One request as it is sent, with its timeout.
struct OutgoingRequest {
  std::string method;
  std::string host;
  std::string target;
  std::string request_id;
  Duration deadline{};  ///< Sent as X-Deadline-Ms when above zero.
  Duration timeout{};   ///< After which the connection is closed.
};

class LoadConnection {
 public:
  using Callback = std::function<void(ExchangeEnd, Answer)>;

  LoadConnection(boost::asio::io_context& context, Environment& environment,
                 const Address& address);
  /// Closes the connection. A pending callback is not called.
  ~LoadConnection();
  LoadConnection(const LoadConnection&) = delete;
  LoadConnection& operator=(const LoadConnection&) = delete;

  /// Sends the request and connects first if necessary. The callback is called exactly once, and
  /// never from within this function. Requires that no other request is in flight.
  void send(const OutgoingRequest& request, Callback callback);

  /// Returns whether the connection is open, idle and not closed by its peer. Returns false before
  /// the first send.
  bool reusable() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace coursepond::load
