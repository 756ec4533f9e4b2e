// How much later than usual requests arrive, measured without synchronized clocks.

#include "ingress/delivery_delay.h"

#include <doctest/doctest.h>

namespace coursepond::ingress {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kClock = 7;

TimePoint at(Duration since_start) { return TimePoint(seconds(1000) + since_start); }

/// Returns the delay of a request of kClock that was sent and received at these times, each by its
/// own clock.
Duration delayOf(DeliveryDelay& delays, Duration sent, Duration received) {
  return delays.onArrival({kClock, sent}, at(received));
}

}  // namespace

TEST_CASE("a request that takes as long as others of its sender is not late") {
  DeliveryDelay delays;
  CHECK(delayOf(delays, seconds(5), milliseconds(2)) == Duration(0));
  CHECK(delayOf(delays, seconds(6), milliseconds(1002)) == Duration(0));
}

TEST_CASE("the time that a request waits on its way is its delay") {
  DeliveryDelay delays;
  delayOf(delays, seconds(5), milliseconds(2));
  CHECK(delayOf(delays, seconds(6), milliseconds(2292)) == milliseconds(1290));
  CHECK(delayOf(delays, seconds(8), milliseconds(3002)) == Duration(0));
}

TEST_CASE("a request that was held up by a failure of ten seconds is late") {
  DeliveryDelay delays;
  for (int second = 0; second < 30; ++second) {
    CHECK(delayOf(delays, seconds(second), seconds(second)) == Duration(0));
  }
  CHECK(delayOf(delays, seconds(30), seconds(40)) == seconds(10));
}

TEST_CASE("times from before a reset are not compared with later ones") {
  DeliveryDelay delays;
  delayOf(delays, seconds(5), milliseconds(2));
  delays.reset();
  CHECK(delayOf(delays, seconds(6), milliseconds(1502)) == Duration(0));
}

TEST_CASE("the first request of a sender that was restarted is not late") {
  DeliveryDelay delays;
  delayOf(delays, seconds(500), milliseconds(2));
  CHECK(delays.onArrival({kClock + 1, seconds(1)}, at(seconds(2))) == Duration(0));
}

TEST_CASE("a clock that drifts does not make requests late") {
  DeliveryDelay delays;
  Duration longest{};
  constexpr int kSeconds = 600;
  for (int second = 0; second < kSeconds; ++second) {
    // The sender's clock loses 20 microseconds in each second.
    const Duration sent = seconds(second) - std::chrono::microseconds(20 * second);
    longest = std::max(longest, delayOf(delays, sent, seconds(second)));
  }
  CHECK(longest < milliseconds(2));
}

TEST_CASE("a clock that has drifted while its sender was silent does not make requests late") {
  DeliveryDelay delays;
  delayOf(delays, seconds(5), Duration(0));
  CHECK(delayOf(delays, seconds(5) + std::chrono::hours(24) - seconds(1), std::chrono::hours(24)) ==
        Duration(0));
}

TEST_CASE("the number of senders that are remembered is bounded") {
  DeliveryDelay delays;
  for (std::uint32_t clock = 0; clock < 10'000; ++clock) {
    delays.onArrival({clock, seconds(1)}, at(Duration(0)));
  }
  CHECK(delays.onArrival({9'999, seconds(1)}, at(seconds(2))) == Duration(0));
  // Senders that have been silent for long make room.
  delays.onArrival({20'000, seconds(1)}, at(seconds(70)));
  CHECK(delays.onArrival({20'000, seconds(1)}, at(seconds(71))) == seconds(1));
}

}  // namespace coursepond::ingress
