#pragma once

/// Average sizes of the answers of each route, from the answers that this egress forwarded.

#include <cstddef>
#include <cstdint>
#include <map>

#include "core/ids.h"

namespace coursepond::egress {

class AnswerSizes {
 public:
  /// Called when an answer with a body of `bytes` is forwarded. Zero: the size is not known.
  void onAnswer(const RouteName& route, std::uint64_t bytes) {
    if (bytes == 0) return;
    const bool is_new = !averages_.contains(route);
    if (is_new && averages_.size() >= kMaxRoutes) return;
    const auto sample = static_cast<double>(bytes);
    double& average = averages_.try_emplace(route, sample).first->second;
    average += kSampleWeight * (sample - average);
  }
  /// Returns the average size; zero if none is known.
  double averageOf(const RouteName& route) const {
    const auto found = averages_.find(route);
    return found == averages_.end() ? 0 : found->second;
  }

 private:
  /// The same weight as for the averages of an ingress. One answer of a few hundred kilobytes does
  /// not make a route with small answers large.
  static constexpr double kSampleWeight = 0.05;
  /// Answers of further routes count as small.
  static constexpr std::size_t kMaxRoutes = 1024;

  std::map<RouteName, double> averages_;
};

}  // namespace coursepond::egress
