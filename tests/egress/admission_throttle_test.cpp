#include "egress/admission_throttle.h"

#include <doctest/doctest.h>

#include "support/virtual_environment.h"

namespace coursepond::egress {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Requests at an even rate to a service that accepts at most so many a second.
struct Bench {
  proxy::VirtualEnvironment environment;
  ThrottleSettings settings;
  AdmissionThrottle throttle;
  int passed = 0;

  /// One second of `offered` requests, of which the service would accept `accepted`.
  int play(int offered, int accepted) {
    passed = 0;
    double room = 0;
    for (int request = 0; request < offered; ++request) {
      environment.advance(Duration(seconds(1)) / offered);
      room = std::min(room + static_cast<double>(accepted) / offered, 2.0);
      if (!throttle.passes(settings, environment.now(), environment)) continue;
      ++passed;
      const bool is_accepted = room >= 1;
      if (is_accepted) room -= 1;
      throttle.onOutcome(settings, environment.now(), is_accepted);
    }
    return passed;
  }
};

}  // namespace

TEST_CASE("while a service accepts what comes, everything passes") {
  Bench bench;
  for (int second = 0; second < 5; ++second) CHECK(bench.play(100, 100) == 100);
  // Also when a third is refused: another try costs less than a wrong refusal.
  for (int second = 0; second < 5; ++second) CHECK(bench.play(100, 70) == 100);
}

TEST_CASE("while a service is full, little more passes than it accepts") {
  Bench bench;
  bench.play(100, 100);
  bench.play(400, 100);
  for (int second = 0; second < 5; ++second) {
    const int passed = bench.play(400, 100);
    CHECK(passed >= 120);
    CHECK(passed <= 190);
  }
}

TEST_CASE("within two seconds of the end of an overload everything passes again") {
  Bench bench;
  for (int second = 0; second < 10; ++second) bench.play(400, 60);
  bench.play(100, 100);
  bench.play(100, 100);
  CHECK(bench.play(100, 100) == 100);
}

TEST_CASE("a service that accepted nothing is tried again and again") {
  Bench bench;
  for (int second = 0; second < 10; ++second) bench.play(100, 0);
  CHECK(bench.play(100, 0) > 0);
  CHECK(bench.play(100, 0) < 30);
  bench.play(100, 100);
  bench.play(100, 100);
  CHECK(bench.play(100, 100) == 100);
}

TEST_CASE("a few refusals hold nothing back") {
  Bench bench;
  CHECK(bench.play(5, 0) == 5);
}

}  // namespace coursepond::egress
