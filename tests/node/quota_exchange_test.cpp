#include "node/quota_exchange.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include "runtime/http_server.h"

namespace coursepond::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An owner that answers as told, on a port of its own, and a node that asks it once.
struct Exchange {
  Result<admission::QuotaGrant> ask(const runtime::HttpResponse& response) {
    auto server = runtime::HttpServer::create(
        context, {"127.0.0.1", 0}, {},
        [&](const runtime::HttpRequest& request, runtime::HttpResponder responder) {
          asked = readQuotaAsk(request);
          responder.respond(response);
        });
    REQUIRE(server.has_value());
    HttpQuotaPeers peers(context, (*server)->address().port);
    std::optional<Result<admission::QuotaGrant>> result;
    peers.ask("127.0.0.1", {TenantName("farm"), "", 3, 1.5, 2, true},
              [&](const Result<admission::QuotaGrant>& grant) { result = grant; });
    context.restart();
    while (!result) context.run_one_for(seconds(5));
    return *result;
  }

  boost::asio::io_context context;
  std::optional<Result<admission::QuotaAsk>> asked;
};

}  // namespace

TEST_CASE("a question for tokens and its answer arrive as they were sent") {
  Exchange exchange;
  const auto grant = exchange.ask(quotaAnswer({4, milliseconds(70)}));
  REQUIRE(grant.has_value());
  CHECK(grant->tokens == 4);
  CHECK(grant->wait == milliseconds(70));
  REQUIRE(exchange.asked->has_value());
  const admission::QuotaAsk& ask = **exchange.asked;
  CHECK(ask.tenant == TenantName("farm"));
  CHECK(ask.asker == "127.0.0.1");
  CHECK(ask.needed == 3);
  CHECK(ask.ahead == 2);  // Rounded up.
  CHECK(ask.returned == 2);
  CHECK(ask.is_stand_in);
}

TEST_CASE("what is no grant is an error, so that another node is asked") {
  runtime::HttpResponse odd = quotaAnswer({});
  for (const char* body : {"", "{}", "[1]", R"({"tokens":-1,"wait_ms":0})", R"({"tokens":1})"}) {
    odd.body = body;
    CHECK_FALSE(Exchange().ask(odd).has_value());
  }
  CHECK_FALSE(Exchange().ask(noQuotaAnswer()).has_value());
}

TEST_CASE("a question that names no tenant is refused") {
  runtime::HttpRequest request;
  request.target = "/v1/quota?needed=1";
  CHECK_FALSE(readQuotaAsk(request).has_value());
}

}  // namespace coursepond::node
