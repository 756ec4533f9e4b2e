#include "node/node.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>

#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "support/loopback_bench.h"

using namespace coursepond;
using namespace coursepond::node;
using namespace std::chrono_literals;

namespace {

runtime::Settings testSettings(const Address& platform) {
  runtime::Settings settings;
  settings.node.id = NodeId("a1");
  settings.node.zone = ZoneId("a");
  settings.node.caller_listen = Address{"127.0.0.1", 0};
  settings.node.peer_listen = Address{"127.0.0.1", 0};
  settings.node.admin_listen = Address{"127.0.0.1", 0};
  settings.node.stop_delay = 20ms;
  settings.node.stop_grace = 20ms;
  settings.platform.address = platform;
  settings.control.zones = {ZoneId("a")};
  settings.control.membership.join_timeout = 300ms;
  settings.control.source.bootstrap_patience = 50ms;
  settings.control.source.bootstrap_spread = 50ms;
  settings.control.distribution.adoption_wait = 500ms;
  settings.admin.token = runtime::SecretText("correct-horse");
  return settings;
}

/// A platform with one configuration version and no nodes, and a node that reads it, in one
/// process.
class Fixture : public testing::LoopbackBench {
 public:
  /// `back_end`: the only server of the service, if it has one.
  explicit Fixture(runtime::HttpServer::Handler back_end = {}, Duration stop_timeout = 30s) {
    if (back_end) addBackEnd(std::move(back_end));
    auto platform = runtime::HttpServer::create(
        context_, Address{"127.0.0.1", 0}, {},
        [this](const runtime::HttpRequest& request, const runtime::HttpResponder& responder) {
          responder.respond(answer(request));
        });
    REQUIRE(platform.has_value());
    platform_ = std::move(*platform);
    runtime::Settings settings = testSettings(platform_->address());
    settings.node.stop_timeout = stop_timeout;
    auto node = Node::create(context_, settings);
    REQUIRE(node.has_value());
    node_ = std::move(*node);
    node_->start();
  }

  runtime::HttpClientResponse get(const std::string& target, const std::string& token = "") {
    runtime::HttpClientRequest request;
    request.target = target;
    if (!token.empty()) request.headers.push_back({"Authorization", "Bearer " + token});
    return call(node_->addresses().admin, std::move(request));
  }

  runtime::HttpClientResponse callAsCaller(const std::string& target) {
    runtime::HttpClientRequest request;
    request.target = target;
    return call(node_->addresses().caller, std::move(request));
  }

  /// Sends a request that must not run twice, and returns without waiting for its answer.
  void sendAsCaller(std::optional<Result<runtime::HttpClientResponse>>& answer) {
    runtime::HttpClientRequest request;
    request.method = "POST";
    request.target = "/x";
    client_.request(node_->addresses().caller, std::move(request), 10s,
                    [&answer](auto received) { answer = std::move(received); });
  }

  Node& node() { return *node_; }

 private:
  void addBackEnd(runtime::HttpServer::Handler handler) {
    auto back_end =
        runtime::HttpServer::create(context_, Address{"127.0.0.1", 0}, {}, std::move(handler));
    REQUIRE(back_end.has_value());
    back_end_ = std::move(*back_end);
    back_ends_ = R"({"id": "b1", "service": "s", "zone": "a", "address": ")" +
                 formatAddress(back_end_->address()) + R"("})";
  }

  runtime::HttpResponse answer(const runtime::HttpRequest& request) const {
    runtime::HttpResponse response;
    response.content_type = "application/json";
    if (request.path() == "/v1/configurations") {
      response.body = R"({"newest": 1})";
    } else if (request.path() == "/v1/configurations/1") {
      response.body = R"({"version": 1, "routes": [{"name": "r", "service": "s"}],
                          "services": [{"name": "s"}], "secrets": []})";
    } else if (request.path() == "/v1/machines") {
      response.body = R"({"generation": 1, "nodes": [], "backends": [)" + back_ends_ + "]}";
    } else {
      response.status = 404;
    }
    return response;
  }

  std::string back_ends_;
  std::unique_ptr<runtime::HttpServer> back_end_;
  std::unique_ptr<runtime::HttpServer> platform_;
  std::unique_ptr<Node> node_;
};

}  // namespace

TEST_CASE("a new node is alive but not ready, and refuses requests as not run") {
  Fixture fixture;
  CHECK(fixture.get("/healthz").status == 200);
  const runtime::HttpClientResponse readiness = fixture.get("/readyz");
  CHECK(readiness.status == 503);
  CHECK(readiness.body.find("not ready") != std::string::npos);
  CHECK(fixture.get("/").body.find("node a1, zone a: not ready") != std::string::npos);
  CHECK(fixture.get("/metrics").body.find("coursepond_ready 0\n") != std::string::npos);
  CHECK(fixture.get("/absent").status == 404);

  const runtime::HttpClientResponse refusal = fixture.callAsCaller("/x");
  CHECK(refusal.status == 503);
  CHECK(runtime::findHeader(refusal.headers, "X-Outcome") == "not-run");
}

TEST_CASE("the operator API requires the token, and no page shows it") {
  Fixture fixture;
  CHECK(fixture.get("/v1/status").status == 401);
  CHECK(fixture.get("/v1/status", "wrong").status == 401);
  const runtime::HttpClientResponse status = fixture.get("/v1/status", "correct-horse");
  CHECK(status.status == 200);
  for (const char* target : {"/", "/metrics"}) {
    CHECK(fixture.get(target).body.find("correct-horse") == std::string::npos);
  }
}

TEST_CASE("a single node reads the platform and serves the published version") {
  Fixture fixture;
  REQUIRE(fixture.runUntil([&fixture] { return fixture.get("/readyz").status == 200; }));
  CHECK(fixture.get("/").body.find("version in force    1\n") != std::string::npos);
  const runtime::HttpClientResponse answer = fixture.callAsCaller("/x");
  CHECK(answer.status == 503);  // There is a route but no back end.
  CHECK(runtime::findHeader(answer.headers, "X-Configuration-Version") == "1");
}

TEST_CASE("a graceful stop fails readiness first and ends clean") {
  Fixture fixture;
  std::optional<StopOutcome> outcome;
  fixture.node().stop([&outcome](StopOutcome stopped) { outcome = stopped; });
  CHECK(fixture.get("/readyz").body == "not ready: stopping\n");
  REQUIRE(fixture.runUntil([&outcome] { return outcome.has_value(); }));
  CHECK(*outcome == StopOutcome::kClean);
}

// Guards against callers that lose their connection without an answer when the node's stop ends.
TEST_CASE("a request at work when a planned stop ends is answered with an unknown outcome") {
  std::optional<runtime::HttpResponder> held;
  Fixture fixture([&held](const runtime::HttpRequest&,
                          runtime::HttpResponder responder) { held = std::move(responder); },
                  300ms);
  REQUIRE(fixture.runUntil([&fixture] { return fixture.get("/readyz").status == 200; }));
  std::optional<Result<runtime::HttpClientResponse>> answer;
  fixture.sendAsCaller(answer);
  REQUIRE(fixture.runUntil([&held] { return held.has_value(); }));
  std::optional<StopOutcome> outcome;
  fixture.node().stop([&outcome](StopOutcome stopped) { outcome = stopped; });
  REQUIRE(fixture.runUntil([&] { return answer.has_value() && outcome.has_value(); }));
  REQUIRE(answer->has_value());
  CHECK((*answer)->status == 504);
  CHECK(runtime::findHeader((*answer)->headers, "X-Outcome") == "unknown");
  CHECK(*outcome == StopOutcome::kClean);
}

TEST_CASE("a stop that is cut short ends immediately") {
  Fixture fixture;
  std::optional<StopOutcome> outcome;
  fixture.node().stop([&outcome](StopOutcome result) { outcome = result; });
  fixture.node().cutStop();
  REQUIRE(fixture.runUntil([&outcome] { return outcome.has_value(); }));
  CHECK(*outcome == StopOutcome::kCut);
}

TEST_CASE("an address in use fails creation with a remedy") {
  Fixture fixture;
  runtime::Settings settings = testSettings(Address{"127.0.0.1", 1});
  settings.node.admin_listen = fixture.node().addresses().admin;
  const auto second = Node::create(fixture.context(), settings);
  REQUIRE(second.has_error());
  CHECK(second.error().kind == ErrorKind::kUnavailable);
  CHECK_FALSE(second.error().remedy.empty());
}
