#include <doctest/doctest.h>

#include <variant>
#include <vector>

#include "distribution/acceptance_mesh.h"

namespace coursepond::testing {
namespace {

using distribution::AttemptKey;
using distribution::Commit;
using distribution::Committed;
using distribution::Granted;
using distribution::Prepare;
using distribution::Refused;
using distribution::Release;
using namespace std::chrono_literals;

class RecordingSender final : public MessageSender<AcceptanceMessage> {
 public:
  void send(const NodeId&, const AcceptanceMessage& message) override { sent.push_back(message); }
  std::vector<AcceptanceMessage> sent;
};

struct VoterFixture {
  template <typename Message>
  std::optional<AcceptanceMessage> answer(const Message& message) {
    sender.sent.clear();
    voter.onMessage(message.attempt.coordinator, message);
    return sender.sent.empty() ? std::nullopt : std::optional(sender.sent.back());
  }
  template <typename Type, typename Message>
  bool answers(const Message& message) {
    const auto sent = answer(message);
    return sent.has_value() && std::holds_alternative<Type>(*sent);
  }
  ErrorKind refusal(const auto& message) {
    const auto sent = answer(message);
    REQUIRE(sent.has_value());
    REQUIRE(std::holds_alternative<Refused>(*sent));
    return std::get<Refused>(*sent).kind;
  }

  static Prepare prepare(const AttemptKey& attempt, const AcceptanceRecord& proposed) {
    return Prepare{attempt, PlanId("plan"), proposed, AcceptanceRecord(), 3s};
  }

  const AttemptKey first{NodeId("a"), 10};
  const AttemptKey second{NodeId("b"), 20};
  const AcceptanceRecord one = makeRecord(1, 0);
  const AcceptanceRecord two = makeRecord(2, 0);

  VirtualTime time;
  VirtualEnvironment environment{time, 1};
  RecordingSender sender;
  TestRecordStore record_store;
  distribution::AcceptanceVoter voter{environment, sender, record_store,
                                      [](const AcceptanceRecord&) { return true; }};
};

TEST_CASE_FIXTURE(VoterFixture, "a commit is accepted only while its own attempt holds the lease") {
  CHECK(refusal(Commit{first, one}) == ErrorKind::kConflict);
  REQUIRE(answers<Granted>(prepare(first, one)));
  CHECK(refusal(Commit{second, one}) == ErrorKind::kConflict);
  CHECK(refusal(Commit{first, two}) == ErrorKind::kConflict);
  CHECK(record_store.record() == AcceptanceRecord());
  CHECK(answers<Committed>(Commit{first, one}));
  CHECK(record_store.record() == one);
}

TEST_CASE_FIXTURE(VoterFixture,
                  "a retransmitted commit is answered again, also under a later lease") {
  REQUIRE(answers<Granted>(prepare(first, one)));
  REQUIRE(answers<Committed>(Commit{first, one}));
  Prepare next{second, PlanId("next"), makeRecord(2, 1), one, 3s};
  REQUIRE(answers<Granted>(next));
  CHECK(answers<Committed>(Commit{first, one}));
  CHECK(answers<Committed>(Commit{second, makeRecord(2, 1)}));
}

TEST_CASE_FIXTURE(VoterFixture, "a commit after the lease has expired is refused") {
  REQUIRE(answers<Granted>(prepare(first, one)));
  time.runFor(3s);
  CHECK(refusal(Commit{first, one}) == ErrorKind::kConflict);
  CHECK(record_store.record() == AcceptanceRecord());
}

TEST_CASE_FIXTURE(VoterFixture, "a commit is refused if the record has advanced during the lease") {
  REQUIRE(answers<Granted>(prepare(first, two)));
  record_store.offer(one);
  CHECK(refusal(Commit{first, two}) == ErrorKind::kBaseMismatch);
  CHECK(record_store.record() == one);
}

TEST_CASE_FIXTURE(VoterFixture, "a prepare that arrives after its release is not granted") {
  CHECK_FALSE(answer(Release{first}).has_value());
  CHECK_FALSE(answer(prepare(first, one)).has_value());
  CHECK(answers<Granted>(prepare(second, two)));
}

TEST_CASE_FIXTURE(VoterFixture,
                  "a newer attempt of a coordinator replaces its older lease, but not vice versa") {
  const AttemptKey newer{first.coordinator, first.number + 1};
  REQUIRE(answers<Granted>(prepare(first, one)));
  CHECK(answers<Granted>(prepare(newer, one)));
  CHECK(refusal(prepare(first, one)) == ErrorKind::kConflict);
  CHECK(answers<Committed>(Commit{newer, one}));
}

TEST_CASE_FIXTURE(VoterFixture,
                  "a prepare with different content for the base version is refused") {
  record_store.offer(makeRecord(1, 0));
  Prepare other = prepare(first, makeRecord(2, 1));
  other.base = AcceptanceRecord{Version(1), Digest::of("something else"), Version(0)};
  CHECK(refusal(other) == ErrorKind::kDigestMismatch);
}

TEST_CASE("a coordinator that was paused immediately fails a plan it has not committed") {
  AcceptanceMesh mesh(3, 3);
  mesh.network.setFilter([](const NodeId&, const NodeId&, const auto&) { return true; });
  const auto outcome = mesh.confirm("a0", makeRecord(1, 0));
  mesh.time.runFor(10ms);
  mesh.node("a0").coordinator.onPauseDetected();
  REQUIRE(outcome->has_value());
  CHECK(outcome->value().error().kind == ErrorKind::kUnavailable);
}

}  // namespace
}  // namespace coursepond::testing
