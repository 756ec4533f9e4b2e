// Admission, balancing, ejection and drain, tested with whole requests.

#include <doctest/doctest.h>

#include <map>

#include "proxy/proxy_parts.h"
#include "proxy_fixture.h"

namespace coursepond::proxy {
namespace {

using Requests = std::vector<std::unique_ptr<TestRequest>>;

AnswerHead answerWithLoad(double load) {
  AnswerHead head;
  head.status = 200;
  head.load = load;
  return head;
}

/// Sends `count` requests one after the other. Each is answered after the `latency_of` its server.
/// Returns the number of requests per server.
template <typename LatencyOf>
std::map<std::string, int> shares(ProxyFixture& proxy, int count, const LatencyOf& latency_of) {
  std::map<std::string, int> shares;
  for (int number = 0; number < count; ++number) {
    const auto request = proxy.get();
    ++shares[request->server()];
    proxy.environment.advance(latency_of(request->server()));
    request->answerWhole();
  }
  return shares;
}

}  // namespace

TEST_CASE("requests beyond the slots wait in order, and those beyond the queue get Retry-After") {
  ProxyFixture proxy;
  proxy.service.slots_per_server = 2;
  proxy.service.queue_limit = 3;
  proxy.begin(1);
  Requests requests;
  for (int number = 0; number < 6; ++number) requests.push_back(proxy.get());
  CHECK(requests[1]->plans.size() == 1);
  CHECK(requests[2]->plans.empty());
  REQUIRE(requests[5]->answers.size() == 1);
  CHECK(requests[5]->answers[0].reason == "queue_full");
  CHECK(requests[5]->answers[0].retry_after.has_value());
  for (int number = 0; number < 3; ++number) {
    proxy.environment.advance(milliseconds(10));
    requests[number]->answerWhole();
    CHECK(requests[number + 2]->plans.size() == 1);
  }
  for (int number = 3; number < 5; ++number) requests[number]->answerWhole();
  CHECK(proxy.state.requestsInFlight() == 0);
  CHECK(proxy.statistics().queued == 3);
  CHECK(proxy.statistics().refused_queue_full == 1);
}

TEST_CASE("a wait ends at longest_wait, and a request that cannot be served in time is refused") {
  ProxyFixture proxy;
  proxy.service.slots_per_server = 1;
  proxy.service.queue_limit = 100;
  proxy.begin(1);
  Requests requests;
  for (int number = 0; number < 12; ++number) requests.push_back(proxy.get());
  for (int number = 0; number < 6; ++number) {
    proxy.environment.advance(milliseconds(100));
    requests[number]->answerWhole();
  }
  RequestHead hurried = ProxyFixture::head("GET", "/stock");
  hurried.deadline = milliseconds(150);
  const auto hopeless = proxy.send(hurried);
  REQUIRE(hopeless->answers.size() == 1);
  CHECK(hopeless->answers[0].reason == "deadline_too_short");
  proxy.environment.advance(seconds(2));
  REQUIRE(requests[11]->answers.size() == 1);
  CHECK(requests[11]->answers[0].reason == "queue_timeout");
  CHECK(requests[11]->answers[0].outcome == Outcome::kNotRun);
}

TEST_CASE("batch requests leave slots to interactive ones and are shed first") {
  ProxyFixture proxy;
  proxy.service.queue_limit = 4;
  proxy.begin(1);
  Requests reports;
  for (int number = 0; number < 6; ++number) reports.push_back(proxy.get("/report"));
  CHECK(reports[2]->plans.size() == 1);
  CHECK(reports[3]->plans.empty());
  CHECK(reports[5]->answers.at(0).reason == "batch_shed");
  const auto lookup = proxy.get();
  CHECK(lookup->plans.size() == 1);
  Requests lookups;
  for (int number = 0; number < 3; ++number) lookups.push_back(proxy.get());
  CHECK(reports[4]->answers.at(0).reason == "batch_shed");
  CHECK(lookups[2]->answers.empty());
  CHECK(proxy.statistics().shed_batch == 2);
}

TEST_CASE("queued requests are refused at once when no server is left") {
  ProxyFixture proxy;
  proxy.service.slots_per_server = 1;
  proxy.begin(1);
  const auto running = proxy.get();
  const auto waiting = proxy.get();
  proxy.listServers(2, {});
  REQUIRE(waiting->answers.size() == 1);
  CHECK(waiting->answers[0].reason == "no_server");
  running->answerWhole();
  CHECK(running->forwarded.size() == 1);
}

TEST_CASE("a draining server gets no new requests, and its refusal is not charged to the budget") {
  Settings settings;
  settings.retry.burst = 0;
  ProxyFixture proxy(settings);
  proxy.begin(2);
  const auto request = proxy.post();
  const std::string leaving = request->server();
  request->refuse(true);
  REQUIRE(request->plans.size() == 2);
  CHECK(request->server() != leaving);
  CHECK_FALSE(proxy.state.usable(proxy.service.name, EndpointId(leaving)));
  for (int number = 0; number < 20; ++number) {
    const auto next = proxy.get();
    CHECK(next->server() != leaving);
    next->answerWhole();
  }
}

TEST_CASE("a slow server gets fewer requests, is tried again, and recovers its share") {
  ProxyFixture proxy;
  proxy.begin(2);
  auto before = shares(proxy, 400, [](const std::string& server) {
    return server == "s1" ? milliseconds(50) : milliseconds(5);
  });
  CHECK(before["s1"] < 40);
  CHECK(before["s1"] >= 1);
  // A tenfold latency takes about seven half-lives until it is within the balancer's tolerance.
  proxy.environment.advance(8 * Settings().balancer.latency_half_life);
  auto after = shares(proxy, 400, [](const std::string&) { return milliseconds(5); });
  CHECK(after["s1"] > 100);
}

TEST_CASE("a wrong load report does not shift traffic") {
  ProxyFixture proxy;
  proxy.begin(2);
  std::map<std::string, int> taken;
  Requests running;
  for (int number = 0; number < 1000; ++number) {
    auto request = proxy.get();
    REQUIRE(request->running());
    ++taken[request->server()];
    running.push_back(std::move(request));
    proxy.environment.advance(milliseconds(1));
    if (running.size() < 3) continue;
    TestRequest& oldest = *running.front();
    oldest.answer(answerWithLoad(oldest.server() == "s1" ? 1.0 : 0.0));
    oldest.flow.onAnswerComplete(oldest.attempt());
    running.erase(running.begin());
  }
  CHECK(taken["s1"] > 400);
  CHECK(taken["s1"] < 600);
}

TEST_CASE("a new server gets its full share only after slow start") {
  ProxyFixture proxy;
  proxy.begin(2);
  shares(proxy, 100, [](const std::string&) { return milliseconds(5); });
  proxy.listServers(2, {ProxyFixture::endpoint("s1"), ProxyFixture::endpoint("s2"),
                        ProxyFixture::endpoint("s3")});
  auto cold = shares(proxy, 100, [](const std::string&) { return milliseconds(5); });
  CHECK(cold["s3"] < 10);
  proxy.environment.advance(seconds(10));
  auto warm = shares(proxy, 300, [](const std::string&) { return milliseconds(5); });
  CHECK(warm["s3"] > 60);
}

TEST_CASE("a failing server is ejected and returns, and the last usable server is not ejected") {
  ProxyFixture proxy;
  proxy.begin(2);
  // s1 always fails. Then s2 fails, too, and must stay in use. The balancer avoids s1 after its
  // first failure, so it takes a while until there are enough failures for an ejection.
  for (int number = 0; number < 1000 && proxy.statistics().ejections == 0; ++number) {
    const auto request = proxy.post();
    if (request->server() == "s1") {
      request->answerWhole(500);
    } else {
      request->answerWhole();
    }
    proxy.environment.advance(milliseconds(20));
  }
  CHECK(proxy.report("s1").ejected);
  for (int number = 0; number < 10; ++number) {
    const auto request = proxy.post();
    if (!request->running()) continue;
    CHECK(request->server() == "s2");
    request->answerWhole(500);
    proxy.environment.advance(milliseconds(60));
  }
  CHECK_FALSE(proxy.report("s2").ejected);
  proxy.environment.advance(seconds(3));
  CHECK_FALSE(proxy.report("s1").ejected);
}

TEST_CASE("servers that accept no connections are ejected beyond the limit, but one is kept") {
  ProxyFixture proxy;
  proxy.service.slots_per_server = 8;
  proxy.service.queue_limit = 100;
  proxy.begin(4);
  Requests requests;
  for (int number = 0; number < 32; ++number) requests.push_back(proxy.post());
  for (const auto& request : requests) {
    if (request->server() != "s1") request->fail(AttemptFailure::kConnectFailed);
  }
  int ejected = 0;
  for (const ServerReport& report : proxy.state.serverReports()) ejected += report.ejected;
  CHECK(ejected == 3);
  CHECK_FALSE(proxy.report("s1").ejected);
  for (int round = 0; round < 20 && proxy.state.requestsInFlight() > 0; ++round) {
    for (const auto& request : requests) {
      if (request->running()) request->answerWhole();  // Ignored while the request waits.
    }
    proxy.environment.advance(milliseconds(10));
  }
  CHECK(proxy.state.requestsInFlight() == 0);
}

TEST_CASE("servers that all fail alike are not ejected") {
  ProxyFixture proxy;
  proxy.begin(4);
  for (int number = 0; number < 400; ++number) {
    const auto request = proxy.post();
    request->answerWhole(number % 2 == 0 ? 500 : 200);
    proxy.environment.advance(milliseconds(5));
  }
  CHECK(proxy.statistics().ejections <= 1);
}

TEST_CASE("an error of a deeper node does not count as a failure of the server that forwarded it") {
  ProxyFixture proxy;
  proxy.begin(2);
  for (int number = 0; number < 50; ++number) {
    const auto request = proxy.get();
    AnswerHead head;
    head.status = 504;
    head.from_node = true;
    request->answer(head);
    request->flow.onAnswerComplete(request->attempt());
  }
  CHECK(proxy.statistics().ejections == 0);
}

TEST_CASE("ejected servers are used if all servers are ejected") {
  ProxyFixture proxy;
  proxy.begin(4);
  ServiceState& service = *proxy.state.parts().service(proxy.service.name);
  for (const ServerPointer& server : service.servers().usable()) {
    server->outlier.ejected_until = proxy.environment.now() + seconds(60);
  }
  CHECK(proxy.get()->plans.size() == 1);
}

TEST_CASE("a server that refuses gets fewer requests until it accepts them again") {
  ProxyFixture proxy;
  proxy.service.slots_per_server = 8;
  proxy.service.retry_budget_percent = 100;
  proxy.begin(1);
  Requests requests;
  for (int number = 0; number < 8; ++number) requests.push_back(proxy.get());
  requests[7]->refuse();
  CHECK(requests[7]->answers.empty());  // It waits for a slot instead.
  CHECK(proxy.report("s1").concurrency_limit == doctest::Approx(6.4));
  for (int number = 0; number < 2; ++number) requests[number]->answerWhole();
  CHECK(requests[7]->plans.size() == 1);
  requests[2]->answerWhole();
  proxy.environment.advance(milliseconds(60));
  CHECK(requests[7]->plans.size() == 2);
}

TEST_CASE("the number of connections to a server limits the requests on it") {
  ProxyFixture proxy;
  proxy.service.slots_per_server = 20;
  proxy.service.connections_per_server = 12;
  proxy.state.setNodeCount(4);
  proxy.begin(1);
  CHECK(proxy.state.connectionBudget(proxy.service.name) == 3);
  Requests requests;
  for (int number = 0; number < 4; ++number) requests.push_back(proxy.get());
  CHECK(requests[2]->plans.size() == 1);
  CHECK(requests[3]->plans.empty());
  requests[2]->fail(AttemptFailure::kConnectFailed);
  CHECK(proxy.state.connectionBudget(proxy.service.name, EndpointId("s1")) == 2);
}

namespace {

AnswerHead withLimit(double per_second) {
  AnswerHead head;
  head.status = 200;
  head.limit = {LimitReport::Kind::kLimit, per_second};
  return head;
}

/// Sends a request each 10 ms for `span`. Every server answers at once; `limited` reports a limit.
/// Returns the number of requests that each server got.
std::map<std::string, int> sendFor(ProxyFixture& node, Duration span, const std::string& limited,
                                   double per_second) {
  std::map<std::string, int> got;
  for (Duration passed{}; passed < span; passed += milliseconds(10)) {
    const auto request = node.get();
    if (request->running()) {
      ++got[request->server()];
      if (request->server() != limited) {
        request->answerWhole();
      } else {
        request->answer(withLimit(per_second));
        request->flow.onAnswerComplete(request->attempt());
      }
    }
    node.environment.advance(milliseconds(10));
  }
  return got;
}

}  // namespace

TEST_CASE("a node uses its share of a server's limit, and other servers for the rest") {
  for (const std::size_t nodes : {1, 4}) {
    CAPTURE(nodes);
    ProxyFixture node;
    node.begin(2);
    node.state.setNodeCount(nodes);
    sendFor(node, seconds(1), "s1", 8);
    std::map<std::string, int> got = sendFor(node, seconds(10), "s1", 8);
    CHECK(got["s1"] <= 80 / static_cast<int>(nodes) + 2);
    CHECK(got["s1"] >= 80 / static_cast<int>(nodes) - 2);
    CHECK(got["s1"] + got["s2"] == 1000);
  }
}

TEST_CASE("requests that the limits of all servers leave out are refused with the time to wait") {
  ProxyFixture node;
  node.begin(1);
  const auto first = node.get();
  first->answer(withLimit(0.25));
  first->flow.onAnswerComplete(first->attempt());
  const auto second = node.get();
  REQUIRE(second->answers.size() == 1);
  CHECK(second->answers[0].status == 503);
  CHECK(second->answers[0].reason == "server_limit");
  CHECK(second->answers[0].retry_after >= milliseconds(3900));
  node.environment.advance(seconds(4));
  CHECK(node.get()->running());
}

}  // namespace coursepond::proxy
