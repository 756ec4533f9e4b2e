#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <thread>

#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "support/limited_link.h"

namespace coursepond::runtime {
namespace {

using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

constexpr std::size_t kSent = 1'000'000;

/// Accepts one connection, sends a part of the announced body, and waits for the client to close.
class HalfAnswer {
 public:
  HalfAnswer() : acceptor_(context_, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    thread_ = std::thread([this] { serve(); });
  }
  ~HalfAnswer() { thread_.join(); }

  Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

 private:
  void serve() {
    Tcp::socket socket = acceptor_.accept();
    std::string request;
    boost::system::error_code error;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(head + std::string(kSent, 'x')), error);
    char byte = 0;
    socket.read_some(boost::asio::buffer(&byte, 1), error);  // Returns when the client closes.
  }

  boost::asio::io_context context_;
  Tcp::acceptor acceptor_;
  std::thread thread_;
};

/// An answer of 150,000 bytes over a link with a throughput of 100,000 bytes per second.
class SlowAnswer {
 public:
  explicit SlowAnswer(HttpClientLimits limits) : client_(context_, limits) {}

  Result<HttpClientResponse> ask(Duration timeout, std::optional<Duration> stall_limit) {
    HttpClientRequest request;
    request.stall_limit = stall_limit;
    std::optional<Result<HttpClientResponse>> answer;
    client_.request(link_.address(), request, timeout, [&](Result<HttpClientResponse> received) {
      answer = std::move(received);
      context_.stop();
    });
    context_.restart();
    context_.run_for(20s);
    REQUIRE(answer.has_value());
    return std::move(*answer);
  }

 private:
  boost::asio::io_context context_;
  std::unique_ptr<HttpServer> server_ =
      std::move(*HttpServer::create(context_, Address{"127.0.0.1", 0}, {},
                                    [](const HttpRequest&, const HttpResponder& responder) {
                                      HttpResponse response;
                                      response.body = std::string(150'000, 'x');
                                      responder.respond(std::move(response));
                                    }));
  testing::LimitedLink link_{context_, server_->address(), 100'000};
  HttpClient client_;
};

}  // namespace

TEST_CASE("with a stall limit, an answer that makes progress may take longer than the timeout") {
  SlowAnswer bench({});
  const auto answer = bench.ask(1s, 1s);
  REQUIRE(answer.has_value());
  CHECK(answer->body.size() == 150'000);
}

TEST_CASE(
    "without a stall limit the timeout covers the whole answer, and the error states its "
    "progress") {
  SlowAnswer bench({});
  const auto answer = bench.ask(1s, std::nullopt);
  REQUIRE(answer.has_error());
  CHECK(answer.error().kind == ErrorKind::kTimeout);
  CHECK(answer.error().message.find(" of 150000 bytes received") != std::string::npos);
}

TEST_CASE("an answer that makes progress but does not end is abandoned after answer_timeout") {
  HttpClientLimits limits;
  limits.answer_timeout = 300ms;
  SlowAnswer bench(limits);
  const auto answer = bench.ask(1s, 1s);
  REQUIRE(answer.has_error());
  CHECK(answer.error().kind == ErrorKind::kTimeout);
}

TEST_CASE("an answer that stalls is abandoned, however long the timeout") {
  HalfAnswer server;
  boost::asio::io_context context;
  HttpClient client(context);
  HttpClientRequest request;
  request.stall_limit = 200ms;
  std::optional<Error> failure;
  client.request(server.address(), request, 60s,
                 [&](const Result<HttpClientResponse>& answer) { failure = answer.error(); });
  context.run_for(20s);
  REQUIRE(failure.has_value());
  CHECK(failure->kind == ErrorKind::kTimeout);
  CHECK(failure->message.find("1000000 of 2000000 bytes received") != std::string::npos);
}

TEST_CASE(
    "a process that was paused accepts an answer that arrived meanwhile instead of timing out") {
  for (const bool is_large : {false, true}) {
    CAPTURE(is_large);
    boost::asio::io_context far;
    std::atomic<bool> is_asked = false;
    auto server = std::move(*HttpServer::create(
        far, Address{"127.0.0.1", 0}, {}, [&](const HttpRequest&, const HttpResponder& responder) {
          is_asked = true;
          std::this_thread::sleep_for(100ms);
          HttpResponse response;
          response.body = std::string(is_large ? 1'000'000 : 100, 'x');
          responder.respond(std::move(response));
        }));
    std::thread thread([&] { far.run_for(3s); });
    boost::asio::io_context context;
    HttpClient client(context);
    HttpClientRequest request;
    request.stall_limit = 300ms;
    std::optional<Result<HttpClientResponse>> answer;
    client.request(server->address(), request, 300ms, [&](Result<HttpClientResponse> received) {
      answer = std::move(received);
      context.stop();
    });
    // Connects and sends, then blocks the thread, as decoding a large configuration does.
    while (!is_asked) context.run_one_for(1ms);
    std::this_thread::sleep_for(600ms);
    context.run_for(2s);
    far.stop();
    thread.join();
    REQUIRE(answer.has_value());
    CAPTURE(answer->has_error() ? answer->error().message : std::string());
    CHECK(answer->has_value());
  }
}

TEST_CASE("a timeout while bytes of the answer are waiting to be read ends the request cleanly") {
  for (int round = 0; round < 20; ++round) {
    HalfAnswer server;
    boost::asio::io_context context;
    HttpClient client(context);
    std::optional<ErrorKind> failure;
    client.request(server.address(), {}, 20ms, [&](const Result<HttpClientResponse>& answer) {
      REQUIRE(answer.has_error());
      failure = answer.error().kind;
    });
    context.run_for(5ms);
    std::this_thread::sleep_for(30ms);  // The timer and the bytes are both due now.
    context.run();
    CHECK(failure == ErrorKind::kTimeout);
  }
}

TEST_CASE(
    "a client that is destroyed while bytes of the answer are waiting to be read ends cleanly") {
  for (int round = 0; round < 20; ++round) {
    HalfAnswer server;
    boost::asio::io_context context;
    auto client = std::make_unique<HttpClient>(context);
    client->request(server.address(), {}, 1s, [](const Result<HttpClientResponse>&) {
      FAIL("an abandoned request must not call back");
    });
    context.run_for(5ms);
    std::this_thread::sleep_for(5ms);
    context.poll_one();
    client.reset();
    context.run();
  }
}

}  // namespace coursepond::runtime
