#include "ingress/rejection_rate.h"

#include <doctest/doctest.h>

#include "support/virtual_environment.h"

namespace coursepond::ingress {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RateFixture {
 public:
  void answer(int count, bool is_rejection) {
    for (int number = 0; number < count; ++number) {
      rate.onAnswer(settings, is_rejection, environment.now());
    }
  }
  int turnedAway(int asked) {
    int turned = 0;
    for (int number = 0; number < asked; ++number) {
      turned += rate.turnsAway(settings, environment.now(), environment) ? 1 : 0;
    }
    return turned;
  }

  RejectionRateSettings settings;
  proxy::VirtualEnvironment environment;
  RejectionRate rate;
};

}  // namespace

TEST_CASE("a server that answers gets all, also after a single rejection") {
  RateFixture fixture;
  fixture.answer(50, false);
  CHECK(fixture.turnedAway(1000) == 0);
  fixture.answer(1, true);
  CHECK(fixture.turnedAway(1000) == 0);
}

TEST_CASE("a server that rejects half of what it gets is offered to few, and is still tried") {
  RateFixture fixture;
  for (int round = 0; round < 20; ++round) {
    fixture.answer(1, true);
    fixture.answer(1, false);
  }
  const int turned = fixture.turnedAway(10'000);
  CHECK(turned > 9'700);
  CHECK(turned < 10'000);
}

TEST_CASE("a server that is avoided is tried again after some seconds") {
  RateFixture fixture;
  fixture.answer(30, true);
  CHECK(fixture.turnedAway(1000) > 950);
  fixture.environment.advance(seconds(10));
  CHECK(fixture.turnedAway(1000) == 0);
}

TEST_CASE("a server that recovered gets all again after some answers") {
  RateFixture fixture;
  fixture.answer(30, true);
  fixture.answer(25, false);
  CHECK(fixture.turnedAway(1000) == 0);
}

}  // namespace coursepond::ingress
