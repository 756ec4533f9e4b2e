#pragma once

/// What the runs of one server call, as its node sees it.

#include <cstddef>
#include <map>

#include "core/ids.h"

namespace coursepond::proxy {

class CallProfile {
 public:
  /// A request begins to run at the server; see HopClass::repeat_share.
  void onRunStarted(double repeat_share);
  void onRunEnded(double repeat_share);
  /// The server calls `service`.
  void onCall(const ServiceName& service) { calls_[service] += 1; }
  /// What was taken for calls was not.
  void forgetCalls() { calls_.clear(); }

  /// The part of the present runs that are repeats, from 0 to 1.
  double repeatShare() const;
  /// Calls that one run makes, by service; an average of the last runs.
  std::map<ServiceName, double> callsPerRun() const;

 private:
  std::size_t running_ = 0;
  double repeats_running_ = 0;
  // Both fade by the same part with each run, so that their quotient is an average.
  double runs_ = 0;
  std::map<ServiceName, double> calls_;
};

}  // namespace coursepond::proxy
