#pragma once

/// Arithmetic on durations that several modules share.

#include <cmath>

#include "core/time.h"

namespace coursepond {

inline double toSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Returns a duration of `seconds`, rounded towards zero.
inline Duration durationFromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Returns the fraction `share` of `whole`, rounded towards zero.
inline Duration fractionOf(Duration whole, double share) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(whole.count()) * share));
}

/// Returns the exponential decay factor after `age`: 1 at age zero, halved with every `half_life`.
inline double decayFactor(Duration age, Duration half_life) {
  return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(half_life.count()));
}

}  // namespace coursepond
