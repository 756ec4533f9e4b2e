#pragma once

#include <algorithm>

#include "core/time.h"

namespace coursepond::runtime {

/// Token bucket: allows `rate` events per second on average, and bursts of up to `rate` events.
class TokenBucket {
 public:
  explicit TokenBucket(double rate) : rate_(rate), tokens_(rate) {}

  /// Takes one token. Returns false if there is none.
  bool take(TimePoint now) {
    refill(now);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  void refill(TimePoint now) {
    if (started_ && now > refilled_) {
      const double seconds = std::chrono::duration<double>(now - refilled_).count();
      tokens_ = std::min(rate_, tokens_ + seconds * rate_);
    }
    started_ = true;
    refilled_ = now;
  }

  double rate_;
  double tokens_;
  bool started_ = false;
  TimePoint refilled_{};
};

}  // namespace coursepond::runtime
