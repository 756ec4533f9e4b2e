#pragma once

/// What one node may add to the arrivals at a service. All nodes together keep within a ratio of
/// the first attempts plus a burst, because each keeps within the ratio of its own first attempts
/// plus its part of the burst. A node that has just started has earned nothing yet: with a full
/// part at each start, restarts of all nodes would add a burst each time.

#include <algorithm>
#include <cstddef>

namespace coursepond::proxy {

class RetryAllowance {
 public:
  void setRatio(double ratio) { ratio_ = ratio; }
  /// The burst of all nodes, divided by their number.
  void setBurst(double burst, std::size_t nodes) {
    part_ = burst / static_cast<double>(std::max<std::size_t>(nodes, 1));
    tokens_ = std::min(tokens_, part_);
  }

  /// A request is sent for the first time; `repeat_share` of it counts as a repeat and earns
  /// nothing.
  void onFirstAttempt(double repeat_share) { giveBack(ratio_ * (1 - repeat_share)); }

  /// Takes `cost` repeats, if `kept_share` of this node's part is left after them; at most, the
  /// whole part is asked for. Where the part is smaller than the cost, as with many nodes, what is
  /// there is staked on a chance of as much, so that all nodes together still make the repeats that
  /// their parts add up to. `draw`: evenly from 0 to 1.
  bool take(double cost, double kept_share, double draw) {
    if (cost <= 0) return true;
    if (cost > part_) return stake(cost, tokens_ - kept_share * part_, draw);
    if (tokens_ < std::min(cost + kept_share * part_, part_)) return false;
    tokens_ -= cost;
    return true;
  }

  /// May leave a debt, which first attempts pay off.
  void charge(double cost) { tokens_ -= cost; }
  void giveBack(double cost) { tokens_ = std::min(tokens_ + cost, part_); }

  /// Repeats that may be made now; below zero: a debt.
  double left() const { return tokens_; }

 private:
  bool stake(double cost, double staked, double draw) {
    if (staked <= 0) return false;
    tokens_ -= staked;
    return draw * cost < staked;
  }

  double ratio_ = 0;
  double part_ = 0;
  double tokens_ = 0;
};

}  // namespace coursepond::proxy
