#pragma once

#include <cstddef>
#include <map>

#include "core/time.h"

namespace coursepond::ingress {

/// Exponential moving averages, one for each target latency. Requests with the same target latency
/// are mostly of the same kind.
class AverageByTarget {
 public:
  /// `weight`: share of this sample in the new average. The first sample of a target becomes its
  /// average.
  void add(Duration target, double sample, double weight) {
    const bool is_new = !averages_.contains(target);
    if (is_new && averages_.size() >= kMaxTargets) return;
    double& average = averages_.try_emplace(target, sample).first->second;
    average += weight * (sample - average);
  }
  double valueOr(Duration target, double fallback) const {
    const auto found = averages_.find(target);
    return found == averages_.end() ? fallback : found->second;
  }

 private:
  /// Upper bound for the number of targets, which come from the configured routes. Samples of
  /// further targets are dropped.
  static constexpr std::size_t kMaxTargets = 64;

  std::map<Duration, double> averages_;
};

}  // namespace coursepond::ingress
