#pragma once

/// Arithmetic on spans of time that more than one folder needs.

#include <cmath>

#include "core/time.h"

namespace coursepond {

inline double toSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Rounded towards zero.
inline Duration inSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// `share` of `whole`, rounded towards zero.
inline Duration part(Duration whole, double share) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(whole.count()) * share));
}

/// What is left, of 1, after `age` of something that halves in each `half_life`.
inline double leftAfter(Duration age, Duration half_life) {
  return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(half_life.count()));
}

}  // namespace coursepond
