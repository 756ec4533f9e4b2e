// Guards against a planned stop of a node that reaches servers directly resetting its callers'
// connections while their requests are at work, and against its taking requests that it can't wait
// for.

#include <doctest/doctest.h>

#include "proxy_server_fixture.h"

namespace coursepond::runtime {
namespace {

constexpr Duration kGrace = std::chrono::milliseconds(100);
constexpr Duration kDrain = std::chrono::milliseconds(300);

/// A node whose server never answers.
struct StopFixture : ProxyServerFixture {
  StopFixture() : ProxyServerFixture(stopSettings()) {
    startBackend(
        [this](const HttpRequest&, HttpResponder responder) { held.push_back(responder); });
  }
  static ProxyServerSettings stopSettings() {
    ProxyServerSettings settings;
    settings.stop_grace = kGrace;
    settings.stop_drain = kDrain;
    return settings;
  }
  void stop() {
    state.announceStop(environment.now() + kGrace + kDrain);
    server->beginStop([this] { drained = true; });
  }

  std::vector<HttpResponder> held;
  bool drained = false;
};

/// `caller` closes its connection when it has its answer, as it is asked to.
void checkGivenUp(RawCaller& caller) {
  CHECK(caller.receives("X-Reason: deadline"));
  CHECK(caller.received.starts_with("HTTP/1.1 504 "));
  CHECK(caller.received.find("X-Outcome: unknown") != std::string::npos);
  CHECK(caller.received.find("Connection: close") != std::string::npos);
  CHECK_FALSE(caller.reset);
  caller.close();
}

}  // namespace

TEST_CASE("a request in flight at the end of a mesh node's stop gets an answer") {
  StopFixture fixture;
  RawCaller caller = fixture.caller();
  caller.send(simpleGet("/before"));
  fixture.runUntil([&] { return fixture.held.size() == 1; });
  fixture.stop();
  checkGivenUp(caller);
  fixture.runUntil([&] { return fixture.drained; });
  CHECK(fixture.server->statistics().cut_at_stop == 0);
}

TEST_CASE("a request that a mesh node takes during its grace time gets an answer") {
  StopFixture fixture;
  RawCaller caller = fixture.caller();
  fixture.runUntil([&] { return fixture.server->callerConnectionCount() == 1; });
  fixture.stop();
  caller.send(simpleGet("/grace", "X-Deadline-Ms: 20000\r\n"));
  fixture.runUntil([&] { return fixture.held.size() == 1; });
  checkGivenUp(caller);
  fixture.runUntil([&] { return fixture.drained; });
  CHECK(fixture.server->statistics().cut_at_stop == 0);
}

TEST_CASE("a request that a mesh node gets too late to have it answered is refused as not run") {
  ProxyServerSettings settings;
  settings.stop_grace = std::chrono::seconds(5);
  settings.stop_drain = std::chrono::milliseconds(100);
  ProxyServerFixture fixture(settings);
  std::optional<HttpResponder> held;
  int runs = 0;
  fixture.startBackend([&](const HttpRequest&, HttpResponder responder) {
    ++runs;
    held = responder;
  });
  RawCaller caller = fixture.caller();
  caller.send(simpleGet("/slow"));
  fixture.runUntil([&] { return held.has_value(); });
  bool is_over = false;
  fixture.environment.schedule(std::chrono::milliseconds(300), [&] { is_over = true; });
  fixture.runUntil([&] { return is_over; });
  held->respond({200, "text/plain", {}, "whole"});
  REQUIRE(caller.receives("whole"));

  // Less time is left than the service needs, and the node still takes requests.
  fixture.state.announceStop(fixture.environment.now() + std::chrono::milliseconds(300));
  bool drained = false;
  fixture.server->beginStop([&] { drained = true; });
  caller.received.clear();
  caller.send(simpleGet("/late"));
  CHECK(caller.receives("X-Reason: stopping"));
  CHECK(caller.received.starts_with("HTTP/1.1 503 "));
  CHECK(caller.received.find("X-Outcome: not-run") != std::string::npos);
  CHECK(caller.received.find("Retry-After: ") != std::string::npos);
  CHECK(runs == 1);
  caller.close();
  fixture.runUntil([&] { return drained; });
}

}  // namespace coursepond::runtime
