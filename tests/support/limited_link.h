#pragma once

/// A link with limited bandwidth between clients and a server on loopback. It is a TCP proxy that
/// limits the bytes per second towards the clients. All connections share this limit, as on one
/// slow network interface. Traffic towards the server isn't limited.

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <memory>

#include "core/address.h"

namespace coursepond::testing {

class LimitedLink {
 public:
  using Tcp = boost::asio::ip::tcp;

  LimitedLink(boost::asio::io_context& context, const Address& server,
              std::uint64_t bytes_per_second)
      : context_(context),
        server_(boost::asio::ip::make_address(server.host), server.port),
        bytes_per_second_(bytes_per_second),
        acceptor_(context, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
    accept();
  }

  Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  void setBytesPerSecond(std::uint64_t bytes) { bytes_per_second_ = bytes; }
  /// Number of bytes passed towards the clients, over all connections.
  std::uint64_t bytesPassed() const { return bytes_passed_; }

 private:
  using Clock = std::chrono::steady_clock;
  /// Maximum number of bytes that the link passes at a time for one connection.
  static constexpr std::size_t kPieceBytes = 4096;

  struct Pair {
    explicit Pair(boost::asio::io_context& context)
        : client(context), server(context), timer(context) {}
    Tcp::socket client;
    Tcp::socket server;
    boost::asio::steady_timer timer;
    std::array<char, kPieceBytes> upward{};
    std::array<char, kPieceBytes> downward{};

    void close() {
      boost::system::error_code ignored;
      client.close(ignored);
      server.close(ignored);
      timer.cancel();
    }
  };
  using PairPointer = std::shared_ptr<Pair>;

  void accept() {
    auto pair = std::make_shared<Pair>(context_);
    acceptor_.async_accept(pair->client, [this, pair](boost::system::error_code error) {
      if (error) return;
      pair->server.async_connect(server_, [this, pair](boost::system::error_code failure) {
        if (failure) return pair->close();
        passUp(pair);
        passDown(pair);
      });
      accept();
    });
  }

  void passUp(const PairPointer& pair) {
    pair->client.async_read_some(
        boost::asio::buffer(pair->upward),
        [this, pair](boost::system::error_code error, std::size_t size) {
          if (error) return pair->close();
          boost::asio::async_write(pair->server, boost::asio::buffer(pair->upward.data(), size),
                                   [this, pair](boost::system::error_code failure, std::size_t) {
                                     failure ? pair->close() : passUp(pair);
                                   });
        });
  }

  void passDown(const PairPointer& pair) {
    pair->server.async_read_some(boost::asio::buffer(pair->downward),
                                 [this, pair](boost::system::error_code error, std::size_t size) {
                                   error ? pair->close() : deliver(pair, size);
                                 });
  }

  /// Writes the bytes to the client once the link has had time to transmit them. Pieces of all
  /// connections are transmitted one after the other.
  void deliver(const PairPointer& pair, std::size_t size) {
    const std::chrono::nanoseconds span(size * 1'000'000'000 / bytes_per_second_);
    free_at_ = std::max(free_at_, Clock::now()) + span;
    bytes_passed_ += size;
    pair->timer.expires_at(free_at_);
    pair->timer.async_wait([this, pair, size](boost::system::error_code error) {
      if (error) return;
      boost::asio::async_write(pair->client, boost::asio::buffer(pair->downward.data(), size),
                               [this, pair](boost::system::error_code failure, std::size_t) {
                                 failure ? pair->close() : passDown(pair);
                               });
    });
  }

  boost::asio::io_context& context_;
  Tcp::endpoint server_;
  std::uint64_t bytes_per_second_;
  std::uint64_t bytes_passed_ = 0;
  Clock::time_point free_at_;
  Tcp::acceptor acceptor_;
};

}  // namespace coursepond::testing
