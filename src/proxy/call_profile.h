#pragma once

/// Which services a server calls while it runs requests, as observed by its node.

#include <cstddef>
#include <map>

#include "core/ids.h"

namespace coursepond::proxy {

class CallProfile {
 public:
  /// Called when a request starts to run on the server. For `repeat_share` see HopClass.
  void onRunStarted(double repeat_share);
  void onRunEnded(double repeat_share);
  /// Called when the server calls `service`.
  void onCall(const ServiceName& service) { calls_[service] += 1; }
  /// Discards all calls, because requests were wrongly counted as calls.
  void resetCalls() { calls_.clear(); }

  /// Returns the fraction of the current runs that are repeats, from 0 to 1.
  double repeatShare() const;
  /// Calls that one run makes, by service; an average of the last runs.
  std::map<ServiceName, double> callsPerRun() const;

 private:
  std::size_t running_ = 0;
  double repeats_running_ = 0;
  // Both decay by the same factor with each run, so that their quotient is an average.
  double runs_ = 0;
  std::map<ServiceName, double> calls_;
};

}  // namespace coursepond::proxy
