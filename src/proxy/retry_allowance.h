#pragma once

/// What one node may add to the arrivals at a service. All nodes together keep within a ratio of
/// the first attempts plus a burst, because each keeps within the ratio of its own first attempts
/// plus its part of the burst.

#include <algorithm>
#include <cstddef>

namespace coursepond::proxy {

class RetryAllowance {
 public:
  explicit RetryAllowance(double ratio) : ratio_(ratio) {}

  /// The burst of all nodes, divided by their number.
  void setBurst(double burst, std::size_t nodes) {
    const double part = burst / static_cast<double>(std::max<std::size_t>(nodes, 1));
    if (is_new_) tokens_ = part;
    is_new_ = false;
    burst_ = part;
    tokens_ = std::min(tokens_, burst_);
  }

  void onFirstAttempt() { tokens_ = std::min(tokens_ + ratio_, burst_); }

  /// Takes one repeat; false when none is left.
  bool take() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

  /// Repeats that may be made now; a part of one is saved up.
  double left() const { return tokens_; }

 private:
  double ratio_;
  double burst_ = 0;
  double tokens_ = 0;
  bool is_new_ = true;
};

}  // namespace coursepond::proxy
