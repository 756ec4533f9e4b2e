#include "node/server_health.h"

#include <doctest/doctest.h>

#include "runtime/http_server.h"
#include "support/endless_server.h"
#include "support/loopback_bench.h"

namespace coursepond::node {
namespace {

using std::chrono::milliseconds;

runtime::HttpClientResponse answer(int status, runtime::HeaderFields headers) {
  return {status, std::move(headers), ""};
}

}  // namespace

TEST_CASE("a health answer contains the instance and the remaining cold time") {
  const runtime::HeaderNames names;
  const auto cold =
      healthOf(answer(200, {{"X-Instance-Id", "i-7"}, {"X-Cold-Left-Ms", "1500.5"}}), names);
  REQUIRE(cold.has_value());
  CHECK(cold->instance == "i-7");
  CHECK(cold->cold_left == std::chrono::microseconds(1'500'500));
  // A leaving server answers with another status, and its cold time is still valid.
  const auto leaving = healthOf(answer(503, {{"X-Instance-Id", "i-7"}}), names);
  REQUIRE(leaving.has_value());
  CHECK(leaving->cold_left == Duration(0));
}

TEST_CASE("answers without valid health state are ignored") {
  const runtime::HeaderNames names;
  // Rejected because the server is full: the health check did not run.
  CHECK_FALSE(healthOf(answer(503, {{"X-Not-Run", "1"}}), names).has_value());
  const runtime::HeaderFields full = {{"X-Not-Run", "1"}, {"X-Instance-Id", "i-7"}};
  CHECK_FALSE(healthOf(answer(503, full), names).has_value());
  CHECK_FALSE(healthOf(answer(200, {}), names).has_value());
  for (const char* text : {"", "soon", "-1", "1500ms", "nan"}) {
    CAPTURE(text);
    CHECK_FALSE(healthOf(answer(200, {{"X-Instance-Id", "i-7"}, {"X-Cold-Left-Ms", text}}), names)
                    .has_value());
  }
  const auto forever =
      healthOf(answer(200, {{"X-Instance-Id", "i-7"}, {"X-Cold-Left-Ms", "1e300"}}), names);
  REQUIRE(forever.has_value());
  CHECK(forever->cold_left == std::chrono::hours(1));
}

TEST_CASE("the health state is requested only at the path that the service configures") {
  testing::LoopbackBench bench;
  std::vector<std::string> requested;
  const auto server = runtime::HttpServer::create(
      bench.context(), Address{"127.0.0.1", 0}, {},
      [&](const runtime::HttpRequest& request, const runtime::HttpResponder& responder) {
        requested.push_back(request.target);
        runtime::HttpResponse response;
        response.headers = {{"X-Instance-Id", "i-7"}, {"X-Cold-Left-Ms", "200"}};
        responder.respond(std::move(response));
      });
  REQUIRE(server.has_value());
  ServerHealthClient client(bench.context(), (*server)->address(), {});
  std::vector<ingress::ServerHealth> received;
  client.fetch([&](const ingress::ServerHealth& health) { received.push_back(health); });
  client.setPath("/healthy");
  client.fetch([&](const ingress::ServerHealth& health) { received.push_back(health); });
  CHECK(bench.runUntil([&] { return !received.empty(); }));
  CHECK(requested == std::vector<std::string>{"/healthy"});
  REQUIRE(received.size() == 1);
  CHECK(received[0].cold_left == milliseconds(200));
}

// Guards against a node whose memory is filled by the health answer of a server in trouble.
TEST_CASE("a health answer whose body never ends is given up early") {
  for (const testing::EndlessAnswer& answer : testing::endlessBodies("X-Instance-Id: i-7\r\n")) {
    const std::string name = answer.name;
    CAPTURE(name);
    testing::LoopbackBench bench;
    testing::EndlessServer server(bench.context(), answer);
    ServerHealthClient client(bench.context(), server.address(), {});
    client.setPath("/healthy");
    std::size_t received = 0;
    client.fetch([&](const ingress::ServerHealth&) { ++received; });
    REQUIRE(bench.runUntil([&] { return server.accepted() > 0 && server.sentBytes() > 0; }));
    CHECK(bench.runUntil([&] { return server.open() == 0; }));
    constexpr std::uint64_t kMaxSentBytes = std::uint64_t{16} * 1024 * 1024;
    CHECK(server.sentBytes() < kMaxSentBytes);
    CHECK(received == 0);
  }
}

}  // namespace coursepond::node
