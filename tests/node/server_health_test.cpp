#include "node/server_health.h"

#include <doctest/doctest.h>

#include "runtime/http_server.h"
#include "support/loopback_bench.h"

namespace coursepond::node {
namespace {

using std::chrono::milliseconds;

runtime::HttpClientResponse answer(int status, runtime::HeaderFields headers) {
  return {status, std::move(headers), ""};
}

}  // namespace

TEST_CASE("a server's health answer tells its instance and for how long it is cold") {
  const runtime::HeaderNames names;
  const auto cold =
      healthOf(answer(200, {{"X-Instance-Id", "i-7"}, {"X-Cold-Left-Ms", "1500.5"}}), names);
  REQUIRE(cold.has_value());
  CHECK(cold->instance == "i-7");
  CHECK(cold->cold_left == std::chrono::microseconds(1'500'500));
  // One that is leaving says so with another status, and is as cold or warm as it says.
  const auto leaving = healthOf(answer(503, {{"X-Instance-Id", "i-7"}}), names);
  REQUIRE(leaving.has_value());
  CHECK(leaving->cold_left == Duration(0));
}

TEST_CASE("what is no word of the server tells nothing") {
  const runtime::HeaderNames names;
  // Rejected for want of room: the server did not look.
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

TEST_CASE("the server is asked where its service says, and only there") {
  testing::LoopbackBench bench;
  std::vector<std::string> asked;
  const auto server = runtime::HttpServer::create(
      bench.context(), Address{"127.0.0.1", 0}, {},
      [&](const runtime::HttpRequest& request, const runtime::HttpResponder& responder) {
        asked.push_back(request.target);
        runtime::HttpResponse response;
        response.headers = {{"X-Instance-Id", "i-7"}, {"X-Cold-Left-Ms", "200"}};
        responder.respond(std::move(response));
      });
  REQUIRE(server.has_value());
  ServerHealthClient client(bench.context(), (*server)->address(), {});
  std::vector<ingress::ServerHealth> told;
  client.fetch([&](const ingress::ServerHealth& health) { told.push_back(health); });
  client.setPath("/healthy");
  client.fetch([&](const ingress::ServerHealth& health) { told.push_back(health); });
  CHECK(bench.runUntil([&] { return !told.empty(); }));
  CHECK(asked == std::vector<std::string>{"/healthy"});
  REQUIRE(told.size() == 1);
  CHECK(told[0].cold_left == milliseconds(200));
}

}  // namespace coursepond::node
