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

TEST_CASE("a server gets no more requests than the limit that it reports" *
          doctest::should_fail()) {
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

TEST_CASE("a server that says it leaves gets no requests after the drain time" *
          doctest::should_fail()) {
  for (const std::uint64_t seed : {61, 62, 63}) {
    CAPTURE(seed);
    LimitMesh mesh(seed);
    mesh.announceLeaving(0);
    mesh.run(seconds(10));
    CHECK(mesh.leavingViolations() == 0);
  }
}

}  // namespace coursepond::testing
