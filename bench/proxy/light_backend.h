#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "core/address.h"

namespace coursepond::bench {

/// A minimal server that answers every request head with the same bytes at the lowest possible
/// cost. Does not support request bodies.
class LightBackend {
 public:
  LightBackend(boost::asio::io_context& context, std::size_t body_bytes);
  Address address() const;

 private:
  class Connection;
  void accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  std::string answer_;
};

}  // namespace coursepond::bench
