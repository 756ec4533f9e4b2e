#include "core/time.h"

#include <time.h>

namespace coursepond {

BootClock::time_point BootClock::now() noexcept {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  const auto since_boot =
      std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
  return time_point(std::chrono::duration_cast<duration>(since_boot));
}

}  // namespace coursepond
