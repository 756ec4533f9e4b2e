#include "runtime/proxy_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <limits>
#include <vector>

#include "runtime/boot_timer.h"
#include "runtime/caller_connection.h"
#include "runtime/proxy_server_shared.h"
#include "runtime/tcp_types.h"

namespace coursepond::runtime {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

constexpr Duration kWatchTick = std::chrono::milliseconds(50);
/// Pause after a failed accept, which usually means that file descriptors ran out.
constexpr Duration kAcceptPause = std::chrono::milliseconds(20);

std::string makePrefix(Environment& environment) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::uint64_t number = environment.random(std::numeric_limits<std::uint64_t>::max());
  std::string prefix;
  for (int digit = 0; digit < 16; ++digit, number >>= 4) prefix += kDigits[number & 15];
  return prefix + "-";
}

}  // namespace

class ProxyServer::Implementation : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(asio::io_context& context, const ProxyServerSettings& settings,
                 ExchangeSource source, Environment& environment)
      : context_(context),
        acceptor_(context),
        accept_timer_(context),
        maintenance_timer_(context),
        stop_timer_(context),
        shared_(makeShared(context, settings, std::move(source), environment)) {}

  Result<void> listen(const Address& address) {
    error_code error;
    const auto ip = asio::ip::make_address(address.host, error);
    const Tcp::endpoint endpoint(ip, address.port);
    if (!error) acceptor_.open(endpoint.protocol(), error);
    if (!error) acceptor_.set_option(TcpAcceptor::reuse_address(true), error);
    if (!error) acceptor_.bind(endpoint, error);
    if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (!error) acceptor_.non_blocking(true, error);
    if (!error) address_ = {address.host, acceptor_.local_endpoint(error).port()};
    if (!error) return {};
    return Error{ErrorKind::kUnavailable,
                 "cannot listen on " + formatAddress(address) + ": " + error.message(),
                 "free the port or set another address"};
  }

  void start() {
    accept();
    maintain();
  }

  void beginStop(std::function<void()> drained, std::optional<TimePoint> end) {
    if (stop_begun_) return;
    stop_begun_ = true;
    ProxyServerSettings& settings = shared_->settings;
    if (end) {
      const Duration left = *end - shared_->environment.now() - settings.stop_grace;
      settings.stop_drain = std::max(Duration(0), left);
    }
    shared_->stopping = true;
    acceptPending();
    error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
    shared_->on_empty = [this, callback = std::move(drained)]() mutable { onDrained(callback); };
    waitForStop(shared_->settings.stop_grace, &Implementation::onGraceOver);
    // Runs after the handlers of connections that are already accepted.
    asio::post(context_, [self = shared_from_this()] { self->endIfEmpty(); });
  }

  void endIfEmpty() {
    if (shared_->connections.empty() && shared_->on_empty) shared_->on_empty();
  }

  void shutDown() {
    is_shut_down_ = true;
    shared_->on_empty = nullptr;
    error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
    maintenance_timer_.cancel();
    stop_timer_.cancel();
    for (const auto& connection : liveConnections()) connection->cutUnlessAnswered();
    shared_->pool.shutDown();
  }

  void setCallerLimits(const model::CallerLimits& limits) {
    ProxyServerSettings& settings = shared_->settings;
    if (limits.head_bytes > 0) settings.head_bytes = limits.head_bytes;
    if (limits.body_bytes > 0) settings.body_bytes = limits.body_bytes;
    if (limits.head_timeout > Duration(0)) settings.head_timeout = limits.head_timeout;
    if (limits.idle_timeout > Duration(0)) settings.idle_timeout = limits.idle_timeout;
  }

  void announceClose() { shared_->stopping = true; }

  const Address& address() const { return address_; }
  const ProxyServerShared& shared() const { return *shared_; }

 private:
  static std::shared_ptr<ProxyServerShared> makeShared(asio::io_context& context,
                                                       const ProxyServerSettings& settings,
                                                       ExchangeSource source,
                                                       Environment& environment) {
    auto table = std::make_unique<FieldTable>(settings.names);
    auto watch = std::make_shared<DeadlineWatch>(context, kWatchTick);
    UpstreamPoolSettings upstream = settings.upstream;
    upstream.connection.table = table.get();
    const proxy::ConnectionPolicy& policy = *source.policy;
    return std::shared_ptr<ProxyServerShared>(
        new ProxyServerShared{settings,
                              std::move(table),
                              std::move(source),
                              environment,
                              watch,
                              UpstreamPool(context, watch, upstream, policy),
                              BodyGate(settings.max_large_bodies),
                              std::make_shared<HeldBodyBudget>(settings.held_bodies_bytes),
                              {},
                              {},
                              false,
                              {},
                              RequestIdSource(makePrefix(environment))});
  }

  void accept() {
    acceptor_.async_accept([self = shared_from_this()](const error_code& error, TcpSocket socket) {
      // A connection accepted while the stop began is served like those that were pending; see
      // acceptPending().
      if (!error && !self->is_shut_down_) self->onAccepted(std::move(socket));
      if (!self->acceptor_.is_open()) return;
      error ? self->acceptLater() : self->accept();
    });
  }

  void acceptLater() {
    accept_timer_.expires_after(kAcceptPause);
    accept_timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error && self->acceptor_.is_open()) self->accept();
    });
  }

  /// Accepts the connections that were made before the stop. Closing the acceptor would reset them.
  void acceptPending() {
    for (;;) {
      error_code error;
      TcpSocket socket(context_);
      acceptor_.accept(socket, error);
      if (error) return;
      onAccepted(std::move(socket));
    }
  }

  void onAccepted(TcpSocket socket) {
    if (shared_->connections.size() >= shared_->settings.connections) {
      ++shared_->statistics.connections_refused;
      return;
    }
    ++shared_->statistics.connections_accepted;
    error_code ignored;
    if (shared_->settings.on_caller) {
      shared_->settings.on_caller(socket.remote_endpoint(ignored).address().to_string());
    }
    socket.set_option(Tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    std::make_shared<CallerConnection>(shared_, std::move(socket))->start();
  }

  void maintain() {
    shared_->pool.maintain();
    maintenance_timer_.expires_after(shared_->settings.upstream.maintenance_interval);
    maintenance_timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) self->maintain();
    });
  }

  void waitForStop(Duration delay, void (Implementation::*next)()) {
    stop_timer_.expires_after(delay);
    stop_timer_.async_wait([self = shared_from_this(), next](const error_code& error) {
      if (!error) (self.get()->*next)();
    });
  }

  void onGraceOver() {
    shared_->source.begin_stop();
    shared_->closes_idle = true;
    for (const auto& connection : liveConnections()) connection->closeIfIdle();
    waitForStop(shared_->settings.stop_drain, &Implementation::onDrainOver);
  }

  void onDrainOver() {
    for (const auto& connection : liveConnections()) {
      if (connection->hasRequest()) ++shared_->statistics.cut_at_stop;
      connection->cutUnlessAnswered();
    }
  }

  /// Called from the destructor of the last connection, so the callback runs in a later event.
  void onDrained(std::function<void()>& callback) {
    stop_timer_.cancel();
    maintenance_timer_.cancel();
    if (!callback) return;
    asio::post(acceptor_.get_executor(),
               [self = shared_from_this(), done = std::exchange(callback, nullptr)] {
                 self->shared_->source.begin_stop();
                 self->shared_->pool.closeIdle();
                 done();
               });
  }

  /// Cutting a connection may destroy it, so this returns a copy of the set.
  std::vector<std::shared_ptr<CallerConnection>> liveConnections() const {
    std::vector<std::shared_ptr<CallerConnection>> connections;
    for (CallerConnection* connection : shared_->connections) {
      if (auto live = connection->weak_from_this().lock()) connections.push_back(std::move(live));
    }
    return connections;
  }

  asio::io_context& context_;
  TcpAcceptor acceptor_;
  BootTimer accept_timer_;
  BootTimer maintenance_timer_;
  BootTimer stop_timer_;
  std::shared_ptr<ProxyServerShared> shared_;
  Address address_;
  bool stop_begun_ = false;
  bool is_shut_down_ = false;
};

ExchangeSource directExchanges(proxy::ProxyState& state, Environment& environment) {
  ExchangeSource source;
  source.make = [&state, &environment](proxy::RequestHead head, proxy::RequestIo& io) {
    return std::make_unique<proxy::RequestFlow>(std::move(head), state, environment, io);
  };
  source.policy = &state;
  source.begin_stop = [&state] { state.beginStop(); };
  return source;
}

ProxyServer::ProxyServer(std::shared_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

ProxyServer::~ProxyServer() { implementation_->shutDown(); }

Result<std::unique_ptr<ProxyServer>> ProxyServer::create(asio::io_context& context,
                                                         const ProxyServerSettings& settings,
                                                         proxy::ProxyState& state,
                                                         Environment& environment) {
  return create(context, settings, directExchanges(state, environment), environment);
}

Result<std::unique_ptr<ProxyServer>> ProxyServer::create(asio::io_context& context,
                                                         const ProxyServerSettings& settings,
                                                         ExchangeSource source,
                                                         Environment& environment) {
  auto implementation =
      std::make_shared<Implementation>(context, settings, std::move(source), environment);
  if (auto listening = implementation->listen(settings.listen); !listening) {
    return listening.error();
  }
  implementation->start();
  return std::unique_ptr<ProxyServer>(new ProxyServer(std::move(implementation)));
}

Address ProxyServer::address() const { return implementation_->address(); }
void ProxyServer::beginStop(std::function<void()> drained, std::optional<TimePoint> end) {
  implementation_->beginStop(std::move(drained), end);
}
void ProxyServer::setCallerLimits(const model::CallerLimits& limits) {
  implementation_->setCallerLimits(limits);
}
void ProxyServer::announceClose() { implementation_->announceClose(); }
const ProxyServerStatistics& ProxyServer::statistics() const {
  return implementation_->shared().statistics;
}
const UpstreamStatistics& ProxyServer::upstreamStatistics() const {
  return implementation_->shared().pool.statistics();
}
std::size_t ProxyServer::callerConnectionCount() const {
  return implementation_->shared().connections.size();
}
std::size_t ProxyServer::upstreamConnectionCount() const {
  return implementation_->shared().pool.connectionCount();
}

}  // namespace coursepond::runtime
