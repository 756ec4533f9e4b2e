#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

#include "core/address.h"

namespace coursepond::bench {

/// A keep-alive connection that repeatedly sends the same request and reads complete answers.
class LoadConnection {
 public:
  /// Connects immediately. `on_answer` gets true for a complete answer with status 200, and false
  /// if the connection was lost or the answer had another status.
  LoadConnection(boost::asio::io_context& context, const Address& address, std::size_t body_bytes,
                 std::function<void(bool)> on_answer);

  void send();
  bool busy() const { return busy_; }

 private:
  void read();
  void onRead(std::size_t size);

  boost::asio::ip::tcp::socket socket_;
  std::string request_;
  std::size_t body_bytes_;
  std::function<void(bool)> on_answer_;
  std::string received_;
  std::array<char, 16384> bytes_{};
  bool busy_ = false;
};

}  // namespace coursepond::bench
