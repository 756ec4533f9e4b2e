// Guards against requests that lose their connection without an answer at the end of a planned stop
// while a server is at work on them, and against requests that are taken although their service
// needs longer than the stop lasts.

#include <doctest/doctest.h>

#include "proxy/request_flow.h"
#include "proxy/stop_deadline.h"
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
  /// Lets the service run a request for `latency`.
  void learnLatency(Duration latency) {
    const auto request = get();
    environment.advance(latency);
    request->answerWhole();
  }
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

TEST_CASE("the end of a stop is too early only for a deadline beyond it and a longer run") {
  StopDeadline stop;
  const TimePoint now = TimePoint() + seconds(10);
  const TimePoint late = now + seconds(60);
  CHECK_FALSE(stop.isTooLate(late, seconds(50), now));  // There is no stop.
  stop.announce(now + seconds(2));
  CHECK(stop.latest() < now + seconds(2));
  CHECK_FALSE(stop.isTooLate(late, seconds(1), now));
  CHECK(stop.isTooLate(late, seconds(2), now));
  CHECK_FALSE(stop.isTooLate(now + seconds(1), seconds(2), now));
  CHECK(stop.isTooLate(late, Duration(0), now + seconds(2)));
}

TEST_CASE("a request that starts too late in a planned stop to end is refused as not run") {
  StoppingFixture proxy;
  proxy.learnLatency(seconds(1));
  proxy.announceStop();
  const auto early = proxy.get();
  CHECK(early->running());
  proxy.environment.advance(milliseconds(900));
  early->answerWhole();
  proxy.environment.advance(milliseconds(300));
  const auto late = proxy.get();
  CHECK(late->plans.empty());
  checkRefused(*late);
  CHECK(proxy.state.requestsInFlight() == 0);
  // A caller that would not wait any longer anyway is served.
  RequestHead head = ProxyFixture::head("GET", "/stock");
  head.deadline = milliseconds(200);
  CHECK(proxy.send(head)->running());
}

TEST_CASE("a waiting request that gets a slot too late in a planned stop is refused as not run") {
  StoppingFixture proxy;
  proxy.learnLatency(seconds(1));
  const auto running = proxy.get();
  proxy.announceStop();
  const auto waiting = proxy.get();
  CHECK(waiting->answers.empty());
  proxy.environment.advance(milliseconds(1200));
  running->answerWhole();
  CHECK(waiting->plans.empty());
  checkRefused(*waiting);
  CHECK(proxy.state.requestsInFlight() == 0);
}

}  // namespace coursepond::proxy
