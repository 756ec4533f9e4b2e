#pragma once

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "proxy/proxy_state.h"
#include "runtime/asio_environment.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/proxy_server.h"

namespace coursepond::runtime {

using Tcp = boost::asio::ip::tcp;

/// A caller that writes raw bytes and collects the bytes it receives.
class RawCaller {
 public:
  RawCaller(boost::asio::io_context& context, std::uint16_t port)
      : context_(context), socket_(context) {
    socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    read();
  }
  ~RawCaller() { alive_.reset(); }

  void send(const std::string& bytes) {
    boost::system::error_code ignored;  // The server may already have closed.
    boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
  }
  /// Sends while the context runs, as far as the other side accepts the bytes, and after what was
  /// given to it before.
  void sendLater(std::string bytes) {
    unsent_.push_back(std::make_shared<const std::string>(std::move(bytes)));
    if (unsent_.size() == 1) sendNext();
  }
  void close() { socket_.close(); }

  /// Runs the context until the received bytes contain `text` or the stream has ended.
  bool receives(const std::string& text) {
    runUntil([&] { return received.find(text) != std::string::npos || ended; });
    return received.find(text) != std::string::npos;
  }
  void runToEnd() {
    runUntil([&] { return ended; });
  }
  void runUntil(const std::function<bool()>& done) {
    while (!done()) REQUIRE(context_.run_one() > 0);
  }

  std::string received;
  bool ended = false;
  bool reset = false;  ///< The connection was reset instead of closed.

 private:
  /// A further write while one is under way would mix their bytes.
  void sendNext() {
    const std::shared_ptr<const std::string> held = unsent_.front();
    boost::asio::async_write(socket_, boost::asio::buffer(*held),
                             [this, held, alive = std::weak_ptr<int>(alive_)](
                                 const boost::system::error_code& error, std::size_t) {
                               if (alive.expired() || error) return;
                               unsent_.pop_front();
                               if (!unsent_.empty()) sendNext();
                             });
  }

  void read() {
    socket_.async_read_some(boost::asio::buffer(chunk_),
                            [this, alive = std::weak_ptr<int>(alive_)](
                                const boost::system::error_code& error, std::size_t size) {
                              if (alive.expired()) return;
                              received.append(chunk_.data(), size);
                              ended = error.failed();
                              reset = error == boost::asio::error::connection_reset;
                              if (!error) read();
                            });
  }

  boost::asio::io_context& context_;
  Tcp::socket socket_;
  std::array<char, 4096> chunk_{};
  std::deque<std::shared_ptr<const std::string>> unsent_;  ///< The first one is being sent.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

/// A server that passes the raw bytes of each connection to the test.
class RawServer {
 public:
  struct Connection {
    explicit Connection(Tcp::socket socket_in) : socket(std::move(socket_in)) {}
    Tcp::socket socket;
    std::string received;
    bool ended = false;
    std::array<char, 4096> chunk{};
    void send(const std::string& bytes) {
      boost::system::error_code ignored;
      boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    }
  };
  using Callback = std::function<void(Connection&)>;

  /// `on_bytes` runs after each read of a connection.
  RawServer(boost::asio::io_context& context, Callback on_bytes)
      : acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        on_bytes_(std::make_shared<Callback>(std::move(on_bytes))) {
    accept();
  }

  Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  std::vector<std::shared_ptr<Connection>> connections;

 private:
  void accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error, Tcp::socket socket) {
      if (error) return;
      connections.push_back(std::make_shared<Connection>(std::move(socket)));
      read(connections.back(), on_bytes_);
      accept();
    });
  }
  static void read(const std::shared_ptr<Connection>& connection,
                   const std::shared_ptr<Callback>& on_bytes) {
    connection->socket.async_read_some(
        boost::asio::buffer(connection->chunk),
        [connection, on_bytes](const boost::system::error_code& error, std::size_t size) {
          connection->ended = error.failed();
          if (error) return;
          connection->received.append(connection->chunk.data(), size);
          (*on_bytes)(*connection);
          if (connection->socket.is_open()) read(connection, on_bytes);
        });
  }

  Tcp::acceptor acceptor_;
  std::shared_ptr<Callback> on_bytes_;
};

/// The data path of one node, with one service "s" and one route to it, on one context.
struct ProxyServerFixture {
  /// `may_run_concurrently`: see ExchangeSource.
  explicit ProxyServerFixture(
      ProxyServerSettings settings_in = {}, model::Service service = {ServiceName("s")},
      std::function<bool(const proxy::RequestHead&)> may_run_concurrently = {})
      : settings(std::move(settings_in)), state(ZoneId("z"), proxy::Settings{}, environment) {
    ExchangeSource source = directExchanges(state, environment);
    source.may_run_concurrently = std::move(may_run_concurrently);
    server =
        std::move(ProxyServer::create(context, settings, std::move(source), environment).value());
    auto snapshot = std::make_shared<model::Snapshot>();
    snapshot->version = Version(7);
    model::Route route;
    route.name = RouteName("r");
    route.match.host = "svc";
    route.service = service.name;
    snapshot->routes.push_back(route);
    snapshot->services.emplace(service.name, service);
    REQUIRE(state.apply(snapshot));
  }

  /// Sets the servers of the service.
  void useServers(const std::vector<Address>& addresses) {
    model::EndpointSet set;
    set.service = ServiceName("s");
    set.zone = ZoneId("z");
    set.generation = Generation(++generation);
    for (const Address& address : addresses) {
      set.endpoints.push_back(
          {EndpointId("e" + std::to_string(address.port)), address, ZoneId("z")});
    }
    state.updateEndpoints(set);
  }

  /// Starts an HTTP server and makes it the only server of the service.
  HttpServer& startBackend(HttpServer::Handler handler) {
    backends.push_back(
        std::move(HttpServer::create(context, {"127.0.0.1", 0}, {}, std::move(handler)).value()));
    useServers({backends.back()->address()});
    return *backends.back();
  }

  RawCaller caller() { return {context, server->address().port}; }

  void runUntil(const std::function<bool()>& done) {
    while (!done()) REQUIRE(context.run_one() > 0);
  }

  boost::asio::io_context context;
  AsioEnvironment environment{context};
  ProxyServerSettings settings;
  proxy::ProxyState state;
  std::unique_ptr<ProxyServer> server;
  std::vector<std::unique_ptr<HttpServer>> backends;
  std::uint64_t generation = 0;
};

/// A request for the fixture's route.
inline std::string simpleGet(const std::string& target, const std::string& more_fields = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: svc\r\n" + more_fields + "\r\n";
}

}  // namespace coursepond::runtime
