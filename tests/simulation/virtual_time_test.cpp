#include "virtual_time.h"

#include <doctest/doctest.h>

#include <vector>

#include "process_environment.h"

namespace coursepond::simulation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_CASE("callbacks run in time order and the clock jumps from one to the next") {
  VirtualTime time;
  std::vector<Duration> fired;
  for (const int delay : {300, 100, 200}) {
    time.schedule(milliseconds(delay), [&] { fired.push_back(time.elapsed()); });
  }
  const TimerId cancelled = time.schedule(milliseconds(150), [&] { fired.clear(); });
  time.cancel(cancelled);
  time.runUntil(seconds(3600));
  CHECK(fired == std::vector<Duration>{milliseconds(100), milliseconds(200), milliseconds(300)});
  CHECK(time.elapsed() == seconds(3600));
}

TEST_CASE("a resumed process runs overdue events, except those cancelled in the meantime") {
  VirtualTime time;
  ProcessEnvironment process(time, 1, true);
  std::vector<int> events;
  const TimerId second = process.schedule(milliseconds(20), [&] { events.push_back(2); });
  process.schedule(milliseconds(10), [&] {
    events.push_back(1);
    process.cancel(second);
  });
  process.pause();
  time.runUntil(seconds(5));
  CHECK(events.empty());
  process.resume();
  time.runUntil(seconds(6));
  CHECK(events == std::vector<int>{1});
}

TEST_CASE("timers and events of an ended process do not run") {
  VirtualTime time;
  bool reached = false;
  auto process = std::make_unique<ProcessEnvironment>(time, 1, true);
  process->schedule(milliseconds(10), [&] { reached = true; });
  const ProcessEnvironment::Mailbox mailbox = process->mailbox();
  process.reset();
  mailbox.deliver([&] { reached = true; });
  time.runUntil(seconds(1));
  CHECK_FALSE(reached);
}

TEST_CASE("after a resume, a clock that hides pauses does not include the paused time") {
  VirtualTime time;
  ProcessEnvironment process(time, 1, false);
  process.pause();
  time.runUntil(seconds(5));
  const TimePoint before = process.now();
  process.resume();
  CHECK(time.now() - process.now() == seconds(5));
  CHECK(before - process.now() == seconds(5));
}

}  // namespace coursepond::simulation
