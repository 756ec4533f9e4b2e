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

/// The server is on the same machine: a port that says nothing for so long is no closed one.
constexpr Duration kPatience = std::chrono::milliseconds(200);

/// One connection attempt; lives until both its operations have ended.
struct Look {
  Look(asio::io_context& context, ServerPortProbe::Callback with)
      : socket(context), timer(context), callback(std::move(with)) {}

  void finish(ServerPort port) {
    if (!callback) return;
    const ServerPortProbe::Callback once = std::exchange(callback, nullptr);
    timer.cancel();
    error_code ignored;
    socket.close(ignored);
    once(port);
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

void ServerPortProbe::look(Callback callback) {
  const auto look = std::make_shared<Look>(context_, std::move(callback));
  error_code error;
  const auto ip = asio::ip::make_address(server_.host, error);
  if (error) return asio::post(context_, [look] { look->finish(ServerPort::kUnknown); });
  look->timer.expires_after(kPatience);
  look->timer.async_wait([look](const error_code& cancelled) {
    if (!cancelled) look->finish(ServerPort::kUnknown);
  });
  look->socket.async_connect(Tcp::endpoint(ip, server_.port),
                             [look](const error_code& failure) { look->finish(portOf(failure)); });
}

}  // namespace coursepond::node
