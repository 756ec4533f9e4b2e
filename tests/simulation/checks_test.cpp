// Unit tests of the checkers: each reports a violation of its promise, and reports nothing while
// the promise is kept.

#include <doctest/doctest.h>

#include "configuration_checks.h"
#include "deployment.h"
#include "model/document.h"
#include "request_checks.h"

namespace coursepond::simulation {
namespace {

using std::chrono::seconds;

struct Bench {
  VirtualTime time;
  Trace trace;
  Violations violations{time, trace};
  RequestChecks requests{time, violations};
  std::vector<RecordHolder> holders;
  MemoryChecks memory{time, violations, [this] { return holders; }};
  ConfigurationChecks configurations{time, violations, memory};
  Deployment deployment = freight();
  ProxyStatus proxy{{NodeId("node-1"), 1}, deployment.zones[0], time.now(), false, false};

  std::string violatedPromise() const {
    return violations.first() ? violations.first()->promise : "";
  }

  model::SnapshotPointer publish(std::uint64_t version) {
    const auto document = *model::parseDocument(documentText(deployment, Version(version)));
    configurations.onPublished(document);
    return *model::buildSnapshot(document.configuration, document.secret_values, proxy.zone);
  }

  void confirm(std::uint64_t version, ConfirmationOutcome outcome, std::uint64_t base = 0) {
    const ConfirmationNumber confirmation = configurations.onConfirmSent(Version(version));
    configurations.onConfirmationAnswered(confirmation, outcome, Version(base));
  }
};

}  // namespace

TEST_CASE("a proxy that returns to an older version is reported, a move to a newer one is not") {
  Bench bench;
  const auto first = bench.publish(1);
  const auto second = bench.publish(2);
  bench.confirm(1, ConfirmationOutcome::kAccepted, 0);
  bench.confirm(2, ConfirmationOutcome::kUnknown);
  bench.configurations.onInForce(bench.proxy, first);
  bench.configurations.onInForce(bench.proxy, second);
  CHECK(bench.violatedPromise().empty());
  bench.configurations.onInForce(bench.proxy, first);
  CHECK(bench.violatedPromise() == promises::kVersionForward);
}

TEST_CASE("a snapshot that differs from the published version is reported") {
  Bench bench;
  auto part = std::make_shared<model::Snapshot>(*bench.publish(1));
  bench.confirm(1, ConfirmationOutcome::kUnknown);
  part->routes.pop_back();
  bench.configurations.onInForce(bench.proxy, part);
  CHECK(bench.violatedPromise() == promises::kWhole);
}

TEST_CASE("a route without its secret is reported") {
  Bench bench;
  auto snapshot = std::make_shared<model::Snapshot>(*bench.publish(1));
  bench.confirm(1, ConfirmationOutcome::kUnknown);
  snapshot->secrets.clear();
  bench.configurations.onInForce(bench.proxy, snapshot);
  CHECK(bench.violatedPromise() == promises::kClosure);
}

TEST_CASE("a version whose confirmations were all refused must not be in force") {
  Bench bench;
  const auto snapshot = bench.publish(1);
  bench.confirm(1, ConfirmationOutcome::kRefused);
  bench.configurations.onInForce(bench.proxy, snapshot);
  CHECK(bench.violatedPromise() == promises::kRefusedNotContradicted);
}

TEST_CASE(
    "after all acceptance records are lost, a refused version may be in force only if adopted") {
  Bench bench;
  const auto adopted = bench.publish(1);
  const auto other = bench.publish(2);
  bench.confirm(1, ConfirmationOutcome::kRefused);
  bench.confirm(2, ConfirmationOutcome::kRefused);
  bench.configurations.onAllLost();
  bench.memory.onAdoption(NodeId("node-1"), Version(1));
  CHECK(bench.memory.losses() == 1);
  bench.configurations.onInForce(bench.proxy, adopted);
  CHECK(bench.violatedPromise().empty());
  bench.configurations.onInForce(bench.proxy, other);
  CHECK(bench.violatedPromise() == promises::kRefusedNotContradicted);
}

TEST_CASE("a refused version that faults short of the loss of all processes let in is reported") {
  Bench bench;
  bench.configurations.onAllLost();
  const auto adopted = bench.publish(1);
  bench.confirm(1, ConfirmationOutcome::kRefused);
  bench.memory.onAdoption(NodeId("node-1"), Version(1));
  bench.time.runUntil(seconds(39));
  bench.configurations.onInForce(bench.proxy, adopted);
  CHECK(bench.violatedPromise().empty());
  bench.time.runUntil(seconds(41));
  bench.configurations.onInForce(bench.proxy, adopted);
  CHECK(bench.violatedPromise() == promises::kRefusedNotContradicted);
}

TEST_CASE("an adoption while another process holds an acceptance record is reported") {
  Bench bench;
  bench.holders = {{NodeId("node-2"), Version(1)}};
  bench.memory.onAdoption(NodeId("node-1"), Version(2));
  CHECK(bench.violatedPromise() == promises::kAdoptedAfterLoss);
  CHECK_FALSE(bench.memory.wasAdopted(Version(2)));
}

TEST_CASE("two readers may adopt after the same loss only within a few seconds") {
  Bench bench;
  bench.memory.onAdoption(NodeId("node-1"), Version(2));
  bench.holders = {{NodeId("node-1"), Version(2)}};
  bench.time.runUntil(seconds(4));
  bench.memory.onAdoption(NodeId("node-2"), Version(3));
  CHECK(bench.violatedPromise().empty());
  CHECK(bench.memory.losses() == 1);
  bench.time.runUntil(seconds(6));
  bench.memory.onAdoption(NodeId("node-3"), Version(3));
  CHECK(bench.violatedPromise() == promises::kAdoptedAfterLoss);
}

TEST_CASE("two versions accepted on the same base version are reported") {
  Bench bench;
  bench.confirm(2, ConfirmationOutcome::kAccepted, 1);
  bench.confirm(3, ConfirmationOutcome::kAccepted, 2);
  CHECK(bench.violatedPromise().empty());
  bench.confirm(4, ConfirmationOutcome::kAccepted, 2);
  CHECK(bench.violatedPromise() == promises::kAcceptedNotContradicted);
}

TEST_CASE("an accepted version that is not in force in time is reported") {
  Bench bench;
  bench.publish(1);
  bench.confirm(1, ConfirmationOutcome::kAccepted);
  bench.time.runUntil(seconds(4));
  bench.configurations.checkConverged({bench.proxy});
  CHECK(bench.violatedPromise().empty());
  bench.time.runUntil(seconds(6));
  bench.configurations.checkConverged({bench.proxy});
  CHECK(bench.violatedPromise() == promises::kConverged);
}

TEST_CASE("a second run of a request that may not be repeated is reported") {
  Bench bench;
  bench.requests.onSent("r1", true);
  bench.requests.onRun("r1", EndpointId("a"));
  bench.requests.onRun("r1", EndpointId("b"));
  CHECK(bench.violatedPromise().empty());
  bench.requests.onSent("r2", false);
  bench.requests.onRun("r2", EndpointId("a"));
  bench.requests.onRun("r2", EndpointId("b"));
  CHECK(bench.violatedPromise() == promises::kAtMostOnce);
}

TEST_CASE("a not-run answer is reported if the request ran before or after it") {
  for (const bool run_first : {true, false}) {
    Bench bench;
    bench.requests.onSent("r1", true);
    if (run_first) bench.requests.onRun("r1", EndpointId("a"));
    bench.requests.onConcluded("r1", Conclusion::kRefusedNotRun);
    if (!run_first) bench.requests.onRun("r1", EndpointId("a"));
    CHECK(bench.violatedPromise() == promises::kNotRun);
  }
}

TEST_CASE("an answer to another request and a truncated answer are reported") {
  Bench other;
  other.requests.onAnswered("r1", {"r2", kAnswerChunks});
  CHECK(other.violatedPromise() == promises::kOwnWholeAnswer);
  Bench cut;
  cut.requests.onAnswered("r1", {"r1", kAnswerChunks - 1});
  CHECK(cut.violatedPromise() == promises::kOwnWholeAnswer);
  Bench whole;
  whole.requests.onAnswered("r1", {"r1", kAnswerChunks});
  CHECK(whole.violatedPromise().empty());
}

TEST_CASE("a request that is unanswered after its deadline is reported") {
  Bench bench;
  bench.requests.onSent("r1", true);
  bench.requests.onOverdue("r1");
  CHECK(bench.violatedPromise() == promises::kConcluded);
}

}  // namespace coursepond::simulation
