/// Tests that an ingress requests only a few large bodies at the same time.

#include "runtime/body_gate.h"

#include "proxy_server_fixture.h"

namespace coursepond::runtime {
namespace {

ProxyServerSettings ingressSettings() {
  ProxyServerSettings settings;
  settings.answer_style = AnswerStyle::kIngress;
  settings.max_large_bodies = 2;
  return settings;
}

std::string largeHead(std::size_t size) {
  return "POST /up HTTP/1.1\r\nHost: svc\r\nExpect: 100-continue\r\nContent-Length: " +
         std::to_string(size) + "\r\n\r\n";
}

constexpr char kContinue[] = "HTTP/1.1 100 Continue";

}  // namespace

TEST_CASE("slots are granted in order, and never more than the limit at the same time") {
  BodyGate gate(2);
  std::vector<int> order;
  const auto turn = [&order](int number) {
    return [&order, number] {
      order.push_back(number);
      return true;
    };
  };
  for (int number = 1; number <= 4; ++number) gate.enter(turn(number));
  CHECK(order == std::vector<int>{1, 2});
  gate.leave();
  CHECK(order == std::vector<int>{1, 2, 3});
  // A body that is no longer wanted takes no slot.
  gate.enter([] { return false; });
  gate.enter(turn(6));
  gate.leave();
  gate.leave();
  CHECK(order == std::vector<int>{1, 2, 3, 4, 6});
}

TEST_CASE("a large body is requested when an earlier one has arrived; a small one immediately") {
  ProxyServerFixture fixture(ingressSettings());
  fixture.startBackend([](const HttpRequest& request, const HttpResponder& responder) {
    responder.respond({200, "text/plain", {}, "<" + std::to_string(request.body.size()) + ">"});
  });
  RawCaller first = fixture.caller();
  RawCaller second = fixture.caller();
  RawCaller third = fixture.caller();
  RawCaller small = fixture.caller();
  first.send(largeHead(100'000));
  REQUIRE(first.receives(kContinue));
  second.send(largeHead(100'000));
  REQUIRE(second.receives(kContinue));
  third.send(largeHead(100'000));
  small.send(largeHead(10));
  REQUIRE(small.receives(kContinue));
  // The third caller got a receipt for its request, but no request for its body.
  REQUIRE(third.receives("HTTP/1.1 102 "));
  CHECK(third.received.find(kContinue) == std::string::npos);

  first.send(std::string(100'000, 'b'));
  REQUIRE(third.receives(kContinue));
  REQUIRE(first.receives("<100000>"));
  third.send(std::string(100'000, 'b'));
  REQUIRE(third.receives("<100000>"));
}

TEST_CASE("a caller that leaves frees its slot, or its place in the queue, for the next") {
  ProxyServerFixture fixture(ingressSettings());
  fixture.startBackend([](const HttpRequest&, const HttpResponder& responder) {
    responder.respond({200, "text/plain", {}, "done"});
  });
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int number = 0; number < 5; ++number) {
    callers.push_back(std::make_unique<RawCaller>(fixture.context, fixture.server->address().port));
    callers.back()->send(largeHead(50'000));
    REQUIRE(callers.back()->receives(number < 2 ? kContinue : "HTTP/1.1 102 "));
  }
  callers[2]->close();
  fixture.runUntil([&] { return fixture.server->callerConnectionCount() == 4; });
  callers[0]->close();
  REQUIRE(callers[3]->receives(kContinue));
  CHECK(callers[4]->received.find(kContinue) == std::string::npos);
}

}  // namespace coursepond::runtime
