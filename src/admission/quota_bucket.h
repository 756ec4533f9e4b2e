#pragma once

#include <algorithm>

#include "core/time_arithmetic.h"

namespace coursepond::admission {

/// A token bucket. Its rate and its depth may change at any time.
class QuotaBucket {
 public:
  /// Starts with `tokens` tokens.
  QuotaBucket(double tokens, TimePoint now) : tokens_(tokens), filled_at_(now) {}

  /// Adds the tokens since the last call, up to `depth`. `rate` is in tokens per second.
  void fill(double rate, double depth, TimePoint now) {
    tokens_ = std::min(depth, tokens_ + rate * toSeconds(now - filled_at_));
    filled_at_ = now;
  }
  /// Returns the number of tokens as of the last call of fill().
  double tokens() const { return tokens_; }
  void take(double tokens) { tokens_ -= tokens; }
  void giveBack(double tokens) { tokens_ += tokens; }

 private:
  double tokens_;
  TimePoint filled_at_;
};

}  // namespace coursepond::admission
