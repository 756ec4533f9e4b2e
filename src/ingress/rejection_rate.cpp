#include "ingress/rejection_rate.h"

#include <algorithm>

#include "core/chance.h"

namespace coursepond::ingress {
namespace {

constexpr double kNoRejections = 0;

}  // namespace

void RejectionRate::onAnswer(const RejectionRateSettings& settings, bool is_rejection,
                             TimePoint now) {
  const double sample = is_rejection ? 1 : 0;
  average_.decay(now, kNoRejections, settings.half_life);
  average_.add(sample, settings.sample_weight, now);
}

double RejectionRate::value(const RejectionRateSettings& settings, TimePoint now) const {
  return average_.value(now, kNoRejections, settings.half_life);
}

bool RejectionRate::turnsAway(const RejectionRateSettings& settings, TimePoint now,
                              Environment& environment) const {
  const double excess = value(settings, now) - settings.tolerated_rate;
  if (excess <= 0) return false;
  const double part = std::min(excess / (settings.full_rate - settings.tolerated_rate), 1.0);
  return randomBool(environment, part * settings.max_turned_away);
}

}  // namespace coursepond::ingress
