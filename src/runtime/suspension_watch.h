#pragma once

#include <chrono>

#include "core/time.h"

namespace coursepond::runtime {

/// Detects that the machine was suspended. The system then adds the time of the suspension to the
/// BootClock, possibly with an error of up to a second, so that times from before cannot be
/// compared with later ones at the precision of the clock.
class SuspensionWatch {
 public:
  /// Returns whether the machine was suspended since the last call.
  bool check() {
    const Duration suspended = suspendedTime();
    const bool has_changed = std::chrono::abs(suspended - last_) > kMaxReadingGap;
    last_ = suspended;
    return has_changed;
  }

 private:
  /// The two clocks are not read at the same moment.
  static constexpr Duration kMaxReadingGap = std::chrono::milliseconds(10);

  /// Returns the time that the steady clock, which stops during a suspension, is behind.
  static Duration suspendedTime() {
    const auto steady = std::chrono::steady_clock::now().time_since_epoch();
    return BootClock::now().time_since_epoch() - std::chrono::duration_cast<Duration>(steady);
  }

  Duration last_ = suspendedTime();
};

}  // namespace coursepond::runtime
