#include "ingress/cold_start.h"

#include <doctest/doctest.h>

namespace coursepond::ingress {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A server that bears 4 requests a second while cold, for 3 s; 1.5 times that and 2 more may be
/// sent in any second.
class ColdFixture {
 public:
  ColdFixture() { cold.setLimits(4, seconds(3)); }

  /// Sends as many as may be sent now.
  int sendAll() {
    int sent = 0;
    while (sent < 1000 && cold.mayStart(settings, now)) {
      cold.onStarted(settings, now);
      ++sent;
    }
    return sent;
  }

  ColdStartSettings settings{1.5, 2};
  ColdStart cold;
  TimePoint now{seconds(100)};
};

}  // namespace

TEST_CASE("a cold server gets no more in any second than it bears, until it is warm") {
  ColdFixture fixture;
  fixture.cold.onTold(seconds(3), fixture.now);
  CHECK(fixture.sendAll() == 8);
  fixture.now += milliseconds(999);
  CHECK(fixture.sendAll() == 0);
  CHECK(fixture.cold.nextStart(fixture.settings, fixture.now) > fixture.now);
  fixture.now = fixture.cold.nextStart(fixture.settings, fixture.now);
  CHECK(fixture.sendAll() == 8);
  fixture.now = TimePoint(seconds(103));
  CHECK(fixture.sendAll() == 1000);
}

TEST_CASE("requests that were sent just before the server turned cold count") {
  ColdFixture fixture;
  fixture.cold.onTold(Duration(0), fixture.now);
  CHECK(fixture.sendAll() == 1000);
  fixture.now += milliseconds(300);
  fixture.cold.onTold(seconds(2), fixture.now);
  CHECK(fixture.sendAll() == 0);
}

TEST_CASE("a server that nobody has heard of counts as cold for the time it takes to warm up") {
  ColdFixture fixture;
  fixture.cold.suspectTurnedCold(fixture.now);
  CHECK(fixture.cold.isSuspected(fixture.settings, fixture.now));
  CHECK(fixture.sendAll() == 8);
  SUBCASE("unless it says that it is warm") {
    fixture.cold.onTold(Duration(0), fixture.now);
    CHECK_FALSE(fixture.cold.isSuspected(fixture.settings, fixture.now));
    CHECK(fixture.sendAll() == 1000);
  }
  SUBCASE("and for no longer") {
    fixture.now += seconds(3);
    CHECK_FALSE(fixture.cold.isSuspected(fixture.settings, fixture.now));
    CHECK(fixture.sendAll() == 1000);
  }
}

// Servers that lost two of five answers by a reset counted as started anew at each of them, and got
// no more than cold ones.
TEST_CASE("an answer to what was sent before settles whether the server started anew") {
  ColdFixture fixture;
  fixture.cold.onTold(Duration(0), fixture.now);
  const TimePoint before = fixture.now;
  const TimePoint sent = before + milliseconds(10);
  fixture.now += milliseconds(20);
  fixture.cold.suspectStartedAnew(sent, fixture.now);
  CHECK(fixture.cold.isCold(fixture.settings, fixture.now));
  fixture.cold.onAnswered(before);
  CHECK_FALSE(fixture.cold.isCold(fixture.settings, fixture.now));

  // Not whether it turned cold, and not what it said of itself.
  fixture.cold.suspectTurnedCold(fixture.now);
  fixture.cold.suspectStartedAnew(sent, fixture.now);
  fixture.cold.onAnswered(before);
  CHECK(fixture.cold.isCold(fixture.settings, fixture.now));
  fixture.cold.onTold(seconds(2), fixture.now);
  fixture.cold.suspectStartedAnew(sent, fixture.now);
  fixture.cold.onAnswered(before);
  CHECK(fixture.cold.isCold(fixture.settings, fixture.now));
  CHECK_FALSE(fixture.cold.isCold(fixture.settings, fixture.now + seconds(2)));
}

// A lost connection was found long after the loss. Requests that the next start of the server had
// got meanwhile, and answered, settled the doubt: the cold server was overloaded and crashed again.
TEST_CASE("an answer to what was sent after what was lost settles nothing") {
  ColdFixture fixture;
  fixture.cold.onTold(Duration(0), fixture.now);
  const TimePoint lost = fixture.now;
  const TimePoint later = lost + milliseconds(300);
  fixture.now += milliseconds(500);
  fixture.cold.suspectStartedAnew(lost, fixture.now);
  fixture.cold.onAnswered(later);
  CHECK(fixture.cold.isCold(fixture.settings, fixture.now));
  // Nor does the answer that would settle a second loss settle the first.
  fixture.cold.suspectStartedAnew(later + milliseconds(50), fixture.now);
  fixture.cold.onAnswered(later);
  CHECK(fixture.cold.isCold(fixture.settings, fixture.now));
}

TEST_CASE("a service that names no rate for cold servers is not held back") {
  ColdFixture fixture;
  fixture.cold.setLimits(0, seconds(3));
  fixture.cold.suspectTurnedCold(fixture.now);
  fixture.cold.onTold(seconds(3), fixture.now);
  CHECK_FALSE(fixture.cold.isCold(fixture.settings, fixture.now));
  CHECK(fixture.sendAll() == 1000);
}

// All nodes had lost power: those that started first sent requests to ingresses that held no
// configuration yet, and these to their cold servers as fast as slots came free.
TEST_CASE("before the first configuration a server gets the burst alone") {
  const TimePoint now{seconds(100)};
  const ColdStartSettings settings{1.5, 2};
  ColdStart cold;
  cold.suspectTurnedCold(now);
  CHECK(cold.isCold(settings, now + seconds(60)));
  CHECK(cold.mostStarts(settings) == 2);
  cold.onStarted(settings, now);
  cold.onStarted(settings, now);
  CHECK_FALSE(cold.mayStart(settings, now));
  // What it got until then counts once its limits are known.
  cold.setLimits(4, seconds(3));
  int more = 0;
  for (; cold.mayStart(settings, now); ++more) cold.onStarted(settings, now);
  CHECK(more == 6);
  // A mesh that names no burst bounds nothing.
  CHECK_FALSE(ColdStart().isCold(ColdStartSettings(), now));
}

}  // namespace coursepond::ingress
