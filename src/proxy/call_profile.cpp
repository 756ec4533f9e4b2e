#include "proxy/call_profile.h"

#include <algorithm>

namespace coursepond::proxy {
namespace {

/// Weight that older runs keep with each new run. The average covers about the last 200 runs, which
/// are a few seconds of a busy server.
constexpr double kDecay = 1.0 - 1.0 / 200;

}  // namespace

void CallProfile::onRunStarted(double repeat_share) {
  ++running_;
  repeats_running_ += repeat_share;
  runs_ = runs_ * kDecay + 1;
  for (auto& [service, calls] : calls_) calls *= kDecay;
}

void CallProfile::onRunEnded(double repeat_share) {
  --running_;
  // Reset the sum when nothing runs, since sums of fractions accumulate rounding errors.
  repeats_running_ = running_ == 0 ? 0 : std::max(0.0, repeats_running_ - repeat_share);
}

double CallProfile::repeatShare() const {
  if (running_ == 0) return 0;
  return std::min(1.0, repeats_running_ / static_cast<double>(running_));
}

std::map<ServiceName, double> CallProfile::callsPerRun() const {
  std::map<ServiceName, double> per_run;
  if (runs_ <= 0) return per_run;
  for (const auto& [service, calls] : calls_) per_run[service] = calls / runs_;
  return per_run;
}

}  // namespace coursepond::proxy
