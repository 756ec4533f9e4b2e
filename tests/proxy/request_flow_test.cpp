#include "proxy/request_flow.h"

#include <doctest/doctest.h>

#include "proxy_fixture.h"

namespace coursepond::proxy {
namespace {

void checkNotRun(const TestRequest& request, const std::string& reason) {
  REQUIRE(request.answers.size() == 1);
  CHECK(request.answers[0].status == 503);
  CHECK(request.answers[0].outcome == Outcome::kNotRun);
  CHECK(request.answers[0].reason == reason);
  CHECK(request.answers[0].retry_after.has_value());
}

void checkUnknown(const TestRequest& request, int status, const std::string& reason) {
  REQUIRE(request.answers.size() == 1);
  CHECK(request.answers[0].status == status);
  CHECK(request.answers[0].outcome == Outcome::kUnknown);
  CHECK(request.answers[0].reason == reason);
}

}  // namespace

TEST_CASE("a request is routed and sent once, and its answer is forwarded") {
  ProxyFixture proxy;
  proxy.begin(2);
  const auto request = proxy.get();
  REQUIRE(request->plans.size() == 1);
  CHECK(request->plans[0].id == 1);
  CHECK(request->plans[0].remaining == seconds(5) - milliseconds(2));
  CHECK(request->flow.configurationVersion() == Version(1));
  CHECK(proxy.state.requestsInFlight() == 1);
  request->answerWhole();
  CHECK(request->forwarded.size() == 1);
  CHECK(request->answers.empty());
  CHECK(proxy.state.requestsInFlight() == 0);
  CHECK(proxy.statistics().answers_forwarded == 1);
}

TEST_CASE("a request that cannot be served is refused with a reason") {
  ProxyFixture proxy;
  checkNotRun(*proxy.get(), "no_configuration");
  proxy.apply();
  checkNotRun(*proxy.get(), "no_server");
  const auto unrouted = proxy.get("/nowhere");
  REQUIRE(unrouted->answers.size() == 1);
  CHECK(unrouted->answers[0].status == 404);
  CHECK(unrouted->answers[0].outcome == Outcome::kNotRun);
  for (const char* path : {"/stock/../seat", "/./seat", "/stock/%2E%2e", "/stock/.%2e/seat"}) {
    CHECK(proxy.get(path)->answers.at(0).status == 400);
  }
  CHECK(proxy.get("/stock/..x/.hidden/...")->answers.at(0).status == 503);
}

TEST_CASE("a request that is not repeatable is only sent again if it certainly did not run") {
  ProxyFixture proxy;
  proxy.begin(3);
  SUBCASE("lost after bytes were sent: unknown, one attempt") {
    const auto request = proxy.post();
    request->fail(AttemptFailure::kLostAfterSend);
    checkUnknown(*request, 502, "connection_lost");
    CHECK(request->plans.size() == 1);
  }
  SUBCASE("malformed answer: unknown, one attempt") {
    const auto request = proxy.post();
    request->fail(AttemptFailure::kMalformedAnswer);
    checkUnknown(*request, 502, "malformed_answer");
    CHECK(request->plans.size() == 1);
  }
  SUBCASE("connection failed: another server") {
    const auto request = proxy.post();
    request->fail(AttemptFailure::kConnectFailed);
    REQUIRE(request->plans.size() == 2);
    CHECK(request->plans[0].endpoint.id != request->plans[1].endpoint.id);
    CHECK(request->plans[1].headers_to_set[0].value == "2");
  }
  SUBCASE("refused by the server: another server") {
    const auto request = proxy.post();
    request->refuse();
    REQUIRE(request->plans.size() == 2);
    CHECK(request->plans[0].endpoint.id != request->plans[1].endpoint.id);
    CHECK(request->discarded.size() == 1);
  }
  SUBCASE("an unsafe method is not repeatable by default") {
    const auto request = proxy.post("/stock");
    request->fail(AttemptFailure::kLostAfterSend);
    CHECK(request->plans.size() == 1);
  }
}

TEST_CASE("a repeatable request is sent to other servers up to max_attempts") {
  ProxyFixture proxy;
  proxy.begin(4);
  const auto request = proxy.get();
  request->fail(AttemptFailure::kLostAfterSend);
  request->fail(AttemptFailure::kLostAfterSend);
  CHECK(request->plans.size() == 3);
  request->fail(AttemptFailure::kLostAfterSend);
  CHECK(request->plans.size() == 3);
  checkUnknown(*request, 502, "connection_lost");
  CHECK(proxy.statistics().retries == 2);
}

TEST_CASE("a refusal after an attempt that may have run is not forwarded as not-run") {
  ProxyFixture proxy;
  proxy.service.max_attempts = 2;
  proxy.begin(3);
  const auto request = proxy.get();
  request->fail(AttemptFailure::kLostAfterSend);
  SUBCASE("refused by the server") {
    while (request->running()) {
      request->refuse();
      proxy.environment.advance(milliseconds(100));
    }
  }
  SUBCASE("refused by a deeper node") { request->refuse(false, true); }
  checkUnknown(*request, 502, "server_refused");
  CHECK(request->forwarded.empty());
}

TEST_CASE("a refusal by a deeper node is forwarded and not retried") {
  ProxyFixture proxy;
  proxy.begin(3);
  const auto request = proxy.get();
  request->refuse(false, true);
  CHECK(request->plans.size() == 1);
  CHECK(request->forwarded.size() == 1);
}

TEST_CASE("a request that is a retry of an earlier hop gets one attempt") {
  ProxyFixture proxy;
  proxy.begin(3);
  RequestHead head = ProxyFixture::head("GET", "/stock");
  head.headers.push_back({"x-attempt", "2"});
  const auto request = proxy.send(head);
  CHECK_FALSE(request->plans.at(0).replayable);
  request->fail(AttemptFailure::kLostAfterSend);
  CHECK(request->plans.size() == 1);
  checkUnknown(*request, 502, "connection_lost");
}

TEST_CASE("the retry budget limits retries, and requests beyond it are answered at once") {
  Settings settings;
  settings.retry.burst = 3;
  settings.retry.floor_per_second = 0;
  ProxyFixture proxy(settings);
  proxy.service.retry_budget_percent = 10;
  proxy.service.slots_per_server = 1000;
  proxy.begin(40);
  for (int number = 0; number < 50; ++number) {
    const auto request = proxy.get();
    while (request->running()) request->fail(AttemptFailure::kConnectFailed);
    checkNotRun(*request, "connect_failed");
  }
  CHECK(proxy.statistics().retries <= 3 + 5);
  CHECK(proxy.statistics().retries >= 5);
  CHECK(proxy.statistics().retries_denied_budget > 0);
}

TEST_CASE("a connection that was closed before a byte was written is not charged to the budget") {
  Settings settings;
  settings.retry.burst = 0;
  ProxyFixture proxy(settings);
  proxy.begin(1);
  const auto request = proxy.post();
  request->fail(AttemptFailure::kClosedUnsent);
  CHECK(request->plans.size() == 2);
  while (request->running()) request->fail(AttemptFailure::kClosedUnsent);
  checkNotRun(*request, "connect_failed");
  CHECK(request->plans.size() == 1 + settings.retry.free_attempts);
}

TEST_CASE("a request whose body cannot be replayed is answered at once") {
  ProxyFixture proxy;
  proxy.begin(2);
  const auto request = proxy.get();
  SUBCASE("nothing ran") {
    request->fail(AttemptFailure::kConnectFailed);
    request->fail(AttemptFailure::kCannotReplay);
    checkNotRun(*request, "connect_failed");
  }
  SUBCASE("the first attempt may have run") {
    request->fail(AttemptFailure::kLostAfterSend);
    request->fail(AttemptFailure::kCannotReplay);
    checkUnknown(*request, 502, "connect_failed");
  }
  CHECK(request->plans.size() == 2);
}

TEST_CASE("a request whose deadline passes is answered at once with the true outcome") {
  ProxyFixture proxy;
  proxy.begin(1);
  RequestHead head = ProxyFixture::head("POST", "/seat");
  head.deadline = milliseconds(100);
  SUBCASE("bytes were sent: unknown") {
    const auto request = proxy.send(head);
    CHECK(request->plans.at(0).remaining == milliseconds(98));
    proxy.environment.advance(milliseconds(99));
    CHECK(request->answers.empty());
    proxy.environment.advance(milliseconds(1));
    checkUnknown(*request, 504, "deadline");
    CHECK(request->cancelled.size() == 1);
  }
  SUBCASE("still connecting: not run") {
    const auto request = proxy.send(head);
    request->bytes_sent = false;
    proxy.environment.advance(milliseconds(100));
    checkNotRun(*request, "deadline");
  }
  SUBCASE("expired on arrival") {
    head.deadline = milliseconds(0);
    const auto request = proxy.send(head);
    checkNotRun(*request, "deadline");
    CHECK(request->plans.empty());
  }
  SUBCASE("an answer after the deadline is ignored") {
    const auto request = proxy.send(head);
    proxy.environment.advance(milliseconds(100));
    request->answerWhole();
    CHECK(request->answers.size() == 1);
    CHECK(request->forwarded.empty());
  }
  CHECK(proxy.state.requestsInFlight() == 0);
  CHECK(proxy.report("s1").in_flight == 0);
}

TEST_CASE("after a pause of the process, requests whose deadline has passed are not sent") {
  ProxyFixture proxy;
  proxy.service.slots_per_server = 1;
  proxy.begin(1);
  const auto running = proxy.get();
  const auto waiting = proxy.get();
  proxy.environment.pause(seconds(20));
  running->answerWhole();
  CHECK(waiting->plans.empty());
  checkNotRun(*waiting, "deadline");
}

TEST_CASE("a caller that disconnects cancels its request and frees the slot for the next one") {
  ProxyFixture proxy;
  proxy.service.slots_per_server = 1;
  proxy.begin(1);
  const auto running = proxy.get();
  const auto waiting = proxy.get();
  const auto leaver = proxy.get();
  CHECK(waiting->plans.empty());
  leaver->flow.onCallerGone();
  running->flow.onCallerGone();
  CHECK(running->cancelled.size() == 1);
  CHECK(waiting->plans.size() == 1);
  waiting->answerWhole();
  CHECK(leaver->plans.empty());
  CHECK(proxy.state.requestsInFlight() == 0);
  CHECK(proxy.statistics().caller_gone == 2);
}

TEST_CASE("a truncated answer is counted and never retried") {
  ProxyFixture proxy;
  proxy.begin(2);
  const auto request = proxy.get();
  AnswerHead answer_head;
  answer_head.status = 200;
  request->answer(answer_head);
  request->flow.onAnswerCut(1);
  CHECK(request->plans.size() == 1);
  CHECK(request->answers.empty());
  CHECK(proxy.statistics().answers_cut == 1);
  CHECK(proxy.state.requestsInFlight() == 0);
}

TEST_CASE("a planned stop refuses new requests and finishes those in flight") {
  ProxyFixture proxy;
  proxy.service.slots_per_server = 1;
  proxy.begin(1);
  const auto running = proxy.get();
  const auto waiting = proxy.get();
  proxy.state.beginStop();
  checkNotRun(*proxy.get(), "stopping");
  CHECK(proxy.state.requestsInFlight() == 2);
  running->answerWhole();
  waiting->answerWhole();
  CHECK(waiting->forwarded.size() == 1);
  CHECK(proxy.state.requestsInFlight() == 0);
}

TEST_CASE("a request keeps the snapshot it started with, and an older snapshot is not applied") {
  ProxyFixture proxy;
  proxy.begin(1);
  const auto request = proxy.get();
  CHECK(proxy.apply(2));
  CHECK_FALSE(proxy.apply(1));
  CHECK(proxy.state.snapshot()->version == Version(2));
  CHECK(request->flow.configurationVersion() == Version(1));
  request->fail(AttemptFailure::kClosedUnsent);
  CHECK(request->flow.configurationVersion() == Version(1));
  request->answerWhole();
  CHECK(proxy.get()->flow.configurationVersion() == Version(2));
}

TEST_CASE("a service that is removed while its requests run leaves no state behind") {
  ProxyFixture proxy;
  proxy.begin(1);
  const auto request = proxy.get();
  auto empty = std::make_shared<model::Snapshot>();
  empty->version = Version(2);
  proxy.state.apply(empty);
  proxy.listServers(2, {});
  request->answerWhole();
  CHECK(request->forwarded.size() == 1);
  CHECK(proxy.state.requestsInFlight() == 0);
}

TEST_CASE("secrets, attempt number and batch priority are sent to the server") {
  ProxyFixture proxy;
  proxy.secrets[SecretName("key")] = model::SecretValue("hidden");
  proxy.routes[2].secrets = {{SecretName("key"), "X-Key"}};
  proxy.begin(1);
  const auto request = proxy.get("/report");
  const auto& headers = request->plans.at(0).headers_to_set;
  REQUIRE(headers.size() == 3);
  CHECK(headers[0].name == "X-Attempt");
  CHECK(headers[1].value == "batch");
  CHECK(headers[2].name == "X-Key");
  CHECK(headers[2].value == "hidden");
}

}  // namespace coursepond::proxy
