#include "egress/stop_schedule.h"

#include <doctest/doctest.h>

#include "egress/longest_latency.h"

namespace coursepond::egress {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(seconds(100));
constexpr Duration kReserve = milliseconds(150);

/// A stop of five seconds, of which callers know after two.
StopSchedule makeSchedule() { return {kStart + seconds(2), kStart + seconds(5)}; }

/// Whether a request that arrives `after` the start of the stop, with `deadline` left, may run.
bool mayRun(Duration after, Duration deadline, std::optional<Duration> longest) {
  const TimePoint now = kStart + after;
  return makeSchedule().mayRun(now, now, now + deadline, longest, kReserve);
}

}  // namespace

TEST_CASE("without a planned stop every request may run") {
  CHECK(StopSchedule().mayRun(kStart, kStart, kStart + seconds(60), std::nullopt, kReserve));
}

TEST_CASE("requests of callers that cannot know of the stop may run") {
  CHECK(mayRun(milliseconds(1900), seconds(60), std::nullopt));
  CHECK(mayRun(milliseconds(1900), seconds(60), seconds(10)));
}

TEST_CASE("later requests may run only if they can be expected to end before the stop does") {
  CHECK(mayRun(milliseconds(2500), milliseconds(2300), std::nullopt));
  CHECK_FALSE(mayRun(milliseconds(2500), milliseconds(2400), std::nullopt));
  CHECK(mayRun(milliseconds(2500), seconds(60), milliseconds(780)));
  CHECK_FALSE(mayRun(milliseconds(2500), seconds(60), milliseconds(790)));
}

TEST_CASE("a request that waited is judged by the time that is left when it is sent") {
  const TimePoint arrived = kStart + milliseconds(2500);
  const TimePoint deadline = arrived + seconds(60);
  const StopSchedule schedule = makeSchedule();
  const Duration longest = milliseconds(500);
  CHECK(schedule.mayRun(arrived, arrived, deadline, longest, kReserve));
  CHECK_FALSE(schedule.mayRun(arrived, arrived + seconds(1), deadline, longest, kReserve));
  // A request from before the notice is not refused for having waited.
  const TimePoint early = kStart + seconds(1);
  CHECK(schedule.mayRun(early, early + seconds(3), deadline, longest, kReserve));
}

TEST_CASE("nothing may run in the reserve before the end") {
  CHECK_FALSE(mayRun(milliseconds(4850), milliseconds(10), milliseconds(1)));
}

TEST_CASE("the longest latency is that of recent requests") {
  LongestLatency latency;
  CHECK_FALSE(latency.value(kStart));
  latency.add(milliseconds(900), kStart);
  latency.add(milliseconds(300), kStart + seconds(1));
  CHECK(latency.value(kStart + seconds(2)) == milliseconds(900));
  latency.add(milliseconds(200), kStart + seconds(12));
  CHECK(latency.value(kStart + seconds(12)) == milliseconds(900));
  latency.add(milliseconds(100), kStart + seconds(24));
  CHECK(latency.value(kStart + seconds(24)) == milliseconds(200));
  CHECK_FALSE(latency.value(kStart + seconds(60)));
}

}  // namespace coursepond::egress
