#include <doctest/doctest.h>

#include "support/simulated_mesh.h"

// Guards against more requests at a server than it says it accepts, and against requests at a
// server that says it is leaving. Both are reported in answers only; the servers' entries stay.

namespace coursepond::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Nodes 0 to 3 have the servers of "catalog", which get about 40 requests a second each. With 24
/// slots and a service time of 200 ms, one of them can handle 120 a second.
constexpr std::size_t kCatalogNodes = 4;
constexpr int kRequestsPerSecond = 160;

std::vector<ServiceModel> twoServices() {
  return {{.name = "catalog", .servers = 4, .work = milliseconds(200)},
          {.name = "fonts", .servers = 4, .work = milliseconds(100)}};
}

/// A mesh that has served "catalog" for some seconds.
class LimitMesh : public SimulatedMesh {
 public:
  explicit LimitMesh(std::uint64_t seed) : SimulatedMesh(twoServices(), seed) {
    load("catalog", kRequestsPerSecond);
    run(seconds(4));
  }
  void limitServers(std::size_t count, double per_second) {
    for (std::size_t index = 0; index < count; ++index) setLimit(index, per_second);
  }
  /// Returns the arrivals at the server of this node in the next seconds.
  std::size_t arrivalsIn(std::size_t index, int number_of_seconds) {
    const std::size_t before = arrivals(index);
    run(seconds(number_of_seconds));
    return arrivals(index) - before;
  }
  void checkLimits() const {
    CHECK(limitViolations().size() == 0);
    CHECK(notices().fullest().has_value());
  }
};

}  // namespace

TEST_CASE("a server gets no more requests than the limit that it reports") {
  for (const std::uint64_t seed : {51, 52, 53}) {
    for (const double limit : {13.4, 5.0, 1.0, 0.4}) {
      CAPTURE(seed);
      CAPTURE(limit);
      LimitMesh mesh(seed);
      mesh.setLimit(0, limit);
      mesh.run(seconds(20));
      mesh.checkLimits();
    }
  }
}

TEST_CASE("limits that change and end hold on one, half and all servers of a service") {
  for (const std::size_t count : {1, 2, 4}) {
    CAPTURE(count);
    LimitMesh mesh(54);
    for (const double limit : {20.0, 5.0, 0.4, 0.0, 13.0, 1.5}) {
      mesh.limitServers(count, limit);
      mesh.run(milliseconds(2300));
    }
    mesh.run(seconds(4));
    for (std::size_t index = 0; index < count; ++index) mesh.setLimit(index, std::nullopt);
    mesh.run(seconds(4));
    mesh.limitServers(count, 7.0);
    mesh.run(seconds(10));
    mesh.checkLimits();
  }
}

TEST_CASE("the limit of a server holds across restarts of the node beside it") {
  for (const double limit : {13.4, 1.0, 0.4}) {
    CAPTURE(limit);
    LimitMesh mesh(55);
    mesh.limitServers(kCatalogNodes, limit);
    for (const int pause_ms : {3700, 400, 1500, 60, 2900}) {
      mesh.run(milliseconds(pause_ms));
      mesh.restart(0);
    }
    mesh.run(seconds(5));
    mesh.checkLimits();
  }
}

TEST_CASE("other servers take over what the limit of one server leaves out") {
  LimitMesh mesh(56);
  mesh.setLimit(0, 0.4);
  mesh.run(seconds(15));
  CHECK(mesh.answered(503) == 0);
  CHECK(mesh.answered(504) == 0);
}

TEST_CASE("requests beyond the limits of all servers are refused at once with a retry delay") {
  constexpr double kLimit = 10;
  LimitMesh mesh(57);
  const int served_before = mesh.answered(200);
  mesh.limitServers(kCatalogNodes, kLimit);
  mesh.run(seconds(20));
  mesh.checkLimits();
  const double allowed = kLimit * kCatalogNodes * 20;
  CHECK(mesh.answered(200) - served_before > 0.8 * allowed);
  CHECK(mesh.answered(504) == 0);
  // A quarter of the target latency may be spent in a queue.
  CHECK(mesh.longestRefusal() <= milliseconds(120));
  CHECK_FALSE(mesh.retryDelays().empty());
  for (const Duration delay : mesh.retryDelays()) CHECK(delay >= milliseconds(100));
}

TEST_CASE("a server whose limit was lifted gets its share again") {
  for (const double limit : {13.4, 0.4, 0.0}) {
    CAPTURE(limit);
    LimitMesh mesh(58);
    const std::size_t usual = mesh.arrivalsIn(0, 4);
    mesh.setLimit(0, limit);
    mesh.run(seconds(10));
    mesh.setLimit(0, std::nullopt);
    mesh.run(seconds(6));
    CHECK(mesh.arrivalsIn(0, 4) > usual / 2);
  }
}

TEST_CASE("a limit does not outlive the instance of the server that reported it") {
  LimitMesh mesh(59);
  const std::size_t usual = mesh.arrivalsIn(0, 4);
  mesh.setLimit(0, 0.4);
  mesh.run(seconds(5));
  mesh.crashServer(0);
  mesh.run(SimulatedMesh::kServerAway + seconds(2));
  CHECK(mesh.arrivalsIn(0, 4) > usual / 2);
}

TEST_CASE("a limit that cannot be read leaves the known limit in force") {
  LimitMesh mesh(60);
  mesh.setLimit(0, 5.0);
  mesh.run(seconds(5));
  mesh.setUnreadableLimit(0);
  mesh.run(seconds(10));
  mesh.checkLimits();
}

TEST_CASE("a server that says it leaves gets no requests after the drain time") {
  for (const std::uint64_t seed : {61, 62, 63}) {
    CAPTURE(seed);
    LimitMesh mesh(seed);
    mesh.announceLeaving(0);
    mesh.run(seconds(10));
    CHECK(mesh.leavingViolations() == 0);
  }
}

TEST_CASE("a leaving server gets no requests although the node beside it was restarted") {
  LimitMesh mesh(64);
  mesh.announceLeaving(0);
  mesh.run(seconds(3));
  for (int round = 0; round < 4; ++round) {
    mesh.restart(0);
    mesh.run(seconds(3));
  }
  CHECK(mesh.leavingViolations() == 0);
}

TEST_CASE("a leaving server gets no requests although its entry lapses and comes back") {
  LimitMesh mesh(65);
  mesh.announceLeaving(7);
  mesh.announceLeaving(3);
  mesh.run(seconds(3));
  mesh.listOnly(3);
  mesh.run(seconds(4));
  mesh.restart(3);
  mesh.listOnly(mesh.nodes());
  mesh.run(seconds(4));
  CHECK(mesh.leavingViolations() == 0);
}

TEST_CASE("leaving servers get no requests although all servers of the service leave") {
  LimitMesh mesh(66);
  for (std::size_t index = 0; index < kCatalogNodes; ++index) mesh.announceLeaving(index);
  mesh.run(seconds(3));
  const std::size_t before = mesh.arrivals(0) + mesh.arrivals(1) + mesh.arrivals(2);
  mesh.run(seconds(6));
  CHECK(mesh.arrivals(0) + mesh.arrivals(1) + mesh.arrivals(2) == before);
  CHECK(mesh.leavingViolations() == 0);
  CHECK(mesh.answered(503) > 0);
}

TEST_CASE("a server that was started anew after it left gets its share") {
  LimitMesh mesh(67);
  const std::size_t usual = mesh.arrivalsIn(0, 4);
  mesh.announceLeaving(0);
  mesh.run(seconds(3));
  mesh.crashServer(0);
  mesh.run(SimulatedMesh::kServerAway + seconds(2));
  CHECK(mesh.arrivalsIn(0, 4) > usual / 2);
}

}  // namespace coursepond::testing
