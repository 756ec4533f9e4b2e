/// Loaded into the nodes of a soak: a steady clock that can be held, as that of a suspended machine
/// is. CLOCK_BOOTTIME and the time of day go on, as they do there. What the node's timers wait for
/// in the kernel goes on too: they go off in time, and the node's own clock decides what is due.

#include "../soak/suspend_clock.h"

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>

namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;

std::atomic<std::int64_t> held_ns{0};

void hold(int, siginfo_t* information, void*) {
  held_ns += information->si_value.sival_int * kNanosecondsPerMillisecond;
}

__attribute__((constructor)) void listen() {
  struct sigaction action {};
  action.sa_sigaction = hold;
  action.sa_flags = SA_SIGINFO | SA_RESTART;
  sigaction(coursepond::soak::clockSignal(), &action, nullptr);
}

}  // namespace

extern "C" int clock_gettime(clockid_t clock, struct timespec* time) noexcept {
  const long status = syscall(SYS_clock_gettime, clock, time);
  if (status != 0 || clock != CLOCK_MONOTONIC) return static_cast<int>(status);
  const std::int64_t told = time->tv_sec * kNanosecondsPerSecond + time->tv_nsec - held_ns;
  time->tv_sec = told / kNanosecondsPerSecond;
  time->tv_nsec = told % kNanosecondsPerSecond;
  return 0;
}
