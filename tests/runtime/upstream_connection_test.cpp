#include "runtime/upstream_connection.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <optional>
#include <string>

namespace coursepond::runtime {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/// Uses one connection to a server on the loopback address.
class ConnectionFixture final : private UpstreamOwner, private UpstreamUser {
 public:
  ConnectionFixture() : acceptor_(context_, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    const model::Endpoint endpoint{EndpointId("s1"),
                                   {"127.0.0.1", acceptor_.local_endpoint().port()},
                                   ZoneId(),
                                   model::MachineState::kLive};
    connection = std::make_shared<UpstreamConnection>(
        context_, std::make_shared<DeadlineWatch>(context_, std::chrono::milliseconds(10)),
        settings_, statistics_, static_cast<UpstreamOwner&>(*this), ServiceName("s"), endpoint);
  }
  ~ConnectionFixture() {
    connection->detachOwner();
    connection->abandon();
  }

  /// Connects, calls `on_ready`, and returns how the request fails afterwards. Nothing if its
  /// answer is complete.
  std::optional<UpstreamFailure> runToEnd(std::function<void()> on_ready) {
    on_ready_ = std::move(on_ready);
    connection->connect(static_cast<UpstreamUser*>(this));
    while (!failure_ && !is_complete_) REQUIRE(context_.run_one() > 0);
    return failure_;
  }
  /// The same for a request that is known to fail.
  UpstreamFailure runToFailure(std::function<void()> on_ready) {
    const std::optional<UpstreamFailure> failure = runToEnd(std::move(on_ready));
    REQUIRE(failure.has_value());
    return *failure;
  }

  /// Accepts the connection, sends `answer` and resets the connection.
  void resetByServer(const std::string& answer = "") {
    Tcp::socket server = acceptor_.accept();
    asio::write(server, asio::buffer(answer));
    server.set_option(asio::socket_base::linger(true, 0));
    server.close();
  }
  /// Accepts the connection, sends `answer` and ends the stream. Reads nothing of the request.
  void endByServer(const std::string& answer) {
    server_ = acceptor_.accept();
    asio::write(*server_, asio::buffer(answer));
    server_->shutdown(Tcp::socket::shutdown_send);
  }

  void write() {
    connection->expectAnswerTo(false);
    connection->output() = "GET / HTTP/1.1\r\nHost: s\r\n\r\n";
    connection->setRequestComplete();
    connection->write();
  }

  /// Starts an upload that does not fit into the buffers of the sockets.
  void upload() {
    connection->expectAnswerTo(false);
    const std::string body(std::size_t{16} * 1024 * 1024, 'x');
    connection->output() =
        "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    connection->setRequestComplete();
    connection->write();
  }

  const std::string& body() const { return body_; }

  std::shared_ptr<UpstreamConnection> connection;

 private:
  void onConnectionIdle(UpstreamConnection&) override {}
  void onConnectionClosed(UpstreamConnection&) override {}
  void onUpstreamReady() override { on_ready_(); }
  void onUpstreamWritten() override {}
  void onUpstreamHead(const MessageHead&) override {}
  void onUpstreamBody(std::string_view piece) override { body_.append(piece); }
  void onUpstreamPause() override { connection->resume(); }
  void onUpstreamComplete() override { is_complete_ = true; }
  void onUpstreamFailed(UpstreamFailure failure) override { failure_ = failure; }

  asio::io_context context_;
  Tcp::acceptor acceptor_;
  UpstreamSettings settings_;
  UpstreamStatistics statistics_;
  std::function<void()> on_ready_;
  std::optional<Tcp::socket> server_;
  std::string body_;
  std::optional<UpstreamFailure> failure_;
  bool is_complete_ = false;
};

constexpr char kAnswerWithoutLength[] = "HTTP/1.1 200 OK\r\nX-Signature: a\r\n\r\na part";

}  // namespace

// Guards against an unknown outcome for a request that was never sent: until the failed write was
// reported, the connection said that bytes may have been sent.
TEST_CASE("a request whose connection was reset before it took a byte was not sent") {
  ConnectionFixture fixture;
  bool was_sent = true;
  const UpstreamFailure failure = fixture.runToFailure([&] {
    fixture.resetByServer();
    fixture.write();
    was_sent = fixture.connection->sentBytes();
  });
  CHECK_FALSE(was_sent);
  CHECK(failure == UpstreamFailure::kClosedUnsent);
}

TEST_CASE("a request whose connection is reset after the write may have been received") {
  ConnectionFixture fixture;
  bool was_sent = false;
  const UpstreamFailure failure = fixture.runToFailure([&] {
    fixture.write();
    was_sent = fixture.connection->sentBytes();
    fixture.resetByServer();
  });
  CHECK(was_sent);
  CHECK(failure == UpstreamFailure::kLost);
}

// Guards against a part of an answer that is taken for the whole: the system reports a reset to one
// call only, which may be the write of the request. The read then sees an orderly end.
TEST_CASE("an answer without a length that is reset while its request is written is not complete") {
  ConnectionFixture fixture;
  const UpstreamFailure failure = fixture.runToFailure([&] {
    fixture.upload();
    fixture.resetByServer(kAnswerWithoutLength);
  });
  CHECK(failure == UpstreamFailure::kLost);
}

TEST_CASE("an answer without a length that the server ends while it reads nothing is complete") {
  ConnectionFixture fixture;
  const std::optional<UpstreamFailure> failure = fixture.runToEnd([&] {
    fixture.upload();
    fixture.endByServer(kAnswerWithoutLength);
  });
  CHECK_FALSE(failure.has_value());
  CHECK(fixture.body() == "a part");
}

}  // namespace coursepond::runtime
