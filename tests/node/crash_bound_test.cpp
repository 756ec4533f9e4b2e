#include <doctest/doctest.h>

#include "support/simulated_mesh.h"

// The story of the failure. Callers of a catalogue saw most of their requests refused or failed for
// minutes. The operator's record showed one request, sent again and again through different nodes,
// under which 15 servers of the service ended; after the third it still reached servers 11 times.
// Order of events: a server ends under a request; the egress takes that for one more lost answer
// and sends the request to a second server, which ends too; the caller gets a failure and sends the
// request again through another node, which knows nothing of it. Cause: see the evidence below.

namespace coursepond::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// After the third end, all nodes are to know within this.
constexpr Duration kSettled = seconds(3);
/// Of a request that is known to crash servers, so many may still reach one.
constexpr std::size_t kMostOnceKnown = 3;

std::vector<ServiceModel> threeServices() {
  return {{.name = "catalog", .servers = 4, .work = milliseconds(100)},
          {.name = "licensing", .servers = 4, .work = milliseconds(100)},
          {.name = "fonts", .servers = 4, .work = milliseconds(100)}};
}

}  // namespace

TEST_CASE("a request that crashes servers reaches few of them once that is known" *
          doctest::may_fail()) {
  for (const Duration gap : {milliseconds(300), milliseconds(900), milliseconds(2500)}) {
    CAPTURE(gap.count());
    SimulatedMesh mesh(threeServices(), 41);
    mesh.load("catalog", 120);
    mesh.load("licensing", 60);
    mesh.run(seconds(4));
    mesh.loadCrashing("catalog", gap);
    mesh.run(seconds(60));
    const CrashRecord& record = mesh.crashRecord("catalog");
    CAPTURE(record.crashes.size());
    CHECK(record.crashes.size() >= 3);
    CHECK(record.arrivalsOnceKnown(kSettled) <= kMostOnceKnown);
  }
}

}  // namespace coursepond::testing
