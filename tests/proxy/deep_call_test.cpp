// Calls that pass through several nodes. The number of attempts must not multiply with each hop.

#include <doctest/doctest.h>

#include "proxy_fixture.h"

namespace coursepond::proxy {
namespace {

constexpr int kHops = 3;

enum class LeafFault { kNone, kLost, kRefuses };

/// A chain of three nodes. The server of each node but the last makes one call through the next
/// node, with the headers that a service must propagate, and answers with the result of that call.
class Chain {
 public:
  explicit Chain(LeafFault fault) : fault_(fault) {
    for (int hop = 0; hop < kHops; ++hop) {
      hops_.push_back(std::make_unique<ProxyFixture>());
      hops_.back()->service.slots_per_server = 1000;
      hops_.back()->begin(8);
    }
  }

  /// Makes one call to the first node. Returns whether it got a good answer.
  bool call() { return callAt(0, 1); }

  std::uint64_t leafAttempts() const { return hops_.back()->statistics().attempts; }
  std::uint64_t attemptsAt(int hop) const { return hops_[hop]->statistics().attempts; }

 private:
  bool callAt(int hop, AttemptId incoming_attempt) {
    RequestHead head = ProxyFixture::head("GET", "/stock");
    head.headers.push_back({"X-Attempt", std::to_string(incoming_attempt)});
    const auto request = hops_[hop]->send(head);
    while (request->running()) {
      runAttempt(hop, *request);
      hops_[hop]->environment.advance(milliseconds(1));
    }
    last_not_run_ = !request->answers.empty() && request->answers[0].outcome == Outcome::kNotRun;
    const bool passed_on = !request->forwarded.empty();
    if (!passed_on) return false;
    request->flow.onAnswerComplete(request->attempt());
    return last_status_ == 200;
  }

  void runAttempt(int hop, TestRequest& request) {
    if (hop == kHops - 1) return runLeaf(request);
    const bool good = callAt(hop + 1, request.attempt());
    AnswerHead head;
    head.from_node = !good;
    head.not_run = !good && last_not_run_;
    head.status = last_status_ = good ? 200 : 503;
    request.answer(head);
  }

  void runLeaf(TestRequest& request) {
    last_status_ = 200;
    switch (fault_) {
      case LeafFault::kNone: {
        AnswerHead head;
        head.status = 200;
        return request.answer(head);
      }
      case LeafFault::kLost:
        return request.fail(AttemptFailure::kLostAfterSend);
      case LeafFault::kRefuses:
        return request.refuse();
    }
  }

  LeafFault fault_;
  std::vector<std::unique_ptr<ProxyFixture>> hops_;
  bool last_not_run_ = false;
  int last_status_ = 0;
};

constexpr int kCalls = 500;

}  // namespace

TEST_CASE("a good call makes one attempt at each hop") {
  Chain chain(LeafFault::kNone);
  for (int number = 0; number < kCalls; ++number) CHECK(chain.call());
  for (int hop = 0; hop < kHops; ++hop) CHECK(chain.attemptsAt(hop) == kCalls);
}

TEST_CASE("a failing leaf only gets the retries of its own hop's budget, none of earlier hops") {
  Chain chain(LeafFault::kLost);
  for (int number = 0; number < kCalls; ++number) CHECK_FALSE(chain.call());
  const Settings settings;
  CHECK(chain.attemptsAt(0) == kCalls);
  CHECK(chain.attemptsAt(1) == kCalls);
  CHECK(chain.leafAttempts() <= kCalls + kCalls / 5 + settings.retry.burst + 1);
  CHECK(chain.leafAttempts() > kCalls);
}

TEST_CASE("a leaf that refuses everything only gets retries of its own node") {
  Chain chain(LeafFault::kRefuses);
  for (int number = 0; number < kCalls; ++number) CHECK_FALSE(chain.call());
  CHECK(chain.attemptsAt(0) == kCalls);
  CHECK(chain.attemptsAt(1) == kCalls);
  CHECK(chain.leafAttempts() <= kCalls * (1 + Settings().retry.free_attempts));
}

TEST_CASE("a request that is a retry of the first hop is not retried by later hops") {
  ProxyFixture proxy;
  proxy.begin(4);
  RequestHead head = ProxyFixture::head("GET", "/stock");
  head.headers.push_back({"X-Attempt", "2"});
  for (int number = 0; number < 20; ++number) {
    const auto request = proxy.send(head);
    request->fail(AttemptFailure::kLostAfterSend);
    CHECK(request->plans.size() == 1);
  }
  CHECK(proxy.statistics().retries == 0);
}

}  // namespace coursepond::proxy
