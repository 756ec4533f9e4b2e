#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "runtime/http_client.h"
#include "runtime/http_server.h"

namespace coursepond::runtime {
namespace {

using Tcp = boost::asio::ip::tcp;
constexpr Duration kTimeout = std::chrono::seconds(5);
const Address kAnyPort{"127.0.0.1", 0};

/// A server and a client on one context.
struct Fixture {
  explicit Fixture(HttpServer::Handler handler, HttpServerLimits limits = {})
      : server(
            std::move(HttpServer::create(context, kAnyPort, limits, std::move(handler)).value())) {}

  Result<HttpClientResponse> ask(HttpClientRequest request, Duration timeout = kTimeout) {
    std::optional<Result<HttpClientResponse>> answer;
    client.request(server->address(), std::move(request), timeout,
                   [&](Result<HttpClientResponse> result) { answer = std::move(result); });
    while (!answer) context.run_one();
    return *answer;
  }

  /// Sends raw bytes and reads until the server closes.
  std::string exchangeRaw(const std::string& bytes, bool half_close = false) {
    Tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), server->address().port});
    boost::asio::write(socket, boost::asio::buffer(bytes));
    if (half_close) socket.shutdown(Tcp::socket::shutdown_send);
    std::string received;
    bool closed = false;
    boost::asio::async_read(socket, boost::asio::dynamic_buffer(received),
                            [&](const boost::system::error_code&, std::size_t) { closed = true; });
    while (!closed) context.run_one();
    return received;
  }

  boost::asio::io_context context;
  std::unique_ptr<HttpServer> server;
  HttpClient client{context};
};

void echo(const HttpRequest& request, const HttpResponder& responder) {
  responder.respond(
      {200, "text/plain", {}, request.method + " " + request.target + " " + request.body});
}

}  // namespace

TEST_CASE("a request gets a complete answer and its connection is kept") {
  Fixture fixture(echo);
  for (int round = 0; round < 3; ++round) {
    const auto answer = fixture.ask({"POST", "/a?b=c", {}, "body"});
    REQUIRE(answer.has_value());
    CHECK(answer->status == 200);
    CHECK(answer->body == "POST /a?b=c body");
  }
  CHECK(fixture.server->statistics().connections_accepted == 1);
  CHECK(fixture.server->statistics().requests == 3);
}

TEST_CASE("an answer may be sent later, and in chunks") {
  boost::asio::io_context* context = nullptr;
  Fixture fixture([&](const HttpRequest&, HttpResponder responder) {
    responder.begin({200, "text/plain", {}, ""});
    boost::asio::post(*context, [responder] {
      responder.sendChunk("one ");
      responder.sendChunk("two");
      responder.finish();
    });
  });
  context = &fixture.context;
  const auto answer = fixture.ask({});
  REQUIRE(answer.has_value());
  CHECK(answer->body == "one two");
}

TEST_CASE("a handler that does not answer results in 500, and a cut answer is an error") {
  Fixture silent([](const HttpRequest&, const HttpResponder&) {});
  CHECK(silent.ask({})->status == 500);
  Fixture cutting([](const HttpRequest&, const HttpResponder& responder) { responder.cut(); });
  CHECK(cutting.ask({}).error().kind == ErrorKind::kUnavailable);
}

TEST_CASE("an answer to HEAD has the length but no body") {
  Fixture fixture(echo);
  const auto answer = fixture.ask({"HEAD", "/", {}, ""});
  REQUIRE(answer.has_value());
  CHECK(answer->body.empty());
  CHECK(findHeader(answer->headers, "content-length") == "7");
  CHECK(fixture.ask({})->body == "GET / ");
}

TEST_CASE("limits and malformed requests are refused and counted") {
  HttpServerLimits limits;
  limits.header_bytes = 512;
  limits.body_bytes = 100;
  limits.request_timeout = std::chrono::milliseconds(1);
  Fixture fixture(echo, limits);
  const auto startOf = [&](const std::string& bytes) {
    return fixture.exchangeRaw(bytes).substr(0, 12);
  };
  CHECK(startOf("GET / HTTP/1.1\r\nA: " + std::string(600, 'a') + "\r\n\r\n") == "HTTP/1.1 431");
  CHECK(startOf("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n") == "HTTP/1.1 413");
  CHECK(startOf("nonsense\r\n\r\n") == "HTTP/1.1 400");
  CHECK(startOf("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nslow") == "HTTP/1.1 408");
  CHECK(fixture.server->statistics().refused_too_large == 2);
  CHECK(fixture.server->statistics().refused_malformed == 1);
  CHECK(fixture.server->statistics().refused_slow == 1);
}

TEST_CASE("pipelined requests are answered in order, even after the caller half-closed") {
  Fixture fixture(echo);
  const std::string answers = fixture.exchangeRaw(
      "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n", true);
  CHECK(answers.find("GET /1") < answers.find("GET /2"));
  CHECK(answers.find("GET /2") != std::string::npos);
}

TEST_CASE("a caller that leaves is reported to the handler") {
  bool gone = false;
  std::optional<HttpResponder> held;
  Fixture fixture([&](const HttpRequest&, HttpResponder responder) {
    responder.onCallerDisconnected([&] { gone = true; });
    held = responder;
  });
  CHECK(fixture.ask({}, std::chrono::milliseconds(1)).error().kind == ErrorKind::kTimeout);
  while (!gone) fixture.context.run_one();
  held->respond({});
  held.reset();
}

TEST_CASE("a stop finishes the request in flight and closes the idle connection") {
  std::optional<HttpResponder> held;
  Fixture fixture([&](const HttpRequest&, HttpResponder responder) { held = responder; });
  std::optional<Result<HttpClientResponse>> answer;
  fixture.client.request(fixture.server->address(), {}, kTimeout,
                         [&](Result<HttpClientResponse> result) { answer = std::move(result); });
  while (!held) fixture.context.run_one();
  bool closed = false;
  fixture.server->closeWhenIdle([&] { closed = true; });
  CHECK_FALSE(closed);
  held->respond({200, "text/plain", {}, "late"});
  held.reset();
  while (!closed || !answer) fixture.context.run_one();
  CHECK((*answer)->body == "late");
  CHECK(fixture.server->connectionCount() == 0);
}

TEST_CASE("addresses that cannot be bound or reached result in typed errors") {
  Fixture fixture(echo);
  const auto second = HttpServer::create(fixture.context, fixture.server->address(), {}, echo);
  CHECK(second.error().kind == ErrorKind::kUnavailable);
  std::optional<Result<HttpClientResponse>> answer;
  fixture.client.request({"not an ip", 1}, {}, kTimeout,
                         [&](Result<HttpClientResponse> result) { answer = std::move(result); });
  while (!answer) fixture.context.run_one();
  CHECK(answer->error().kind == ErrorKind::kUnavailable);
}

}  // namespace coursepond::runtime
