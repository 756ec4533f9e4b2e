// Guards against requests that lose their connection without an answer at the end of a planned stop
// while a server is at work on them.

#include <doctest/doctest.h>

#include "proxy/request_flow.h"
#include "proxy_fixture.h"

namespace coursepond::proxy {
namespace {

/// Time between the signal and the end of the process.
constexpr Duration kStop = seconds(2);

/// A node with one slot on one server, whose routes' timeouts are longer than its stop.
struct StoppingFixture : ProxyFixture {
  StoppingFixture() {
    service.slots_per_server = 1;
    begin(1);
  }
  void announceStop() { state.announceStop(environment.now() + kStop); }
};

void checkGivenUp(const TestRequest& request) {
  REQUIRE(request.answers.size() == 1);
  CHECK(request.answers[0].status == 504);
  CHECK(request.answers[0].outcome == Outcome::kUnknown);
  CHECK(request.answers[0].reason == "deadline");
  CHECK(request.cancelled.size() == 1);
}

void checkRefused(const TestRequest& request) {
  REQUIRE(request.answers.size() == 1);
  CHECK(request.answers[0].status == 503);
  CHECK(request.answers[0].outcome == Outcome::kNotRun);
  CHECK(request.answers[0].reason == "stopping");
  CHECK(request.answers[0].retry_after.has_value());
}

}  // namespace

TEST_CASE("a request that runs when a planned stop is announced is answered before its end") {
  StoppingFixture proxy;
  const auto request = proxy.get();
  REQUIRE(request->running());
  proxy.announceStop();
  proxy.environment.advance(kStop / 2);
  CHECK(request->answers.empty());
  proxy.environment.advance(kStop / 2);
  checkGivenUp(*request);
  CHECK(proxy.state.requestsInFlight() == 0);
}

TEST_CASE("a request that starts during a planned stop is answered before its end") {
  StoppingFixture proxy;
  proxy.announceStop();
  proxy.environment.advance(kStop / 4);
  const auto request = proxy.get();
  REQUIRE(request->running());
  CHECK(request->plans[0].remaining < kStop - kStop / 4);
  proxy.environment.advance(kStop - kStop / 4);
  checkGivenUp(*request);
}

TEST_CASE("a request that still waits at the end of a planned stop is refused as not run") {
  StoppingFixture proxy;
  const auto running = proxy.get();
  const auto waiting = proxy.get();
  REQUIRE(waiting->plans.empty());
  proxy.announceStop();
  proxy.environment.advance(kStop);
  checkGivenUp(*running);
  checkRefused(*waiting);
}

TEST_CASE("a planned stop leaves a request that has time enough its deadline") {
  StoppingFixture proxy;
  proxy.announceStop();
  RequestHead head = ProxyFixture::head("GET", "/stock");
  head.deadline = milliseconds(300);
  const auto request = proxy.send(head);
  REQUIRE(request->running());
  CHECK(request->plans[0].remaining == milliseconds(298));
  proxy.environment.advance(milliseconds(299));
  CHECK(request->answers.empty());
  proxy.environment.advance(milliseconds(1));
  checkGivenUp(*request);
}

TEST_CASE("a repeat during a planned stop ends with it too") {
  StoppingFixture proxy;
  proxy.listServers(2, {ProxyFixture::endpoint("s1"), ProxyFixture::endpoint("s2")});
  const auto request = proxy.get();
  proxy.announceStop();
  proxy.environment.advance(kStop / 4);
  request->fail(AttemptFailure::kLostAfterSend);
  REQUIRE(request->plans.size() == 2);
  CHECK(request->plans[1].remaining < kStop - kStop / 4);
  proxy.environment.advance(kStop - kStop / 4);
  checkGivenUp(*request);
}

}  // namespace coursepond::proxy
