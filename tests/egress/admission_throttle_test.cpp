#include "egress/admission_throttle.h"

#include <doctest/doctest.h>

#include "support/virtual_environment.h"

namespace coursepond::egress {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Sends requests at a constant rate to a service with a limited acceptance rate.
struct ThrottleFixture {
  proxy::VirtualEnvironment environment;
  ThrottleSettings settings;
  AdmissionThrottle throttle;
  int passed = 0;

  /// Offers `offered` requests in one second to a service that would accept `accepted` of them.
  /// Returns the number of requests that passed the throttle.
  int runOneSecond(int offered, int accepted) {
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

TEST_CASE("all requests pass while a service accepts most of them") {
  ThrottleFixture fixture;
  for (int second = 0; second < 5; ++second) CHECK(fixture.runOneSecond(100, 100) == 100);
  // Also when 30% are refused: an unnecessary attempt costs less than a wrong refusal.
  for (int second = 0; second < 5; ++second) CHECK(fixture.runOneSecond(100, 70) == 100);
}

TEST_CASE("an overloaded service gets little more than it accepts") {
  ThrottleFixture fixture;
  fixture.runOneSecond(100, 100);
  fixture.runOneSecond(400, 100);
  for (int second = 0; second < 5; ++second) {
    const int passed = fixture.runOneSecond(400, 100);
    CHECK(passed >= 120);
    CHECK(passed <= 190);
  }
}

TEST_CASE("all requests pass again within two seconds after an overload") {
  ThrottleFixture fixture;
  for (int second = 0; second < 10; ++second) fixture.runOneSecond(400, 60);
  fixture.runOneSecond(100, 100);
  fixture.runOneSecond(100, 100);
  CHECK(fixture.runOneSecond(100, 100) == 100);
}

TEST_CASE("a service that accepts nothing still gets some requests") {
  ThrottleFixture fixture;
  for (int second = 0; second < 10; ++second) fixture.runOneSecond(100, 0);
  CHECK(fixture.runOneSecond(100, 0) > 0);
  CHECK(fixture.runOneSecond(100, 0) < 30);
  fixture.runOneSecond(100, 100);
  fixture.runOneSecond(100, 100);
  CHECK(fixture.runOneSecond(100, 100) == 100);
}

TEST_CASE("a few refusals throttle nothing") {
  ThrottleFixture fixture;
  CHECK(fixture.runOneSecond(5, 0) == 5);
}

}  // namespace coursepond::egress
