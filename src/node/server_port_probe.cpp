#include "node/server_port_probe.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <memory>

#include "runtime/boot_timer.h"

namespace coursepond::node {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using ingress::ServerPort;
using Tcp = asio::ip::tcp;

/// Timeout of a connection attempt. The server is on the same machine, where a closed port refuses
/// connections immediately, so a port that does not respond within this time is not a closed port.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);

/// One connection attempt. Kept alive until its connect and timer operations have ended.
struct Attempt {
  Attempt(asio::io_context& context, ServerPortProbe::Callback on_finished)
      : socket(context), timer(context), callback(std::move(on_finished)) {}

  void finish(ServerPort port) {
    if (!callback) return;
    const ServerPortProbe::Callback on_result = std::exchange(callback, nullptr);
    timer.cancel();
    error_code ignored;
    socket.close(ignored);
    on_result(port);
  }

  Tcp::socket socket;
  runtime::BootTimer timer;
  ServerPortProbe::Callback callback;
};

ServerPort portOf(const error_code& error) {
  if (!error) return ServerPort::kOpen;
  return error == asio::error::connection_refused ? ServerPort::kClosed : ServerPort::kUnknown;
}

}  // namespace

void ServerPortProbe::probe(Callback callback) {
  const auto attempt = std::make_shared<Attempt>(context_, std::move(callback));
  error_code error;
  const auto ip = asio::ip::make_address(server_.host, error);
  if (error) return asio::post(context_, [attempt] { attempt->finish(ServerPort::kUnknown); });
  attempt->timer.expires_after(kConnectTimeout);
  attempt->timer.async_wait([attempt](const error_code& cancelled) {
    if (!cancelled) attempt->finish(ServerPort::kUnknown);
  });
  attempt->socket.async_connect(
      Tcp::endpoint(ip, server_.port),
      [attempt](const error_code& failure) { attempt->finish(portOf(failure)); });
}

}  // namespace coursepond::node
