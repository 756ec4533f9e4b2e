#include "ingress/server_end_watch.h"

#include <doctest/doctest.h>

#include <vector>

#include "support/virtual_environment.h"

namespace coursepond::ingress {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A watch, and what it asked and told.
struct WatchFixture {
  WatchFixture() {
    watch.onPortWanted([this] { ++asked; });
    watch.onEnd([this](ServerEndId end, std::span<const RequestFingerprint> requests) {
      ends.push_back(end);
      told.insert(told.end(), requests.begin(), requests.end());
    });
  }

  /// Sent so long ago, and lost now.
  void lose(std::uint64_t request, milliseconds sent_ago) {
    const TimePoint now = environment.now();
    watch.onLost(RequestFingerprint(request), now - sent_ago, now);
  }

  proxy::VirtualEnvironment environment;
  ServerEndWatch watch{environment};
  int asked = 0;
  std::vector<ServerEndId> ends;
  std::vector<RequestFingerprint> told;
};

}  // namespace

TEST_CASE("what was lost when the server's port closed ended with the server, as one end") {
  WatchFixture fixture;
  fixture.lose(1, milliseconds(50));
  fixture.lose(2, milliseconds(90));
  CHECK(fixture.asked == 1);
  CHECK(fixture.ends.empty());
  fixture.watch.onPort(ServerPort::kClosed, fixture.environment.now());
  CHECK(fixture.ends.size() == 1);
  CHECK(fixture.told == std::vector{RequestFingerprint(1), RequestFingerprint(2)});
}

TEST_CASE(
    "a loss that is found late belongs to the end that is known, a later request's does not") {
  WatchFixture fixture;
  fixture.lose(1, milliseconds(50));
  fixture.watch.onPort(ServerPort::kClosed, fixture.environment.now());
  fixture.environment.advance(milliseconds(20));
  fixture.lose(2, milliseconds(40));
  REQUIRE(fixture.ends.size() == 2);
  CHECK(fixture.ends[0] == fixture.ends[1]);

  fixture.environment.advance(seconds(4));
  fixture.lose(3, milliseconds(40));
  CHECK(fixture.ends.size() == 2);
  fixture.watch.onPort(ServerPort::kClosed, fixture.environment.now());
  REQUIRE(fixture.ends.size() == 3);
  CHECK(fixture.ends[2] != fixture.ends[0]);
}

TEST_CASE("lost answers of a server whose port is open, or says nothing, are no end") {
  for (const ServerPort port : {ServerPort::kOpen, ServerPort::kUnknown}) {
    WatchFixture fixture;
    fixture.lose(1, milliseconds(50));
    fixture.watch.onPort(port, fixture.environment.now());
    CHECK(fixture.ends.empty());
    // The next losses ask again, once and not at once.
    fixture.lose(2, milliseconds(50));
    fixture.lose(3, milliseconds(50));
    CHECK(fixture.asked == 1);
    fixture.environment.advance(milliseconds(100));
    CHECK(fixture.asked == 2);
  }
}

TEST_CASE("an answer that was lost before the server ended is not blamed for its end") {
  WatchFixture fixture;
  fixture.lose(1, milliseconds(50));
  fixture.environment.advance(milliseconds(2));
  fixture.watch.onPort(ServerPort::kOpen, fixture.environment.now());
  fixture.environment.advance(seconds(1));
  fixture.lose(2, milliseconds(50));
  fixture.watch.onPort(ServerPort::kClosed, fixture.environment.now());
  CHECK(fixture.told == std::vector{RequestFingerprint(2)});
}

TEST_CASE("a server that is back before its port was looked at is told by its next start") {
  WatchFixture fixture;
  fixture.lose(1, milliseconds(50));
  fixture.watch.onPort(ServerPort::kOpen, fixture.environment.now());
  fixture.environment.advance(milliseconds(500));
  fixture.watch.onAnotherStart(fixture.environment.now());
  CHECK(fixture.told == std::vector{RequestFingerprint(1)});

  // What was lost long before says nothing of this start.
  fixture.environment.advance(seconds(1));
  fixture.lose(2, milliseconds(50));
  fixture.watch.onPort(ServerPort::kOpen, fixture.environment.now());
  fixture.environment.advance(seconds(10));
  fixture.watch.onAnotherStart(fixture.environment.now());
  CHECK(fixture.ends.size() == 1);
}

TEST_CASE("a start of a server under which nothing was lost is no end") {
  WatchFixture fixture;
  fixture.watch.onAnotherStart(fixture.environment.now());
  CHECK(fixture.ends.empty());
}

}  // namespace coursepond::ingress
