#pragma once

/// What failed calls meant for the recent runs of this node's server that made calls.

#include <cstddef>
#include <map>

#include "core/time.h"

namespace coursepond::proxy {

class CallOutcomes {
 public:
  /// Called when the server has answered a run that made calls. `target`: target latency of the
  /// run, by which kinds of requests are told apart. `has_failed_call`: one of the calls failed for
  /// good. `has_failed`: the run failed.
  void onRunEnded(Duration target, bool has_failed_call, bool has_failed);

  /// Returns whether a run mostly fails when one of its calls does. Servers that can do without the
  /// answer to a call succeed nevertheless.
  bool failedCallLosesRun() const;

  /// Returns whether more than half of the recent runs with this target latency that made calls
  /// failed because of them.
  bool mostRunsFail(Duration target) const;

 private:
  /// Upper bound for the number of targets, which come from the configured routes.
  static constexpr std::size_t kMaxTargets = 64;

  double lost_share_ = 1;  ///< Of the runs with a failed call, the fraction that failed.
  /// Of the runs that made calls, the fraction that failed because of them, by target latency.
  std::map<Duration, double> failed_share_;
};

}  // namespace coursepond::proxy
