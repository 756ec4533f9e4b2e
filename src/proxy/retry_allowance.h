#pragma once

/// The retry budget of one node for one service. All nodes together stay within a ratio of the
/// first attempts plus a burst, because each node stays within the ratio of its own first attempts
/// plus its share of the burst. A node starts with an empty budget: if it started with its full
/// share, a restart of all nodes would add another burst.

#include <algorithm>
#include <cstddef>

namespace coursepond::proxy {

class RetryAllowance {
 public:
  void setRatio(double ratio) { ratio_ = ratio; }
  /// Sets the burst of all nodes, which is divided by their number.
  void setBurst(double burst, std::size_t nodes) {
    share_ = burst / static_cast<double>(std::max<std::size_t>(nodes, 1));
    tokens_ = std::min(tokens_, share_);
  }

  /// Called when a request is sent for the first time. The fraction `repeat_share` of it counts as
  /// a repeat and adds nothing to the budget.
  void onFirstAttempt(double repeat_share) { giveBack(ratio_ * (1 - repeat_share)); }

  /// Takes `cost` repeats if the fraction `reserved_share` of this node's share of the burst is
  /// left afterwards, or if the budget is full. If the share is smaller than the cost, as with many
  /// nodes, the available tokens are used up and the call succeeds with the probability `available
  /// / cost`. So all nodes together still make the repeats that their shares add up to. `draw` is a
  /// uniform random number from 0 to 1.
  bool take(double cost, double reserved_share, double draw) {
    if (cost <= 0) return true;
    if (cost > share_) return takeByChance(cost, tokens_ - reserved_share * share_, draw);
    if (tokens_ < std::min(cost + reserved_share * share_, share_)) return false;
    tokens_ -= cost;
    return true;
  }

  /// Takes `cost` repeats unconditionally. May leave a debt, which later first attempts repay.
  void charge(double cost) { tokens_ -= cost; }
  void giveBack(double cost) { tokens_ = std::min(tokens_ + cost, share_); }

  /// Returns the number of repeats that are left. Negative if there is a debt.
  double left() const { return tokens_; }

 private:
  bool takeByChance(double cost, double available, double draw) {
    if (available <= 0) return false;
    tokens_ -= available;
    return draw * cost < available;
  }

  double ratio_ = 0;
  double share_ = 0;
  double tokens_ = 0;
};

}  // namespace coursepond::proxy
