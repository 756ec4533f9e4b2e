#pragma once

#include <cstdint>

#include "core/time.h"
#include "proxy/settings.h"

namespace coursepond::proxy {

/// Limits the retries for a service to a percentage of its first attempts (token bucket), so that
/// retries increase the load of a failing service by at most that much, at every hop of a deep
/// call.
class RetryBudget {
 public:
  RetryBudget(std::uint32_t percent, const RetrySettings& settings);

  void setPercent(std::uint32_t percent) { percent_ = percent; }

  void onFirstAttempt();
  /// Takes one token. Returns false if there is none or the percentage is zero.
  bool take(TimePoint now);

 private:
  void refillFloor(TimePoint now);

  double percent_;
  RetrySettings settings_;
  double tokens_;
  TimePoint last_refill_;
};

}  // namespace coursepond::proxy
