#pragma once

#include "core/time.h"

namespace coursepond::control {

/// Detects that the process was suspended, even for less time than membership reports as a pause,
/// and tracks whether a message from a peer has arrived since. A source reader does not read after
/// a suspension until then.
class WakeGuard {
 public:
  /// Interval at which `onTick` must be called.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(250);
  /// If a tick is late by more than this, the process was suspended.
  static constexpr Duration kMaxTickDelay = std::chrono::milliseconds(200);
  /// Messages that were received during a suspension are processed within this time of the wake-up.
  /// They do not prove that a peer can be reached now.
  static constexpr Duration kBacklogDrainTime = std::chrono::milliseconds(100);

  explicit WakeGuard(TimePoint now) : last_tick_(now) {}

  void onTick(TimePoint now) {
    check(now);
    last_tick_ = now;
  }

  void onPeerMessage(TimePoint now) {
    check(now);
    heard_peer_ = heard_peer_ || now - woke_at_ > kBacklogDrainTime;
  }

  /// Whether the process was not suspended, or has received a message from a peer since it woke up.
  bool heardPeerSinceWake(TimePoint now) const { return heard_peer_ && !isOverdue(now); }

 private:
  bool isOverdue(TimePoint now) const { return now - last_tick_ > kTickInterval + kMaxTickDelay; }

  void check(TimePoint now) {
    if (isOverdue(now)) {
      woke_at_ = now;
      last_tick_ = now;
      heard_peer_ = false;
    }
  }

  TimePoint last_tick_;
  TimePoint woke_at_{};
  bool heard_peer_ = true;
};

}  // namespace coursepond::control
