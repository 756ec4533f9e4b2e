#include "control/wake_guard.h"

#include <doctest/doctest.h>

namespace coursepond::control {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  /// Simulates a process that runs without interruption for `length`.
  void run(Duration length) {
    for (const TimePoint end = now + length; now < end;) {
      now += WakeGuard::kTickInterval;
      guard.onTick(now);
    }
  }

  TimePoint now{1000s};
  WakeGuard guard{now};
};

TEST_CASE_FIXTURE(Fixture, "a process that was not suspended needs no message from a peer") {
  run(60s);
  CHECK(guard.heardPeerSinceWake(now));
  CHECK(guard.heardPeerSinceWake(now + WakeGuard::kTickInterval));
}

TEST_CASE_FIXTURE(Fixture, "a suspension is detected before and after the late tick") {
  now += 600ms;
  CHECK_FALSE(guard.heardPeerSinceWake(now));
  guard.onTick(now);
  CHECK_FALSE(guard.heardPeerSinceWake(now));
  run(10s);
  CHECK_FALSE(guard.heardPeerSinceWake(now));
}

TEST_CASE_FIXTURE(Fixture,
                  "only a message that did not arrive during the suspension counts as heard") {
  now += 600ms;
  guard.onPeerMessage(now);
  guard.onPeerMessage(now + 50ms);
  CHECK_FALSE(guard.heardPeerSinceWake(now + 50ms));
  guard.onTick(now + 60ms);
  guard.onPeerMessage(now + 150ms);
  CHECK(guard.heardPeerSinceWake(now + 150ms));
}

}  // namespace
}  // namespace coursepond::control
