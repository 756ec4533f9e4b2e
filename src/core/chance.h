#pragma once

/// Random decisions.

#include "core/environment.h"

namespace coursepond {

/// Returns true with the given probability. Draws one random number from the environment.
inline bool randomBool(Environment& environment, double probability) {
  constexpr std::uint64_t kSteps = 1U << 20U;
  const auto step = static_cast<double>(environment.random(kSteps));
  return step < probability * static_cast<double>(kSteps);
}

}  // namespace coursepond
