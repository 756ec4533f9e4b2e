#include "egress/admission_throttle.h"

#include <algorithm>

#include "core/chance.h"
#include "core/time_arithmetic.h"

namespace coursepond::egress {

bool AdmissionThrottle::passes(const ThrottleSettings& settings, TimePoint now,
                               Environment& environment) {
  decay(settings, now);
  const double excess = asked_ - settings.pass_ratio * accepted_ - settings.tolerated_refusals;
  if (excess <= 0) return true;
  const double refused_part = excess / asked_;
  if (!randomBool(environment, refused_part)) return true;
  asked_ += 1;
  return false;
}

void AdmissionThrottle::onOutcome(const ThrottleSettings& settings, TimePoint now,
                                  bool is_accepted) {
  decay(settings, now);
  asked_ += 1;
  if (is_accepted) accepted_ += 1;
}

void AdmissionThrottle::decay(const ThrottleSettings& settings, TimePoint now) {
  const double kept = decayFactor(std::max(now - counted_at_, Duration(0)), settings.half_life);
  asked_ *= kept;
  accepted_ *= kept;
  counted_at_ = now;
}

}  // namespace coursepond::egress
