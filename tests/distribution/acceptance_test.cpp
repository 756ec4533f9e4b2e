#include <doctest/doctest.h>

#include <string>

#include "distribution/acceptance_mesh.h"

namespace coursepond::testing {
namespace {

using distribution::Commit;
using distribution::Committed;
using distribution::Granted;
using distribution::Prepare;
using distribution::Refused;
using namespace std::chrono_literals;

ErrorKind kindOf(const Result<AcceptanceRecord>& outcome) {
  REQUIRE(outcome.has_error());
  CHECK_FALSE(outcome.error().message.empty());
  CHECK_FALSE(outcome.error().remedy.empty());
  return outcome.error().kind;
}

template <typename Type>
std::function<bool(const NodeId&, const NodeId&, const AcceptanceMessage&)> dropAll() {
  return [](const NodeId&, const NodeId&, const AcceptanceMessage& message) {
    return std::holds_alternative<Type>(message);
  };
}

TEST_CASE("a confirmed record is stored on several machines in a majority of zones") {
  AcceptanceMesh mesh(3, 4);
  const AcceptanceRecord proposed = makeRecord(1, 0);
  const auto outcome = mesh.await(mesh.confirm("a0", proposed));
  REQUIRE(outcome.has_value());
  CHECK(*outcome == proposed);
  CHECK(mesh.holders(proposed) >= 4);
}

TEST_CASE("a zone with a single machine counts towards the majority with that machine") {
  AcceptanceMesh mesh(3, 1);
  CHECK(mesh.await(mesh.confirm("b0", makeRecord(1, 0))).has_value());
}

TEST_CASE("a mesh of one node confirms by itself") {
  AcceptanceMesh mesh(1, 1);
  CHECK(mesh.await(mesh.confirm("a0", makeRecord(1, 0))).has_value());
}

TEST_CASE("confirming the same plan again succeeds, also at another node") {
  AcceptanceMesh mesh(3, 3);
  const AcceptanceRecord proposed = makeRecord(5, 0);
  CHECK(mesh.await(mesh.confirm("a0", proposed)).has_value());
  CHECK(mesh.await(mesh.confirm("a0", proposed)).has_value());
  CHECK(mesh.await(mesh.confirm("c2", proposed)).has_value());
}

TEST_CASE("concurrent confirmations of the same plan at one node share one outcome") {
  AcceptanceMesh mesh(3, 3);
  const auto first = mesh.confirm("a0", makeRecord(1, 0));
  const auto second = mesh.confirm("a0", makeRecord(1, 0));
  CHECK(mesh.await(first).has_value());
  CHECK(mesh.await(second).has_value());
}

TEST_CASE("a node that is confirming a plan refuses another plan immediately") {
  AcceptanceMesh mesh(3, 3);
  const auto first = mesh.confirm("a0", makeRecord(1, 0), "first");
  const auto second = mesh.confirm("a0", makeRecord(2, 0), "second");
  REQUIRE(second->has_value());
  CHECK(kindOf(second->value()) == ErrorKind::kConflict);
  CHECK(mesh.await(first).has_value());
}

TEST_CASE("versions that are not newer, and plans on another base, are refused") {
  AcceptanceMesh mesh(3, 3);
  REQUIRE(mesh.await(mesh.confirm("a0", makeRecord(5, 0))).has_value());
  mesh.propagateNewestRecord();
  CHECK(kindOf(mesh.await(mesh.confirm("b1", makeRecord(4, 0)))) == ErrorKind::kVersionRegression);
  CHECK(kindOf(mesh.await(mesh.confirm("b1", makeRecord(6, 3)))) == ErrorKind::kBaseMismatch);
  CHECK(mesh.await(mesh.confirm("b1", makeRecord(6, 5))).has_value());
}

TEST_CASE("a coordinator with a stale record is refused and learns the newest record") {
  AcceptanceMesh mesh(3, 4);
  REQUIRE(mesh.await(mesh.confirm("a0", makeRecord(5, 0))).has_value());
  AcceptanceNode* behind = nullptr;
  for (auto& [id, node] : mesh.nodes) {
    behind = node->record_store.record().version == Version() ? node.get() : behind;
  }
  REQUIRE(behind != nullptr);
  CHECK(kindOf(mesh.await(mesh.confirm(behind->id.value(), makeRecord(6, 0)))) ==
        ErrorKind::kBaseMismatch);
  CHECK(behind->record_store.record().version == Version(5));
}

TEST_CASE("a voter with a stale record learns the base from the prepare") {
  AcceptanceMesh mesh(3, 3);
  mesh.node("a0").record_store.offer(makeRecord(5, 0));
  CHECK(mesh.await(mesh.confirm("a0", makeRecord(6, 5))).has_value());
}

TEST_CASE("the minority side of a partition is refused immediately") {
  AcceptanceMesh mesh(3, 3);
  mesh.cut({ZoneId("zone-2")});
  const auto small_side = mesh.confirm("c0", makeRecord(1, 0));
  REQUIRE(small_side->has_value());
  CHECK(kindOf(small_side->value()) == ErrorKind::kNoQuorum);
  CHECK(mesh.network.sent() == 0);
  CHECK(mesh.await(mesh.confirm("a0", makeRecord(1, 0))).has_value());
}

TEST_CASE("half of the zones are not a majority") {
  AcceptanceMesh mesh(4, 2);
  mesh.cut({ZoneId("zone-0"), ZoneId("zone-1")});
  CHECK(kindOf(mesh.await(mesh.confirm("a0", makeRecord(1, 0)))) == ErrorKind::kNoQuorum);
  CHECK(kindOf(mesh.await(mesh.confirm("d0", makeRecord(1, 0)))) == ErrorKind::kNoQuorum);
}

TEST_CASE(
    "a confirmation during a partition not yet in the view fails in time and changes nothing") {
  AcceptanceMesh mesh(3, 3);
  mesh.cutSilently({ZoneId("zone-0")});
  const TimePoint start = mesh.time.now();
  CHECK(kindOf(mesh.await(mesh.confirm("a0", makeRecord(1, 0)))) == ErrorKind::kNoQuorum);
  CHECK(mesh.time.now() - start <= 1300ms);
  mesh.heal();
  mesh.time.runFor(10s);
  CHECK(mesh.holders(makeRecord(1, 0)) == 0);
  CHECK(mesh.await(mesh.confirm("b0", makeRecord(1, 0))).has_value());
}

TEST_CASE("a failed confirmation releases its leases") {
  AcceptanceMesh mesh(3, 3);
  mesh.network.setFilter(dropAll<Granted>());
  CHECK(kindOf(mesh.await(mesh.confirm("a0", makeRecord(1, 0), "first"))) == ErrorKind::kNoQuorum);
  mesh.network.setFilter(nullptr);
  mesh.time.runFor(10ms);
  const TimePoint start = mesh.time.now();
  CHECK(mesh.await(mesh.confirm("b0", makeRecord(1, 0), "second")).has_value());
  CHECK(mesh.time.now() - start < 100ms);
}

TEST_CASE("a coordinator that crashes while holding leases blocks others only until they expire") {
  AcceptanceMesh mesh(3, 3);
  mesh.confirm("a0", makeRecord(1, 0), "dead");
  mesh.network.remove(NodeId("a0"));
  mesh.nodes.at(NodeId("a0"))->environment.pauseFor(60s);
  mesh.time.runFor(100ms);
  CHECK(kindOf(mesh.await(mesh.confirm("b0", makeRecord(2, 0), "next"))) == ErrorKind::kConflict);
  mesh.time.runFor(3s);
  CHECK(mesh.await(mesh.confirm("b0", makeRecord(2, 0), "next")).has_value());
}

TEST_CASE("lost Committed messages give an unknown outcome, and confirming again resolves it") {
  AcceptanceMesh mesh(3, 3);
  mesh.network.setFilter(dropAll<Committed>());
  CHECK(kindOf(mesh.await(mesh.confirm("a0", makeRecord(1, 0)))) == ErrorKind::kOutcomeUnknown);
  mesh.network.setFilter(nullptr);
  CHECK(mesh.await(mesh.confirm("a0", makeRecord(1, 0))).has_value());
}

TEST_CASE("no refusal contradicts a commit that was sent before") {
  AcceptanceMesh mesh(3, 3);
  mesh.network.setFilter(dropAll<Commit>());
  CHECK(kindOf(mesh.await(mesh.confirm("a0", makeRecord(1, 0)))) == ErrorKind::kOutcomeUnknown);
  mesh.cut({ZoneId("zone-0")});
  CHECK(kindOf(mesh.await(mesh.confirm("a0", makeRecord(1, 0)))) == ErrorKind::kOutcomeUnknown);
}

TEST_CASE("a pause between prepare and commit fails the plan and never commits it late") {
  AcceptanceMesh mesh(3, 3);
  const auto outcome = mesh.confirm("a0", makeRecord(1, 0));
  mesh.node("a0").environment.pauseFor(8s);
  SUBCASE("the pause is detected first") {
    mesh.time.runFor(7999ms);
    mesh.node("a0").coordinator.onPauseDetected();
  }
  SUBCASE("the grants arrive before anything detects the pause") {}
  CHECK(mesh.await(outcome).has_error());
  CHECK((*outcome)->error().kind != ErrorKind::kOutcomeUnknown);
  mesh.time.runFor(20s);
  CHECK(mesh.holders(makeRecord(1, 0)) == 0);
}

TEST_CASE("voters that resume after a pause reject an old commit") {
  AcceptanceMesh mesh(1, 3);
  const auto outcome = mesh.confirm("a0", makeRecord(1, 0));
  mesh.network.setFilter(dropAll<Commit>());
  mesh.time.runFor(100ms);
  for (auto& [id, node] : mesh.nodes) {
    node->voter.onPauseDetected();
  }
  mesh.network.setFilter(nullptr);
  CHECK(kindOf(mesh.await(outcome)) == ErrorKind::kOutcomeUnknown);
}

TEST_CASE("a confirmation waits for missing content and is refused if it does not arrive") {
  AcceptanceMesh mesh(3, 3);
  for (auto& [id, node] : mesh.nodes) {
    node->may_grant = false;
  }
  SUBCASE("it arrives") {
    const auto outcome = mesh.confirm("a0", makeRecord(1, 0));
    mesh.time.runFor(300ms);
    for (auto& [id, node] : mesh.nodes) {
      node->may_grant = true;
    }
    CHECK(mesh.await(outcome).has_value());
  }
  SUBCASE("it does not") {
    CHECK(kindOf(mesh.await(mesh.confirm("a0", makeRecord(1, 0)))) == ErrorKind::kNoQuorum);
  }
}

TEST_CASE("one dead voter in each zone does not stop a confirmation") {
  AcceptanceMesh mesh(3, 3);
  for (const char* dead : {"a1", "b1", "c1"}) {
    mesh.network.remove(NodeId(dead));
  }
  CHECK(mesh.await(mesh.confirm("a0", makeRecord(1, 0))).has_value());
}

/// Outcomes reported to operators, to be checked against the records of the nodes.
struct ReportedOutcomes {
  std::vector<AcceptanceRecord> accepted;
  std::vector<AcceptanceRecord> refused;
  std::size_t unknown = 0;
};

void addOutcome(ReportedOutcomes& reported, const AcceptanceRecord& proposed,
                const Result<AcceptanceRecord>& outcome) {
  if (outcome.has_value()) {
    reported.accepted.push_back(proposed);
  } else if (outcome.error().kind == ErrorKind::kOutcomeUnknown) {
    ++reported.unknown;
  } else {
    reported.refused.push_back(proposed);
  }
}

/// Checks that no two records with the same base were both accepted.
void checkOneAcceptedPerBase(const ReportedOutcomes& reported) {
  std::set<Version> bases;
  for (const AcceptanceRecord& record : reported.accepted) {
    CHECK_MESSAGE(bases.insert(record.base).second, "two records accepted with base ",
                  record.base.value());
  }
}

TEST_CASE("of two concurrent plans with the same base exactly one is accepted when nothing fails") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    AcceptanceMesh mesh(3, 4, seed);
    const auto first = mesh.confirm("a0", makeRecord(1, 0), "first");
    mesh.time.runFor(Duration(seed * 37 % 4000));
    const auto second = mesh.confirm("b0", makeRecord(2, 0), "second");
    ReportedOutcomes reported;
    addOutcome(reported, makeRecord(1, 0), mesh.await(first));
    addOutcome(reported, makeRecord(2, 0), mesh.await(second));
    CHECK(reported.accepted.size() == 1);
    CHECK(reported.refused.size() == 1);
    mesh.time.runFor(5s);
    CHECK(mesh.holders(reported.refused.front()) == 0);
  }
}

/// One run with a seed: concurrent plans, message loss, duplicates, partitions and pauses over
/// several rounds of versions.
void runFaultySchedule(std::uint64_t seed) {
  CAPTURE(seed);
  std::mt19937_64 random(seed);
  AcceptanceMesh mesh(3 + seed % 2, 3, seed);
  const std::vector<std::string> operators = {"a0", "b1", "c2", "a2"};
  ReportedOutcomes reported;
  std::uint64_t version = 0;
  for (int round = 0; round < 6; ++round) {
    mesh.network.setFaults({static_cast<std::uint32_t>(random() % 30),
                            static_cast<std::uint32_t>(random() % 30), 1ms,
                            Duration(random() % 400'000)});
    if (random() % 3 == 0) {
      mesh.cutSilently({ZoneId("zone-" + std::to_string(random() % 3))});
    }
    std::vector<std::pair<AcceptanceRecord, Outcome>> running;
    for (const std::string& at : operators) {
      const std::uint64_t base = mesh.node(at).record_store.record().version.value();
      const AcceptanceRecord proposed = makeRecord(++version, base);
      running.emplace_back(proposed, mesh.confirm(at, proposed, at + std::to_string(version)));
      mesh.time.runFor(Duration(random() % 20'000));
      if (random() % 4 == 0) {
        AcceptanceNode& paused = mesh.node(operators[random() % operators.size()]);
        paused.environment.pauseFor(Duration(random() % 6'000'000));
      }
    }
    mesh.time.runFor(20s);
    for (const auto& [proposed, outcome] : running) {
      addOutcome(reported, proposed, mesh.await(outcome));
    }
    mesh.heal();
    mesh.time.runFor(20s);
    for (const AcceptanceRecord& refused : reported.refused) {
      CHECK_MESSAGE(mesh.holders(refused) == 0,
                    "refused but stored on a node: ", refused.version.value());
    }
    mesh.propagateNewestRecord();
  }
  checkOneAcceptedPerBase(reported);
}

TEST_CASE(
    "under loss, reordering, partitions and pauses no two plans with one base are both accepted") {
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    runFaultySchedule(seed);
  }
}

}  // namespace
}  // namespace coursepond::testing
