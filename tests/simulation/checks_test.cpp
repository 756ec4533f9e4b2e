// The checkers by themselves: each reports its promise, and keeps quiet when the promise is kept.

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

  std::string broken() const { return violations.first() ? violations.first()->promise : ""; }

  model::SnapshotPointer publish(std::uint64_t version) {
    const auto document = *model::parseDocument(documentText(deployment, Version(version)));
    configurations.onPublished(document);
    return *model::buildSnapshot(document.configuration, document.secret_values, proxy.zone);
  }

  void tell(std::uint64_t version, Told told, std::uint64_t base = 0) {
    const ConfirmationNumber confirmation = configurations.onConfirmSent(Version(version));
    configurations.onTold(confirmation, told, Version(base));
  }
};

}  // namespace

TEST_CASE("a version that goes back is reported, one that goes forward is not") {
  Bench bench;
  const auto first = bench.publish(1);
  const auto second = bench.publish(2);
  bench.tell(1, Told::kAccepted, 0);
  bench.tell(2, Told::kUnknown);
  bench.configurations.onInForce(bench.proxy, first);
  bench.configurations.onInForce(bench.proxy, second);
  CHECK(bench.broken().empty());
  bench.configurations.onInForce(bench.proxy, first);
  CHECK(bench.broken() == promises::kVersionForward);
}

TEST_CASE("a snapshot that differs from the published version is reported") {
  Bench bench;
  auto part = std::make_shared<model::Snapshot>(*bench.publish(1));
  bench.tell(1, Told::kUnknown);
  part->routes.pop_back();
  bench.configurations.onInForce(bench.proxy, part);
  CHECK(bench.broken() == promises::kWhole);
}

TEST_CASE("a route without its secret is reported") {
  Bench bench;
  auto snapshot = std::make_shared<model::Snapshot>(*bench.publish(1));
  bench.tell(1, Told::kUnknown);
  snapshot->secrets.clear();
  bench.configurations.onInForce(bench.proxy, snapshot);
  CHECK(bench.broken() == promises::kClosure);
}

TEST_CASE("a version whose confirmations were all refused must not be in force") {
  Bench bench;
  const auto snapshot = bench.publish(1);
  bench.tell(1, Told::kRefused);
  bench.configurations.onInForce(bench.proxy, snapshot);
  CHECK(bench.broken() == promises::kRefusedStands);
}

TEST_CASE("a refused version may be adopted once nobody remembers anything, no other one") {
  Bench bench;
  const auto adopted = bench.publish(1);
  const auto other = bench.publish(2);
  bench.tell(1, Told::kRefused);
  bench.tell(2, Told::kRefused);
  bench.memory.onAdoption(NodeId("node-1"), Version(1));
  CHECK(bench.memory.losses() == 1);
  bench.configurations.onInForce(bench.proxy, adopted);
  CHECK(bench.broken().empty());
  bench.configurations.onInForce(bench.proxy, other);
  CHECK(bench.broken() == promises::kRefusedStands);
}

TEST_CASE("an adoption while a process remembers is reported, also when that one is paused") {
  Bench bench;
  bench.holders = {{NodeId("node-2"), Version(1)}};
  bench.memory.onAdoption(NodeId("node-1"), Version(2));
  CHECK(bench.broken() == promises::kAdoptedAfterLoss);
  CHECK_FALSE(bench.memory.wasAdopted(Version(2)));
}

TEST_CASE("two readers may adopt after one loss, but not long after each other") {
  Bench bench;
  bench.memory.onAdoption(NodeId("node-1"), Version(2));
  bench.holders = {{NodeId("node-1"), Version(2)}};
  bench.time.runUntil(seconds(4));
  bench.memory.onAdoption(NodeId("node-2"), Version(3));
  CHECK(bench.broken().empty());
  CHECK(bench.memory.losses() == 1);
  bench.time.runUntil(seconds(6));
  bench.memory.onAdoption(NodeId("node-3"), Version(3));
  CHECK(bench.broken() == promises::kAdoptedAfterLoss);
}

TEST_CASE("two versions accepted on one base are reported") {
  Bench bench;
  bench.tell(2, Told::kAccepted, 1);
  bench.tell(3, Told::kAccepted, 2);
  CHECK(bench.broken().empty());
  bench.tell(4, Told::kAccepted, 2);
  CHECK(bench.broken() == promises::kAcceptedStands);
}

TEST_CASE("an accepted version that is not in force in time is reported") {
  Bench bench;
  bench.publish(1);
  bench.tell(1, Told::kAccepted);
  bench.time.runUntil(seconds(4));
  bench.configurations.checkConverged({bench.proxy});
  CHECK(bench.broken().empty());
  bench.time.runUntil(seconds(6));
  bench.configurations.checkConverged({bench.proxy});
  CHECK(bench.broken() == promises::kConverged);
}

TEST_CASE("a request that may not be repeated may run once") {
  Bench bench;
  bench.requests.onSent("r1", true);
  bench.requests.onRun("r1", EndpointId("a"));
  bench.requests.onRun("r1", EndpointId("b"));
  CHECK(bench.broken().empty());
  bench.requests.onSent("r2", false);
  bench.requests.onRun("r2", EndpointId("a"));
  bench.requests.onRun("r2", EndpointId("b"));
  CHECK(bench.broken() == promises::kAtMostOnce);
}

TEST_CASE("not-run is reported whether the run comes before or after it was told") {
  for (const bool run_first : {true, false}) {
    Bench bench;
    bench.requests.onSent("r1", true);
    if (run_first) bench.requests.onRun("r1", EndpointId("a"));
    bench.requests.onConcluded("r1", Conclusion::kRefusedNotRun);
    if (!run_first) bench.requests.onRun("r1", EndpointId("a"));
    CHECK(bench.broken() == promises::kNotRun);
  }
}

TEST_CASE("another request's answer and a short answer are reported") {
  Bench other;
  other.requests.onAnswered("r1", {"r2", kAnswerChunks});
  CHECK(other.broken() == promises::kOwnWholeAnswer);
  Bench cut;
  cut.requests.onAnswered("r1", {"r1", kAnswerChunks - 1});
  CHECK(cut.broken() == promises::kOwnWholeAnswer);
  Bench whole;
  whole.requests.onAnswered("r1", {"r1", kAnswerChunks});
  CHECK(whole.broken().empty());
}

TEST_CASE("a request without an answer after its deadline is reported") {
  Bench bench;
  bench.requests.onSent("r1", true);
  bench.requests.onOverdue("r1");
  CHECK(bench.broken() == promises::kConcluded);
}

}  // namespace coursepond::simulation
