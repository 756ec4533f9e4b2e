#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstdint>

#include "core/time.h"

namespace coursepond::simulation {

/// Random numbers that depend only on the seed. Uses Boost's distributions, because the results of
/// the standard library's distributions differ between implementations.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// Uniform in [0, bound); `bound` must be above zero.
  std::uint64_t below(std::uint64_t bound) {
    return boost::random::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
  }
  bool chance(double probability) {
    return boost::random::uniform_01<double>()(engine_) < probability;
  }
  /// Uniform in (0, 1], in steps of one millionth. Never zero, so its logarithm is finite.
  double positiveFraction() {
    constexpr std::uint64_t kSteps = 1'000'000;
    return static_cast<double>(below(kSteps) + 1) / kSteps;
  }
  /// Uniform in [shortest, longest].
  Duration between(Duration shortest, Duration longest) {
    const auto span = static_cast<std::uint64_t>((longest - shortest).count());
    return shortest + Duration(static_cast<Duration::rep>(below(span + 1)));
  }

 private:
  boost::random::mt19937_64 engine_;
};

}  // namespace coursepond::simulation
