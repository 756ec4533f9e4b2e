#pragma once

/// Time as every decision class sees it. Nothing outside src/runtime reads a real clock: `now`
/// comes from an Environment, so that the simulator can put a virtual clock in its place.

#include <chrono>
#include <cstdint>

namespace coursepond {

/// A span of time, in microseconds.
using Duration = std::chrono::microseconds;

/// The monotonic clock of one process. It counts the time in which the machine was suspended, as
/// the clocks of all other machines do: what was learned before is as old here as it is there. The
/// standard library's steady clock stands still meanwhile.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

/// A point on the monotonic clock of one process. Points of two processes cannot be compared.
using TimePoint = BootClock::time_point;

/// Whole milliseconds in `duration`, rounded down.
constexpr std::int64_t toMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace coursepond
