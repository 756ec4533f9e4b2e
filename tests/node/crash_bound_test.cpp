#include <doctest/doctest.h>

#include "support/simulated_mesh.h"

// The story of the failure. Callers of a catalogue saw most of their requests refused or failed for
// minutes. The operator's record showed one request, sent again and again through different nodes,
// under which 15 servers of the service ended; after the third it still reached servers 11 times.
// Order of events: a server ends under a request, and with it up to 18 that ran beside; the egress
// takes that for one more lost answer and sends the request to a second server, which ends too; the
// caller gets a failure and sends the request again through another node. Cause: what was learned
// of a request ended with its id. An egress knew the attempts of one try, an ingress the server's
// losses but not whose; no node knew that two tries are the same request, or what another node had
// seen. Evidence: the day's logs show 13 starts of four servers in 12 s, each with connections lost
// for all that ran at the same millisecond, and `connection_lost` followed by a further attempt on
// requests of all nodes. With fingerprints in the lines, in a run of real processes, one of them
// stands under each of the ends of a wave, and the up to 12 beside it under one end each. In this
// mesh, without the mend: 72, 53 and 33 ends in 60 s with the request sent each 0.3, 0.9 and 2.5 s.

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

/// The first four nodes have a server of the catalogue.
constexpr std::size_t kCatalogNodes = 4;

int unserved(SimulatedMesh& mesh) {
  return mesh.answered(500) + mesh.answered(502) + mesh.answered(503) + mesh.answered(504);
}

}  // namespace

TEST_CASE("a request that crashes servers reaches few of them once that is known") {
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

TEST_CASE("two such requests, of two services, are each held back") {
  SimulatedMesh mesh(threeServices(), 42);
  mesh.load("catalog", 120);
  mesh.load("fonts", 60);
  mesh.run(seconds(4));
  mesh.loadCrashing("catalog", milliseconds(400));
  mesh.loadCrashing("fonts", milliseconds(500));
  mesh.run(seconds(60));
  for (const std::string service : {"catalog", "fonts"}) {
    CAPTURE(service);
    CHECK(mesh.crashRecord(service).arrivalsOnceKnown(kSettled) <= kMostOnceKnown);
  }
}

TEST_CASE("its callers are told at once that it has not run, and when to come back") {
  SimulatedMesh mesh(threeServices(), 43);
  mesh.run(seconds(4));
  mesh.loadCrashing("catalog", milliseconds(400));
  mesh.run(seconds(30));
  CHECK(mesh.crashingAnswered(200) == 0);
  CHECK(mesh.crashingAnswered(503) > 55);
  CHECK(mesh.crashingAnswered(502) <= 6);
}

TEST_CASE("a popular request that runs beside the one that crashes servers is served on") {
  SimulatedMesh mesh(threeServices(), 44);
  mesh.load("catalog", 120, /*alike=*/true);
  mesh.run(seconds(4));
  mesh.loadCrashing("catalog", milliseconds(300));
  mesh.run(seconds(20));
  const int unserved_before = unserved(mesh);
  const int served_before = mesh.answered(200);
  // By now the guilty one is held back, but for its second trial.
  mesh.run(seconds(20));
  CHECK(mesh.answered(200) - served_before > 2300);
  CHECK(unserved(mesh) - unserved_before < 60);
  const RequestFingerprint popular = SimulatedMesh::fingerprintOfAlike("catalog");
  for (std::size_t node = 0; node < mesh.nodes(); ++node) {
    CHECK(mesh.suspects(node).ends(popular) < 2);
  }
}

TEST_CASE("a popular request is served soon after all its servers went at the same moment") {
  SimulatedMesh mesh(threeServices(), 45);
  mesh.load("catalog", 120, /*alike=*/true);
  mesh.run(seconds(4));
  for (std::size_t node = 0; node < kCatalogNodes; ++node) mesh.crashServer(node);
  mesh.run(SimulatedMesh::kServerAway + seconds(2));
  const int served_before = mesh.answered(200);
  const int unserved_before = unserved(mesh);
  mesh.run(seconds(5));
  CHECK(mesh.answered(200) - served_before > 590);
  CHECK(unserved(mesh) - unserved_before == 0);
}

TEST_CASE("nodes that could not know send it no further once they hear") {
  SimulatedMesh mesh(threeServices(), 46);
  mesh.load("catalog", 120);
  mesh.run(seconds(4));
  // Two egresses that are cut off from the gossip; the ingresses know.
  mesh.cutGossip(10, true);
  mesh.cutGossip(11, true);
  mesh.loadCrashing("catalog", milliseconds(400));
  mesh.run(seconds(30));
  CHECK(mesh.crashRecord("catalog").arrivalsOnceKnown(kSettled) <= kMostOnceKnown);
  mesh.cutGossip(10, false);
  mesh.run(kSettled);
  const RequestFingerprint crashing = SimulatedMesh::fingerprintOfPath("/catalog/crash");
  CHECK(mesh.suspects(10).ends(crashing) >= 3);
  CHECK(mesh.suspects(11).ends(crashing) == 0);
}

TEST_CASE("nodes that start anew learn of it from the others") {
  SimulatedMesh mesh(threeServices(), 47);
  mesh.load("catalog", 120);
  mesh.run(seconds(4));
  mesh.loadCrashing("catalog", milliseconds(400));
  mesh.run(seconds(10));
  for (std::size_t node = 0; node < mesh.nodes(); node += 2) mesh.restart(node);
  mesh.run(seconds(10));
  for (std::size_t node = 1; node < mesh.nodes(); node += 2) mesh.restart(node);
  mesh.run(seconds(30));
  CHECK(mesh.crashRecord("catalog").arrivalsOnceKnown(kSettled) <= kMostOnceKnown);
}

TEST_CASE("servers that lose answers without ending put nothing under suspicion") {
  SimulatedMesh mesh(threeServices(), 48);
  mesh.load("catalog", 120, /*alike=*/true);
  mesh.run(seconds(4));
  mesh.model("catalog").answers_lost = 0.5;
  mesh.run(seconds(10));
  const RequestFingerprint popular = SimulatedMesh::fingerprintOfAlike("catalog");
  for (std::size_t node = 0; node < mesh.nodes(); ++node) {
    CHECK(mesh.suspects(node).ends(popular) == 0);
  }
}

TEST_CASE("sixty nodes, callers that send it twenty times a second, and servers that go besides") {
  for (const std::uint64_t seed : {51, 52, 53}) {
    CAPTURE(seed);
    SimulatedMesh mesh({{.name = "catalog", .servers = 30, .work = milliseconds(100)},
                        {.name = "fonts", .servers = 30, .work = milliseconds(100)}},
                       seed);
    mesh.load("catalog", 400);
    mesh.load("fonts", 100);
    mesh.run(seconds(4));
    mesh.loadCrashing("catalog", milliseconds(50));
    for (int round = 0; round < 10; ++round) {
      mesh.run(seconds(5));
      // Nodes and servers of both services that have nothing to do with it.
      mesh.restart(static_cast<std::size_t>(round) * 5);
      mesh.crashServer(static_cast<std::size_t>(round) * 6 + 1);
    }
    const CrashRecord& record = mesh.crashRecord("catalog");
    CAPTURE(record.crashes.size());
    CHECK(record.arrivalsOnceKnown(kSettled) <= kMostOnceKnown);
  }
}

}  // namespace coursepond::testing
