#include "ingress/server_end_watch.h"

#include <doctest/doctest.h>

#include <vector>

#include "support/fingerprints.h"
#include "support/virtual_environment.h"

namespace coursepond::ingress {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A watch with the number of its port checks and the ends that it reported.
struct WatchFixture {
  WatchFixture() {
    watch.onPortCheckNeeded([this] { ++port_checks; });
    watch.onEnd([this](ServerEndId end, std::span<const RequestFingerprints> requests) {
      ends.push_back(end);
      reported.insert(reported.end(), requests.begin(), requests.end());
    });
  }

  /// Reports the loss of a request that was sent `sent_ago` before now.
  void lose(std::uint64_t request, milliseconds sent_ago) {
    const TimePoint now = environment.now();
    watch.onLost(wholeRequest(RequestFingerprint(request)), now - sent_ago, now);
  }

  proxy::VirtualEnvironment environment;
  ServerEndWatch watch{environment};
  int port_checks = 0;
  std::vector<ServerEndId> ends;
  std::vector<RequestFingerprints> reported;
};

}  // namespace

TEST_CASE("all requests lost before the port is found closed are reported with one server end") {
  WatchFixture fixture;
  fixture.lose(1, milliseconds(50));
  fixture.lose(2, milliseconds(90));
  CHECK(fixture.port_checks == 1);
  CHECK(fixture.ends.empty());
  fixture.watch.onPort(ServerPort::kClosed, fixture.environment.now());
  CHECK(fixture.ends.size() == 1);
  CHECK(fixture.reported == wholeRequests({RequestFingerprint(1), RequestFingerprint(2)}));
}

TEST_CASE("a loss detected late belongs to the known end, the loss of a later request does not") {
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

TEST_CASE("lost answers are not a server end if the port is open or its state is unknown") {
  for (const ServerPort port : {ServerPort::kOpen, ServerPort::kUnknown}) {
    WatchFixture fixture;
    fixture.lose(1, milliseconds(50));
    fixture.watch.onPort(port, fixture.environment.now());
    CHECK(fixture.ends.empty());
    // Further losses cause only one more check, after a pause.
    fixture.lose(2, milliseconds(50));
    fixture.lose(3, milliseconds(50));
    CHECK(fixture.port_checks == 1);
    fixture.environment.advance(milliseconds(100));
    CHECK(fixture.port_checks == 2);
  }
}

TEST_CASE("a request lost before the port was last seen open is not reported with the end") {
  WatchFixture fixture;
  fixture.lose(1, milliseconds(50));
  fixture.environment.advance(milliseconds(2));
  fixture.watch.onPort(ServerPort::kOpen, fixture.environment.now());
  fixture.environment.advance(seconds(1));
  fixture.lose(2, milliseconds(50));
  fixture.watch.onPort(ServerPort::kClosed, fixture.environment.now());
  CHECK(fixture.reported == wholeRequests({RequestFingerprint(2)}));
}

TEST_CASE("a restart that is faster than the port check is detected by the new instance") {
  WatchFixture fixture;
  fixture.lose(1, milliseconds(50));
  fixture.watch.onPort(ServerPort::kOpen, fixture.environment.now());
  fixture.environment.advance(milliseconds(500));
  fixture.watch.onRestart(fixture.environment.now());
  CHECK(fixture.reported == wholeRequests({RequestFingerprint(1)}));

  // A request lost long before a restart is not related to it.
  fixture.environment.advance(seconds(1));
  fixture.lose(2, milliseconds(50));
  fixture.watch.onPort(ServerPort::kOpen, fixture.environment.now());
  fixture.environment.advance(seconds(10));
  fixture.watch.onRestart(fixture.environment.now());
  CHECK(fixture.ends.size() == 1);
}

TEST_CASE("a restart without lost requests is not reported as an end") {
  WatchFixture fixture;
  fixture.watch.onRestart(fixture.environment.now());
  CHECK(fixture.ends.empty());
}

}  // namespace coursepond::ingress
