#include "node/quota_exchange.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include "runtime/http_server.h"

namespace coursepond::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An owner that returns a given response, and a node that sends it one token request.
struct Exchange {
  Result<admission::QuotaGrant> ask(const runtime::HttpResponse& response) {
    auto server = runtime::HttpServer::create(
        context, {"127.0.0.1", 0}, {},
        [&](const runtime::HttpRequest& request, runtime::HttpResponder responder) {
          received = readQuotaRequest(request);
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
  std::optional<Result<admission::QuotaRequest>> received;
};

}  // namespace

TEST_CASE("a token request and its grant survive the round trip") {
  Exchange exchange;
  const auto grant = exchange.ask(quotaAnswer({4, milliseconds(70)}));
  REQUIRE(grant.has_value());
  CHECK(grant->tokens == 4);
  CHECK(grant->wait == milliseconds(70));
  REQUIRE(exchange.received->has_value());
  const admission::QuotaRequest& ask = **exchange.received;
  CHECK(ask.tenant == TenantName("farm"));
  CHECK(ask.asker == "127.0.0.1");
  CHECK(ask.needed == 3);
  CHECK(ask.ahead == 2);  // Rounded up.
  CHECK(ask.returned == 2);
  CHECK(ask.is_stand_in);
}

TEST_CASE("an invalid grant is an error, so that another node is asked") {
  runtime::HttpResponse invalid = quotaAnswer({});
  for (const char* body : {"", "{}", "[1]", R"({"tokens":-1,"wait_ms":0})", R"({"tokens":1})"}) {
    invalid.body = body;
    CHECK_FALSE(Exchange().ask(invalid).has_value());
  }
  CHECK_FALSE(Exchange().ask(noQuotaAnswer()).has_value());
}

TEST_CASE("a token request without a tenant is rejected") {
  runtime::HttpRequest request;
  request.target = "/v1/quota?needed=1";
  CHECK_FALSE(readQuotaRequest(request).has_value());
}

}  // namespace coursepond::node
