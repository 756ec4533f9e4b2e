#pragma once

/// What tests over real sockets share: one io_context, a client, and waiting for what has to
/// happen.

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "runtime/http_client.h"

namespace coursepond::testing {

class LoopbackBench {
 public:
  /// Runs the io_context until `reached` holds. False after a time that only a fault lets pass.
  bool runUntil(const std::function<bool()>& reached) {
    const auto deadline = std::chrono::steady_clock::now() + kPatience;
    while (!reached() && std::chrono::steady_clock::now() < deadline) context_.run_for(kStep);
    return reached();
  }

  /// Sends a request and waits for its answer.
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
  /// A port that is free on the machine `ip` at this moment, other than `taken`.
  static std::uint16_t freePort(const std::string& ip = "127.0.0.1", std::uint16_t taken = 0) {
    using Tcp = boost::asio::ip::tcp;
    boost::asio::io_context context;
    const Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::make_address(ip), 0));
    const std::uint16_t port = acceptor.local_endpoint().port();
    return port == taken ? freePort(ip, taken) : port;
  }

  boost::asio::io_context context_{1};
  runtime::HttpClient client_{context_};

 private:
  static constexpr std::chrono::seconds kPatience{20};
  static constexpr std::chrono::seconds kCallTimeout{10};
  static constexpr std::chrono::milliseconds kStep{2};
};

}  // namespace coursepond::testing
