#include "ingress/cold_start.h"

#include <doctest/doctest.h>

namespace coursepond::ingress {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A server that can handle 4 requests per second while it is cold, for 3 s. Up to 1.5 times that
/// rate plus 2 requests may be sent in any second.
class ColdFixture {
 public:
  ColdFixture() { cold.setLimits(4, seconds(3)); }

  /// Sends as many requests as are allowed now, up to 1000.
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

TEST_CASE("a cold server gets a limited number of requests in any second until it is warm") {
  ColdFixture fixture;
  fixture.cold.onWarmUpReported(seconds(3), fixture.now);
  CHECK(fixture.sendAll() == 8);
  fixture.now += milliseconds(999);
  CHECK(fixture.sendAll() == 0);
  CHECK(fixture.cold.nextStart(fixture.settings, fixture.now) > fixture.now);
  fixture.now = fixture.cold.nextStart(fixture.settings, fixture.now);
  CHECK(fixture.sendAll() == 8);
  fixture.now = TimePoint(seconds(103));
  CHECK(fixture.sendAll() == 1000);
}

TEST_CASE("requests sent just before the server became cold count against the limit") {
  ColdFixture fixture;
  fixture.cold.onWarmUpReported(Duration(0), fixture.now);
  CHECK(fixture.sendAll() == 1000);
  fixture.now += milliseconds(300);
  fixture.cold.onWarmUpReported(seconds(2), fixture.now);
  CHECK(fixture.sendAll() == 0);
}

TEST_CASE("a server of unknown state counts as cold for its warm-up time") {
  ColdFixture fixture;
  fixture.cold.suspectTurnedCold(fixture.now);
  CHECK(fixture.cold.isSuspected(fixture.settings, fixture.now));
  CHECK(fixture.sendAll() == 8);
  SUBCASE("unless it reports that it is warm") {
    fixture.cold.onWarmUpReported(Duration(0), fixture.now);
    CHECK_FALSE(fixture.cold.isSuspected(fixture.settings, fixture.now));
    CHECK(fixture.sendAll() == 1000);
  }
  SUBCASE("and for no longer") {
    fixture.now += seconds(3);
    CHECK_FALSE(fixture.cold.isSuspected(fixture.settings, fixture.now));
    CHECK(fixture.sendAll() == 1000);
  }
}

// Servers that reset the connection for two of five answers counted as restarted each time, and
// were limited to the rate of cold servers.
TEST_CASE("an answer to a request sent before the lost one clears the suspicion of a restart") {
  ColdFixture fixture;
  fixture.cold.onWarmUpReported(Duration(0), fixture.now);
  const TimePoint before = fixture.now;
  const TimePoint sent = before + milliseconds(10);
  fixture.now += milliseconds(20);
  fixture.cold.suspectRestarted(sent, fixture.now);
  CHECK(fixture.cold.isCold(fixture.settings, fixture.now));
  fixture.cold.onAnswered(before);
  CHECK_FALSE(fixture.cold.isCold(fixture.settings, fixture.now));

  // It neither clears the suspicion that the server became cold, nor overrides its own report.
  fixture.cold.suspectTurnedCold(fixture.now);
  fixture.cold.suspectRestarted(sent, fixture.now);
  fixture.cold.onAnswered(before);
  CHECK(fixture.cold.isCold(fixture.settings, fixture.now));
  fixture.cold.onWarmUpReported(seconds(2), fixture.now);
  fixture.cold.suspectRestarted(sent, fixture.now);
  fixture.cold.onAnswered(before);
  CHECK(fixture.cold.isCold(fixture.settings, fixture.now));
  CHECK_FALSE(fixture.cold.isCold(fixture.settings, fixture.now + seconds(2)));
}

// A lost connection was detected long after the loss. Meanwhile the restarted server had answered
// other requests, which cleared the suspicion, so the cold server was overloaded and crashed again.
TEST_CASE("an answer to a request sent after the lost one does not clear the suspicion") {
  ColdFixture fixture;
  fixture.cold.onWarmUpReported(Duration(0), fixture.now);
  const TimePoint lost = fixture.now;
  const TimePoint later = lost + milliseconds(300);
  fixture.now += milliseconds(500);
  fixture.cold.suspectRestarted(lost, fixture.now);
  fixture.cold.onAnswered(later);
  CHECK(fixture.cold.isCold(fixture.settings, fixture.now));
  // An answer that would clear the suspicion after a second loss does not clear it after the first.
  fixture.cold.suspectRestarted(later + milliseconds(50), fixture.now);
  fixture.cold.onAnswered(later);
  CHECK(fixture.cold.isCold(fixture.settings, fixture.now));
}

TEST_CASE("a service without a rate for cold servers is not limited") {
  ColdFixture fixture;
  fixture.cold.setLimits(0, seconds(3));
  fixture.cold.suspectTurnedCold(fixture.now);
  fixture.cold.onWarmUpReported(seconds(3), fixture.now);
  CHECK_FALSE(fixture.cold.isCold(fixture.settings, fixture.now));
  CHECK(fixture.sendAll() == 1000);
}

// After a power loss of all nodes, those that started first sent requests to ingresses without a
// configuration. These passed them to their cold servers as fast as slots became free.
TEST_CASE("before the first configuration a server gets only the burst") {
  const TimePoint now{seconds(100)};
  const ColdStartSettings settings{1.5, 2};
  ColdStart cold;
  cold.suspectTurnedCold(now);
  CHECK(cold.isCold(settings, now + seconds(60)));
  CHECK(cold.maxStartsPerSecond(settings) == 2);
  cold.onStarted(settings, now);
  cold.onStarted(settings, now);
  CHECK_FALSE(cold.mayStart(settings, now));
  // Requests sent before the limits are known count against them.
  cold.setLimits(4, seconds(3));
  int more = 0;
  for (; cold.mayStart(settings, now); ++more) cold.onStarted(settings, now);
  CHECK(more == 6);
  // Without a configured burst there is no limit.
  CHECK_FALSE(ColdStart().isCold(ColdStartSettings(), now));
}

}  // namespace coursepond::ingress
