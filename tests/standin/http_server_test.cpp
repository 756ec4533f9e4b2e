#include "http_server.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <optional>
#include <vector>

#include "runtime/http_client.h"

namespace coursepond::standin {

namespace {

constexpr Duration kTimeout = std::chrono::seconds(10);

using ClientResult = Result<runtime::HttpClientResponse>;

/// A server whose context also runs the clients of the test.
struct Fixture {
  explicit Fixture(std::size_t connection_limit = 10)
      : server(
            context, {{"127.0.0.1", 0}, connection_limit, std::chrono::milliseconds(1)},
            [this](std::shared_ptr<HttpExchange> exchange) { handle(std::move(exchange)); },
            [](const std::shared_ptr<HttpExchange>& exchange) {
              exchange->reply(jsonReply(503, "{}"));
            }),
        address(*server.start()) {}

  void handle(std::shared_ptr<HttpExchange> exchange) {
    if (exchange->request().path == "/abort") return exchange->abort();
    if (exchange->request().path == "/wait") {
      exchange->onDisconnect([this] { ++disconnects; });
      return waiting.push_back(std::move(exchange));
    }
    HttpReply reply = next_reply;
    reply.body = exchange->request().method + " " + exchange->request().query + " " +
                 exchange->request().body + reply.body;
    exchange->reply(std::move(reply));
  }

  ClientResult call(runtime::HttpClient& client, const std::string& target,
                    const std::string& body = "", Duration timeout = kTimeout) {
    std::optional<ClientResult> outcome;
    runtime::HttpClientRequest request;
    request.method = "POST";
    request.target = target;
    request.body = body;
    client.request(address, request, timeout,
                   [&](ClientResult result) { outcome = std::move(result); });
    while (!outcome) context.run_one();
    return std::move(*outcome);
  }

  boost::asio::io_context context;
  HttpReply next_reply;
  std::vector<std::shared_ptr<HttpExchange>> waiting;
  int disconnects = 0;
  HttpServer server;
  Address address;
};

}  // namespace

TEST_CASE("requests arrive complete, and so do replies with and without chunked coding") {
  Fixture fixture;
  runtime::HttpClient client(fixture.context);
  CHECK(fixture.call(client, "/x?a=1", "body")->body == "POST a=1 body");
  fixture.next_reply.chunked = true;
  fixture.next_reply.body = std::string(10000, 'x');
  CHECK(fixture.call(client, "/x?a=1", "body")->body == "POST a=1 body" + std::string(10000, 'x'));
  CHECK(fixture.server.counts().accepted_connections == 1);
}

TEST_CASE("a cut, a stalled and an aborted reply never look complete") {
  Fixture fixture;
  runtime::HttpClient client(fixture.context);
  fixture.next_reply.body = std::string(1000, 'x');
  fixture.next_reply.fault_after = 500;
  for (const bool chunked : {false, true}) {
    fixture.next_reply.chunked = chunked;
    fixture.next_reply.fault = BodyFault::kCut;
    CHECK_FALSE(fixture.call(client, "/x").has_value());
    fixture.next_reply.fault = BodyFault::kStall;
    const ClientResult stalled = fixture.call(client, "/x", "", std::chrono::milliseconds(50));
    REQUIRE_FALSE(stalled.has_value());
    CHECK(stalled.error().kind == ErrorKind::kTimeout);
  }
  CHECK_FALSE(fixture.call(client, "/abort").has_value());
}

TEST_CASE("a disconnect of the client is detected, and a late reply has no effect") {
  Fixture fixture;
  runtime::HttpClient client(fixture.context);
  CHECK_FALSE(fixture.call(client, "/wait", "", std::chrono::milliseconds(20)).has_value());
  while (fixture.disconnects == 0) fixture.context.run_one();
  fixture.waiting.front()->reply(jsonReply(200, "{}"));
  CHECK(fixture.call(client, "/x").has_value());
  CHECK(fixture.disconnects == 1);
}

TEST_CASE("requests on connections above the limit go to the excess handler") {
  Fixture fixture(1);
  runtime::HttpClient first(fixture.context);
  runtime::HttpClient second(fixture.context);
  CHECK(fixture.call(first, "/x")->status == 200);
  CHECK(fixture.call(second, "/x")->status == 503);
  CHECK(fixture.call(first, "/x")->status == 200);
  CHECK(fixture.server.counts().excess_connections == 1);
}

}  // namespace coursepond::standin
