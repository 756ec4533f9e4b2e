/// Tests pipelining: requests that a caller sends on one connection without waiting for answers.

#include <algorithm>
#include <map>
#include <random>

#include "proxy_server_fixture.h"

namespace coursepond::runtime {
namespace {

/// A node whose GET requests may run concurrently, except those below "/once". The backend holds
/// every request until the test answers it.
class PipelineFixture : public ProxyServerFixture {
 public:
  explicit PipelineFixture(const ProxyServerSettings& settings = {})
      : ProxyServerFixture(settings, {ServiceName("s")}, [](const proxy::RequestHead& head) {
          return head.method == "GET" && !head.path.starts_with("/once");
        }) {
    startBackend([this](const HttpRequest& request, HttpResponder responder) {
      order.push_back(request.target);
      held.insert_or_assign(request.target, std::move(responder));
    });
  }
  ~PipelineFixture() { held.clear(); }

  void awaitHeld(std::size_t count) {
    runUntil([this, count] { return order.size() >= count; });
  }
  void answer(const std::string& target) {
    held.at(target).respond({200, "text/plain", {}, "<" + target + ">"});
    held.erase(target);
  }
  /// Runs the context long enough for all pending events to be handled.
  void settle() {
    for (int turn = 0; turn < 20; ++turn) context.run_for(std::chrono::milliseconds(1));
  }

  std::vector<std::string> order;  ///< Targets in the order in which they reached the backend.
  std::map<std::string, HttpResponder> held;
};

std::vector<std::string> answersIn(const std::string& received) {
  std::vector<std::string> answers;
  for (std::size_t at = received.find('<'); at != std::string::npos; at = received.find('<', at)) {
    const std::size_t end = received.find('>', at);
    if (end == std::string::npos) break;
    answers.push_back(received.substr(at + 1, end - at - 1));
    at = end;
  }
  return answers;
}

}  // namespace

TEST_CASE("requests that may run twice run concurrently; answers are sent in the caller's order") {
  std::vector<std::string> targets = {"/1", "/2", "/3", "/4", "/5"};
  for (std::uint32_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    PipelineFixture fixture;
    RawCaller caller = fixture.caller();
    std::string bytes;
    for (const std::string& target : targets) bytes += simpleGet(target);
    caller.send(bytes);
    fixture.awaitHeld(targets.size());
    std::vector<std::string> completion = targets;
    std::mt19937 random(seed);
    std::shuffle(completion.begin(), completion.end(), random);
    for (const std::string& target : completion) fixture.answer(target);
    REQUIRE(caller.receives("</5>"));
    CHECK(answersIn(caller.received) == targets);
  }
}

TEST_CASE("an answer is sent when all earlier ones are sent, without waiting for later ones") {
  PipelineFixture fixture;
  RawCaller caller = fixture.caller();
  caller.send(simpleGet("/1") + simpleGet("/2") + simpleGet("/3"));
  fixture.awaitHeld(3);
  fixture.answer("/2");
  fixture.settle();
  CHECK(caller.received.empty());
  fixture.answer("/1");
  REQUIRE(caller.receives("</2>"));
  CHECK(answersIn(caller.received) == std::vector<std::string>{"/1", "/2"});
}

TEST_CASE("a request that may not run twice waits for earlier requests and delays later ones") {
  PipelineFixture fixture;
  RawCaller caller = fixture.caller();
  caller.send(simpleGet("/1") + simpleGet("/once") + simpleGet("/3"));
  fixture.awaitHeld(1);
  fixture.settle();
  CHECK(fixture.order == std::vector<std::string>{"/1"});
  fixture.answer("/1");
  fixture.awaitHeld(2);
  fixture.settle();
  CHECK(fixture.order == std::vector<std::string>{"/1", "/once"});
  fixture.answer("/once");
  fixture.awaitHeld(3);
  fixture.answer("/3");
  REQUIRE(caller.receives("</3>"));
  CHECK(answersIn(caller.received) == std::vector<std::string>{"/1", "/once", "/3"});
}

TEST_CASE("the body of a pipelined request is never parsed as the next request") {
  PipelineFixture fixture;
  RawCaller caller = fixture.caller();
  const std::string post =
      "POST /2 HTTP/1.1\r\nHost: svc\r\nContent-Length: 20\r\n\r\nGET /x HTTP/1.1\r\n\r\n ";
  caller.send(simpleGet("/1") + post + simpleGet("/3"));
  fixture.awaitHeld(1);
  fixture.answer("/1");
  fixture.awaitHeld(2);
  fixture.answer("/2");
  fixture.awaitHeld(3);
  fixture.answer("/3");
  REQUIRE(caller.receives("</3>"));
  CHECK(fixture.order == std::vector<std::string>{"/1", "/2", "/3"});
}

TEST_CASE("the number of requests that run concurrently is limited") {
  ProxyServerSettings settings;
  settings.max_concurrent_requests = 2;
  PipelineFixture fixture(settings);
  RawCaller caller = fixture.caller();
  caller.send(simpleGet("/1") + simpleGet("/2") + simpleGet("/3"));
  fixture.awaitHeld(2);
  fixture.settle();
  CHECK(fixture.order.size() == 2);
  fixture.answer("/1");
  fixture.awaitHeld(3);
  fixture.answer("/2");
  fixture.answer("/3");
  CHECK(caller.receives("</3>"));
}

TEST_CASE("a caller that leaves cancels all of its requests") {
  PipelineFixture fixture;
  RawCaller caller = fixture.caller();
  caller.send(simpleGet("/1") + simpleGet("/2") + simpleGet("/3"));
  fixture.awaitHeld(3);
  int gone = 0;
  for (auto& [target, responder] : fixture.held)
    responder.onCallerDisconnected([&gone] { ++gone; });
  caller.close();
  fixture.runUntil([&] { return gone == 3; });
  CHECK(fixture.server->statistics().callers_gone == 1);
  fixture.runUntil([&] { return fixture.server->callerConnectionCount() == 0; });
}

TEST_CASE("a caller of an ingress that left before its request was read gets no attempt") {
  ProxyServerSettings settings;
  settings.answer_style = AnswerStyle::kIngress;
  PipelineFixture fixture(settings);
  {
    RawCaller caller = fixture.caller();
    caller.send(simpleGet("/1"));
    caller.close();
  }
  fixture.runUntil([&] { return fixture.server->statistics().connections_accepted == 1; });
  fixture.runUntil([&] { return fixture.server->callerConnectionCount() == 0; });
  CHECK(fixture.server->statistics().requests == 1);
  CHECK(fixture.order.empty());
}

TEST_CASE("a caller that left before its request was read gets no attempt") {
  ProxyServerSettings settings;
  SUBCASE("at a node that reaches servers directly") {}
  SUBCASE("at an egress") { settings.answer_style = AnswerStyle::kEgress; }
  PipelineFixture fixture(settings);
  {
    RawCaller caller = fixture.caller();
    caller.send(simpleGet("/1"));
    caller.close();
  }
  fixture.runUntil([&] { return fixture.server->statistics().connections_accepted == 1; });
  fixture.runUntil([&] { return fixture.server->callerConnectionCount() == 0; });
  CHECK(fixture.server->upstreamStatistics().connects == 0);
  CHECK(fixture.order.empty());
}

TEST_CASE("a caller that left before its pipelined requests were read gets no attempt") {
  PipelineFixture fixture;
  {
    RawCaller caller = fixture.caller();
    caller.send(simpleGet("/1") + simpleGet("/2") + simpleGet("/3"));
    caller.close();
  }
  fixture.runUntil([&] { return fixture.server->statistics().connections_accepted == 1; });
  fixture.runUntil([&] { return fixture.server->callerConnectionCount() == 0; });
  CHECK(fixture.server->upstreamStatistics().connects == 0);
}

TEST_CASE("a request that waits behind another one on its connection keeps its deadline") {
  PipelineFixture fixture;
  std::string remaining_ms;
  HttpServer& backend =
      fixture.startBackend([&](const HttpRequest& request, const HttpResponder& responder) {
        if (request.target == "/2") {
          remaining_ms = findHeader(request.headers, "X-Deadline-Ms").value_or("");
        }
        fixture.order.push_back(request.target);
        fixture.held.insert_or_assign(request.target, responder);
      });
  REQUIRE(backend.address().port != 0);
  RawCaller caller = fixture.caller();
  caller.send(simpleGet("/once/1") + simpleGet("/2", "X-Deadline-Ms: 5000\r\n"));
  fixture.awaitHeld(1);
  fixture.context.run_for(std::chrono::milliseconds(300));
  fixture.answer("/once/1");
  fixture.awaitHeld(2);
  REQUIRE_FALSE(remaining_ms.empty());
  CHECK(std::stoi(remaining_ms) <= 4700);
}

TEST_CASE("an answer that breaks off ends the connection and cancels the requests after it") {
  PipelineFixture fixture;
  RawCaller caller = fixture.caller();
  caller.send(simpleGet("/1") + simpleGet("/2"));
  fixture.awaitHeld(2);
  int gone = 0;
  fixture.held.at("/2").onCallerDisconnected([&gone] { ++gone; });
  fixture.held.at("/1").begin({200, "text/plain", {}, ""});
  fixture.held.at("/1").sendChunk("part");
  REQUIRE(caller.receives("part"));
  fixture.held.at("/1").cut();
  caller.runToEnd();
  fixture.runUntil([&] { return gone == 1; });
}

TEST_CASE("a request that ends the connection is the last: requests after it are not started") {
  PipelineFixture fixture;
  RawCaller caller = fixture.caller();
  caller.send(simpleGet("/1") + simpleGet("/2", "Connection: close\r\n") + simpleGet("/3"));
  fixture.awaitHeld(2);
  fixture.answer("/2");
  fixture.answer("/1");
  caller.runToEnd();
  CHECK(answersIn(caller.received) == std::vector<std::string>{"/1", "/2"});
  CHECK(fixture.order.size() == 2);
  CHECK_FALSE(caller.reset);
}

TEST_CASE(
    "a planned stop answers all started requests, and only the last answer ends the connection") {
  PipelineFixture fixture;
  RawCaller caller = fixture.caller();
  caller.send(simpleGet("/1") + simpleGet("/2") + simpleGet("/3"));
  fixture.awaitHeld(3);
  fixture.server->announceClose();
  fixture.answer("/3");
  fixture.answer("/1");
  REQUIRE(caller.receives("</1>"));
  CHECK(caller.received.find("Connection: close") == std::string::npos);
  fixture.answer("/2");
  caller.runToEnd();
  CHECK(answersIn(caller.received) == std::vector<std::string>{"/1", "/2", "/3"});
  CHECK(caller.received.find("Connection: close") != std::string::npos);
}

TEST_CASE("a malformed request is refused after the requests before it are answered") {
  PipelineFixture fixture;
  RawCaller caller = fixture.caller();
  caller.send(simpleGet("/1") + "nonsense\r\n\r\n");
  fixture.awaitHeld(1);
  fixture.settle();
  CHECK(caller.received.empty());
  fixture.answer("/1");
  caller.runToEnd();
  CHECK(caller.received.find("</1>") < caller.received.find("HTTP/1.1 400 "));
}

TEST_CASE(
    "an answer longer than the buffer limit waits for earlier answers and arrives completely") {
  ProxyServerSettings settings;
  settings.buffered_answer_bytes = 1000;
  PipelineFixture fixture(settings);
  RawCaller caller = fixture.caller();
  caller.send(simpleGet("/1") + simpleGet("/2"));
  fixture.awaitHeld(2);
  const std::string body(300'000, 'x');
  fixture.held.at("/2").respond({200, "text/plain", {}, body + "<end>"});
  fixture.settle();
  CHECK(caller.received.empty());
  fixture.answer("/1");
  REQUIRE(caller.receives("<end>"));
  CHECK(caller.received.find(body) != std::string::npos);
}

}  // namespace coursepond::runtime
