#include "runtime/peer_queue.h"

#include <doctest/doctest.h>

#include "runtime/peer_frame.h"

using namespace coursepond;
using namespace coursepond::runtime;
using control::MessageKind;

namespace {

std::string framed(const std::string& payload) {
  std::string frame;
  appendFrame(frame, payload);
  return frame;
}

}  // namespace

TEST_CASE("newer state replaces queued older state of the same kind") {
  PeerQueue queue(1000);
  KindTraffic sent;
  const auto add = [&queue](const std::string& payload, std::optional<StateMessageKind> sort) {
    return queue.add(payload, MessageKind::kDistribution, sort);
  };
  CHECK(add("old summary", StateMessageKind::kSummary) == QueueOutcome::kQueued);
  CHECK(add("answer", StateMessageKind::kSummaryAnswer) == QueueOutcome::kQueued);
  CHECK(add("ping", std::nullopt) == QueueOutcome::kQueued);
  CHECK(add("ping", std::nullopt) == QueueOutcome::kQueued);
  CHECK(add("new", StateMessageKind::kSummary) == QueueOutcome::kReplaced);
  CHECK(queue.bytes() == 3 + 6 + 4 + 4);
  CHECK(queue.takeBatch(1000, sent) ==
        framed("new") + framed("answer") + framed("ping") + framed("ping"));
  CHECK(queue.empty());
  CHECK(queue.bytes() == 0);
  CHECK(sent.messages[static_cast<std::size_t>(MessageKind::kDistribution)] == 4);
  CHECK(sent.bytes[static_cast<std::size_t>(MessageKind::kDistribution)] == 17 + 4 * 4);
}

TEST_CASE("a full queue drops new messages, and accepts messages again when there is room") {
  PeerQueue queue(10);
  KindTraffic sent;
  CHECK(queue.add("12345678", MessageKind::kAdmin, std::nullopt) == QueueOutcome::kQueued);
  CHECK(queue.add("123", MessageKind::kAdmin, std::nullopt) == QueueOutcome::kFull);
  CHECK(queue.takeBatch(1, sent) == framed("12345678"));
  CHECK(queue.add("123", MessageKind::kAdmin, std::nullopt) == QueueOutcome::kQueued);
  CHECK(queue.clear() == 1);
  CHECK(queue.takeBatch(1, sent).empty());
}

TEST_CASE("records of different spreads, and messages that do not carry state, replace nothing") {
  distribution::RecordPush push;
  push.spread = distribution::ForwardMode::kFirstTree;
  const auto first = stateMessageKindOf(distribution::Message(push));
  push.spread = distribution::ForwardMode::kSecondTree;
  const auto second = stateMessageKindOf(distribution::Message(push));
  REQUIRE(first.has_value());
  CHECK(first != second);
  CHECK_FALSE(stateMessageKindOf(distribution::Message(distribution::ContentFetch{})).has_value());
  CHECK_FALSE(stateMessageKindOf(membership::Message(membership::Ping{})).has_value());
}
