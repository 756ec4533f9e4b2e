#include "runtime/peer_queue.h"

#include "runtime/peer_frame.h"

namespace coursepond::runtime {
namespace {

StateMessageKind recordPushKind(distribution::ForwardMode spread) {
  switch (spread) {
    case distribution::ForwardMode::kDirect:
      return StateMessageKind::kRecordPush;
    case distribution::ForwardMode::kZone:
      return StateMessageKind::kRecordPushZone;
    case distribution::ForwardMode::kFirstTree:
      return StateMessageKind::kRecordPushFirstTree;
    case distribution::ForwardMode::kSecondTree:
      return StateMessageKind::kRecordPushSecondTree;
  }
  return StateMessageKind::kRecordPush;
}

}  // namespace

void KindTraffic::count(control::MessageKind kind, std::size_t payload_bytes) {
  const auto index = static_cast<std::size_t>(kind);
  messages[index] += 1;
  bytes[index] += payload_bytes + kFrameHeaderSize;
}

std::optional<StateMessageKind> stateMessageKindOf(const control::PeerMessage& message) {
  const auto* from_replica = std::get_if<distribution::Message>(&message);
  if (from_replica == nullptr) return std::nullopt;
  if (const auto* summary = std::get_if<distribution::Summary>(from_replica)) {
    return summary->is_answer ? StateMessageKind::kSummaryAnswer : StateMessageKind::kSummary;
  }
  if (const auto* push = std::get_if<distribution::RecordPush>(from_replica)) {
    return recordPushKind(push->spread);
  }
  return std::nullopt;
}

QueueOutcome PeerQueue::add(std::string payload, control::MessageKind kind,
                            std::optional<StateMessageKind> state_kind) {
  if (state_kind) {
    for (Waiting& older : waiting_) {
      if (older.state_kind != state_kind) continue;
      bytes_ += payload.size();
      bytes_ -= older.payload.size();
      older.payload = std::move(payload);
      return QueueOutcome::kReplaced;
    }
  }
  if (bytes_ + payload.size() > limit_bytes_) return QueueOutcome::kFull;
  bytes_ += payload.size();
  waiting_.push_back(Waiting{std::move(payload), kind, state_kind});
  return QueueOutcome::kQueued;
}

std::string PeerQueue::takeBatch(std::size_t batch_bytes, KindTraffic& sent) {
  std::string batch;
  while (!waiting_.empty()) {
    const std::string& payload = waiting_.front().payload;
    if (!batch.empty() && batch.size() + payload.size() > batch_bytes) break;
    appendFrame(batch, payload);
    sent.count(waiting_.front().kind, payload.size());
    bytes_ -= payload.size();
    waiting_.pop_front();
  }
  return batch;
}

std::size_t PeerQueue::clear() {
  const std::size_t dropped = waiting_.size();
  waiting_.clear();
  bytes_ = 0;
  return dropped;
}

}  // namespace coursepond::runtime
