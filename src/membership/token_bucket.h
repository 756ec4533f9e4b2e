#pragma once

#include <algorithm>

#include "core/time.h"

namespace coursepond::membership {

/// Token bucket that allows `rate` events per second on average and a burst of up to `burst`
/// events.
class TokenBucket {
 public:
  TokenBucket(double rate, double burst, TimePoint now)
      : rate_(rate), burst_(burst), tokens_(burst), updated_(now) {}

  /// Takes one token and returns true, or returns false if none is available.
  bool take(TimePoint now) {
    refill(now);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  /// Returns the time until a token is available for each of `waiting` requesters.
  Duration delayFor(double waiting) const {
    const double seconds = std::max(0.0, waiting - tokens_) / rate_;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  }

 private:
  void refill(TimePoint now) {
    const std::chrono::duration<double> elapsed = now - updated_;
    tokens_ = std::min(burst_, tokens_ + elapsed.count() * rate_);
    updated_ = now;
  }

  double rate_;
  double burst_;
  double tokens_;
  TimePoint updated_;
};

}  // namespace coursepond::membership
