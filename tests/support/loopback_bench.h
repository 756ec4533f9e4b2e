#pragma once

/// Common parts of tests with real sockets: an io_context, an HTTP client, and a function that
/// waits for a condition.

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include "runtime/http_client.h"

namespace coursepond::testing {

class LoopbackBench {
 public:
  /// Runs the io_context until `reached` returns true. Returns false after kWaitTimeout, which is
  /// long enough that only a fault exceeds it.
  bool runUntil(const std::function<bool()>& reached) {
    const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!reached() && std::chrono::steady_clock::now() < deadline) context_.run_for(kStep);
    return reached();
  }

  /// Sends a request, waits for the response and returns it.
  runtime::HttpClientResponse call(const Address& address, runtime::HttpClientRequest request) {
    std::optional<Result<runtime::HttpClientResponse>> response;
    client_.request(address, std::move(request), kCallTimeout,
                    [&response](auto received) { response = std::move(received); });
    REQUIRE(runUntil([&response] { return response.has_value(); }));
    REQUIRE(response->has_value());
    return **response;
  }

  boost::asio::io_context& context() { return context_; }

 protected:
  /// Returns a port other than `taken` that currently has no listener on any address. The port is
  /// below the system's ephemeral range, as an outgoing connection could otherwise take it before
  /// the test listens on it.
  static std::uint16_t freePort(std::uint16_t taken = 0) {
    using Tcp = boost::asio::ip::tcp;
    static std::mt19937 engine{std::random_device{}()};
    std::uniform_int_distribution<std::uint16_t> ports(kFirstPort, kLastPort);
    for (;;) {
      const std::uint16_t port = ports(engine);
      boost::asio::io_context context;
      Tcp::acceptor acceptor(context, Tcp::v4());
      boost::system::error_code error;
      acceptor.bind(Tcp::endpoint(boost::asio::ip::address_v4::any(), port), error);
      if (!error && port != taken) return port;
    }
  }

  boost::asio::io_context context_{1};
  runtime::HttpClient client_{context_};

 private:
  /// The ephemeral port range of Linux begins at 32768 by default.
  static constexpr std::uint16_t kFirstPort = 10'000;
  static constexpr std::uint16_t kLastPort = 32'000;
  static constexpr std::chrono::seconds kWaitTimeout{20};
  static constexpr std::chrono::seconds kCallTimeout{10};
  static constexpr std::chrono::milliseconds kStep{2};
};

}  // namespace coursepond::testing
