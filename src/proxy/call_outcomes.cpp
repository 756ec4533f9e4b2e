#include "proxy/call_outcomes.h"

namespace coursepond::proxy {
namespace {

/// Weight of one run in the moving averages, which cover about the last twenty runs.
constexpr double kRunWeight = 0.05;
constexpr double kMostRuns = 0.5;

void addTo(double& share, bool is_so) { share += kRunWeight * ((is_so ? 1.0 : 0.0) - share); }

}  // namespace

void CallOutcomes::onRunEnded(Duration target, bool has_failed_call, bool has_failed) {
  if (has_failed_call) addTo(lost_share_, has_failed);
  if (!failed_share_.contains(target) && failed_share_.size() >= kMaxTargets) return;
  addTo(failed_share_[target], has_failed_call && has_failed);
}

bool CallOutcomes::mostRunsFail(Duration target) const {
  const auto found = failed_share_.find(target);
  return found != failed_share_.end() && found->second > kMostRuns;
}

bool CallOutcomes::failedCallLosesRun() const { return lost_share_ > kMostRuns; }

}  // namespace coursepond::proxy
