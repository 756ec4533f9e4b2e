#pragma once

#include <algorithm>
#include <cstdint>

#include "core/environment.h"
#include "core/time.h"

namespace coursepond::source {

/// Computes the delay between reads: a jittered interval while reads succeed, exponential backoff
/// with full jitter while they fail.
class RetryBackoff {
 public:
  RetryBackoff(Duration interval, Duration base, Duration limit)
      : interval_(interval), base_(base), limit_(limit) {}

  void onSuccess() { failures_ = 0; }
  void onFailure() { failures_ = std::min(failures_ + 1, kMaxDoublings); }
  bool failing() const { return failures_ > 0; }

  /// Returns the delay before the next read.
  Duration next(Environment& environment) const {
    if (!failing()) {
      return interval_ * 3 / 4 + randomBelow(environment, interval_ / 2);
    }
    const Duration bound = std::min(limit_, base_ * (std::int64_t{1} << (failures_ - 1)));
    return kMinDelay + randomBelow(environment, bound);
  }

 private:
  static constexpr std::uint32_t kMaxDoublings = 20;
  static constexpr Duration kMinDelay = std::chrono::milliseconds(50);

  static Duration randomBelow(Environment& environment, Duration bound) {
    const auto count = static_cast<std::uint64_t>(std::max<Duration::rep>(bound.count(), 1));
    return Duration(static_cast<Duration::rep>(environment.random(count)));
  }

  Duration interval_;
  Duration base_;
  Duration limit_;
  std::uint32_t failures_ = 0;
};

}  // namespace coursepond::source
