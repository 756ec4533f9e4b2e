#pragma once

#include "core/time.h"

namespace coursepond::proxy {

/// An exponential moving average that returns to a baseline while there are no new samples, so that
/// a server that was slow or failing is tried again.
class DecayingAverage {
 public:
  /// Starts empty. The first sample becomes the average.
  DecayingAverage() = default;
  /// Starts as if `value` had been observed.
  explicit DecayingAverage(double value) : value_(value), empty_(false) {}

  /// Applies the decay since the last sample. Call it before add().
  void decay(TimePoint now, double baseline, Duration half_life);

  /// Adds a sample. `weight` is its fraction of the new average, in (0, 1].
  void add(double sample, double weight, TimePoint now);

  /// Returns the current average. Its distance to `baseline` halves with each `half_life` without a
  /// sample.
  double value(TimePoint now, double baseline, Duration half_life) const;

  /// Returns the average as of the last sample, or `fallback` before the first one.
  double valueOr(double fallback) const { return empty_ ? fallback : value_; }

 private:
  double value_ = 0;
  bool empty_ = true;
  TimePoint last_sample_;
};

}  // namespace coursepond::proxy
