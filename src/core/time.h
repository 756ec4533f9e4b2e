#pragma once

/// Time types of the decision classes. Only src/runtime reads a real clock. Everywhere else the
/// time comes from an Environment, so that the simulator can use a virtual clock.

#include <chrono>
#include <cstdint>

namespace coursepond {

/// A duration in microseconds.
using Duration = std::chrono::microseconds;

/// The monotonic clock of one process. It also counts the time during which the machine is
/// suspended, so that information ages on this machine as fast as on all others. The standard
/// library's steady clock stops during a suspension.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

/// A point in time on the monotonic clock of one process. Not comparable between processes.
using TimePoint = BootClock::time_point;

/// Returns `duration` in whole milliseconds, rounded towards zero.
constexpr std::int64_t toMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace coursepond
