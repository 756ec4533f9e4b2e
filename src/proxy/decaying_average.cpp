#include "proxy/decaying_average.h"

#include "core/time_arithmetic.h"

namespace coursepond::proxy {

void DecayingAverage::decay(TimePoint now, double baseline, Duration half_life) {
  if (empty_) return;
  value_ = value(now, baseline, half_life);
  last_sample_ = now;
}

void DecayingAverage::add(double sample, double weight, TimePoint now) {
  value_ = empty_ ? sample : value_ + weight * (sample - value_);
  empty_ = false;
  last_sample_ = now;
}

double DecayingAverage::value(TimePoint now, double baseline, Duration half_life) const {
  if (empty_ || value_ == baseline) return baseline;
  return baseline + (value_ - baseline) * decayFactor(now - last_sample_, half_life);
}

}  // namespace coursepond::proxy
