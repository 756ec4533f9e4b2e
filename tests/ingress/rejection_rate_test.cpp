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
    int turned_away = 0;
    for (int number = 0; number < asked; ++number) {
      turned_away += rate.turnsAway(settings, environment.now(), environment) ? 1 : 0;
    }
    return turned_away;
  }

  RejectionRateSettings settings;
  proxy::VirtualEnvironment environment;
  RejectionRate rate;
};

}  // namespace

TEST_CASE("a server that answers gets all requests, also after a single rejection") {
  RateFixture fixture;
  fixture.answer(50, false);
  CHECK(fixture.turnedAway(1000) == 0);
  fixture.answer(1, true);
  CHECK(fixture.turnedAway(1000) == 0);
}

TEST_CASE("a server that rejects half of its requests gets only a few") {
  RateFixture fixture;
  for (int round = 0; round < 20; ++round) {
    fixture.answer(1, true);
    fixture.answer(1, false);
  }
  const int turned_away = fixture.turnedAway(10'000);
  CHECK(turned_away > 9'700);
  CHECK(turned_away < 10'000);
}

TEST_CASE("an avoided server is used again after some seconds") {
  RateFixture fixture;
  fixture.answer(30, true);
  CHECK(fixture.turnedAway(1000) > 950);
  fixture.environment.advance(seconds(10));
  CHECK(fixture.turnedAway(1000) == 0);
}

TEST_CASE("a server that recovered gets all requests again after some answers") {
  RateFixture fixture;
  fixture.answer(30, true);
  fixture.answer(25, false);
  CHECK(fixture.turnedAway(1000) == 0);
}

}  // namespace coursepond::ingress
