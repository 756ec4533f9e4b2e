#include "ingress/rejection_rate.h"

#include <algorithm>

#include "core/time_arithmetic.h"

namespace coursepond::ingress {
namespace {

/// Steps of a random number between 0 and 1.
constexpr std::uint64_t kRandomSteps = 1U << 20U;

}  // namespace

void RejectionRate::onAnswer(const RejectionRateSettings& settings, bool is_rejection,
                             TimePoint now) {
  const double sample = is_rejection ? 1 : 0;
  const double before = value(settings, now);
  rate_ = before + settings.sample_weight * (sample - before);
  at_ = now;
}

double RejectionRate::value(const RejectionRateSettings& settings, TimePoint now) const {
  return rate_ * leftAfter(std::max(now - at_, Duration(0)), settings.half_life);
}

bool RejectionRate::turnsAway(const RejectionRateSettings& settings, TimePoint now,
                              Environment& environment) const {
  const double excess = value(settings, now) - settings.tolerated;
  if (excess <= 0) return false;
  const double part = std::min(excess / (settings.full - settings.tolerated), 1.0);
  const auto step = static_cast<double>(environment.random(kRandomSteps));
  return step < part * settings.most_turned_away * static_cast<double>(kRandomSteps);
}

}  // namespace coursepond::ingress
