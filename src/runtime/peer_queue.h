#pragma once

/// The queue of messages that wait for the connection to one peer.

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "control/peer_message.h"

namespace coursepond::runtime {

/// Number of messages and of their bytes on the wire, by protocol.
struct KindTraffic {
  static constexpr std::size_t kKinds = 4;

  void count(control::MessageKind kind, std::size_t payload_bytes);

  std::array<std::uint64_t, kKinds> messages{};
  std::array<std::uint64_t, kKinds> bytes{};  ///< Frame headers included.
};

/// Kinds of messages that only carry the sender's current state. A newer message makes a queued
/// older one of the same kind obsolete.
enum class StateMessageKind {
  kSummary,               ///< distribution::Summary
  kSummaryAnswer,         ///< distribution::Summary that is an answer
  kRecordPush,            ///< distribution::RecordPush, one kind per spread:
  kRecordPushZone,        ///
  kRecordPushFirstTree,   ///
  kRecordPushSecondTree,  ///
};

/// Returns the kind of a message that may replace an older one, or nothing for other messages.
std::optional<StateMessageKind> stateMessageKindOf(const control::PeerMessage& message);

/// What happened to a message that was added.
enum class QueueOutcome {
  kQueued,
  kReplaced,  ///< It replaced an older message of its kind.
  kFull,      ///< The queue was full and the message was dropped.
};

/// A queue bounded by bytes. Frames leave it in the order in which they were added.
class PeerQueue {
 public:
  explicit PeerQueue(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}

  QueueOutcome add(std::string payload, control::MessageKind kind,
                   std::optional<StateMessageKind> state_kind);

  /// Removes messages and returns their frames: about `batch_bytes` at most, but at least one
  /// frame. Empty when the queue is empty. The removed messages are counted in `sent`.
  std::string takeBatch(std::size_t batch_bytes, KindTraffic& sent);

  /// Drops all messages and returns their number.
  std::size_t clear();

  bool empty() const { return waiting_.empty(); }
  std::size_t bytes() const { return bytes_; }

 private:
  struct Waiting {
    std::string payload;
    control::MessageKind kind;
    std::optional<StateMessageKind> state_kind;
  };

  std::size_t limit_bytes_;
  std::size_t bytes_ = 0;  ///< Payload bytes in the queue.
  std::deque<Waiting> waiting_;
};

}  // namespace coursepond::runtime
