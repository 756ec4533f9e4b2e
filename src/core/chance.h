#pragma once

/// Decisions by chance.

#include "core/environment.h"

namespace coursepond {

/// True with this probability; draws one number of the environment.
inline bool happens(Environment& environment, double probability) {
  constexpr std::uint64_t kSteps = 1U << 20U;
  const auto step = static_cast<double>(environment.random(kSteps));
  return step < probability * static_cast<double>(kSteps);
}

}  // namespace coursepond
