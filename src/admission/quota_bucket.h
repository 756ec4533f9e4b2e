#pragma once

#include <algorithm>

#include "core/time_arithmetic.h"

namespace coursepond::admission {

/// Tokens that come at a rate and are kept up to a depth. Both may change at any time.
class QuotaBucket {
 public:
  /// Starts with so many tokens.
  QuotaBucket(double tokens, TimePoint now) : tokens_(tokens), filled_at_(now) {}

  /// Adds what came since the last call. `rate`: tokens a second.
  void fill(double rate, double depth, TimePoint now) {
    tokens_ = std::min(depth, tokens_ + rate * toSeconds(now - filled_at_));
    filled_at_ = now;
  }
  /// As of the last call of fill().
  double tokens() const { return tokens_; }
  void take(double tokens) { tokens_ -= tokens; }
  void giveBack(double tokens) { tokens_ += tokens; }

 private:
  double tokens_;
  TimePoint filled_at_;
};

}  // namespace coursepond::admission
