/// A library that is preloaded into the nodes of a soak. It replaces CLOCK_MONOTONIC by a clock
/// that can be set back, because the steady clock of a suspended machine stands still.
/// CLOCK_BOOTTIME and the time of day continue, as they do on such a machine. Kernel timers
/// continue too: they expire on time, and the clock of the node decides what is due.

#include "../soak/suspend_clock.h"

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>

namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;

/// Total time in nanoseconds that the steady clock has not counted.
std::atomic<std::int64_t> suspended_ns{0};

void addSuspension(int, siginfo_t* information, void*) {
  suspended_ns += information->si_value.sival_int * kNanosecondsPerMillisecond;
}

__attribute__((constructor)) void installHandler() {
  struct sigaction action {};
  action.sa_sigaction = addSuspension;
  action.sa_flags = SA_SIGINFO | SA_RESTART;
  sigaction(coursepond::soak::clockSignal(), &action, nullptr);
}

}  // namespace

extern "C" int clock_gettime(clockid_t clock, struct timespec* time) noexcept {
  const long status = syscall(SYS_clock_gettime, clock, time);
  if (status != 0 || clock != CLOCK_MONOTONIC) return static_cast<int>(status);
  const std::int64_t reported_ns =
      time->tv_sec * kNanosecondsPerSecond + time->tv_nsec - suspended_ns;
  time->tv_sec = reported_ns / kNanosecondsPerSecond;
  time->tv_nsec = reported_ns % kNanosecondsPerSecond;
  return 0;
}
