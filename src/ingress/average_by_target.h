#pragma once

#include <cstddef>
#include <map>

#include "core/time.h"

namespace coursepond::ingress {

/// A moving average for each target latency: requests of one target are mostly of one kind.
class AverageByTarget {
 public:
  /// `weight`: the part of the new average that this sample makes up. A target's first is taken
  /// whole.
  void add(Duration target, double sample, double weight) {
    const bool is_new = !averages_.contains(target);
    if (is_new && averages_.size() >= kMostTargets) return;
    double& average = averages_.try_emplace(target, sample).first->second;
    average += weight * (sample - average);
  }
  double valueOr(Duration target, double fallback) const {
    const auto found = averages_.find(target);
    return found == averages_.end() ? fallback : found->second;
  }

 private:
  /// Targets come from the configuration's routes; more are not told apart.
  static constexpr std::size_t kMostTargets = 64;

  std::map<Duration, double> averages_;
};

}  // namespace coursepond::ingress
