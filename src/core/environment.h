#pragma once

/// Interfaces of a decision class to the outside: time, timers, random numbers and sending
/// messages. The Environment is implemented by runtime::AsioEnvironment in the real process and by
/// the simulator's virtual clock. Decision classes run on one thread and are never re-entered from
/// inside a call to the Environment.

#include <cstdint>
#include <functional>

#include "core/ids.h"
#include "core/time.h"

namespace coursepond {

/// Identifies a scheduled callback of one Environment. Zero is never used.
using TimerId = std::uint64_t;

class Environment {
 public:
  virtual ~Environment() = default;

  /// Returns the monotonic time of this process.
  virtual TimePoint now() const = 0;

  /// Runs `callback` once, no earlier than `delay` from now; later if the process was paused.
  virtual TimerId schedule(Duration delay, std::function<void()> callback) = 0;

  /// Cancels a scheduled callback. Ids that are unknown or have fired are ignored.
  virtual void cancel(TimerId timer) = 0;

  /// Returns a uniformly distributed number in [0, bound). `bound` must be above zero.
  virtual std::uint64_t random(std::uint64_t bound) = 0;
};

/// Sends messages of one protocol to other nodes. Never blocks and never reports errors. A message
/// may be lost, delayed, duplicated or reordered, and every protocol must tolerate that.
template <typename Message>
class MessageSender {
 public:
  virtual ~MessageSender() = default;
  virtual void send(const NodeId& to, const Message& message) = 0;
};

}  // namespace coursepond
