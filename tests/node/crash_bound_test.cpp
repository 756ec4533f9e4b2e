#include <doctest/doctest.h>

#include "support/simulated_mesh.h"

// Guards against a request that crashes one server after another.
//
// A request ends the server it runs on, together with up to 18 requests that run beside it. The
// egress takes this for a lost answer and sends the request to a second server, which ends too. The
// caller gets an error and sends the request again through another node. As long as nodes remember
// only the attempts of one request id, no node notices that these are the same request, and it
// keeps reaching servers: an egress knows the attempts of one try, and an ingress knows that its
// server lost requests but not which of them caused it. Nodes therefore record requests by
// fingerprint and share the server ends seen under each fingerprint.

namespace coursepond::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time within which all nodes must know of the suspect after the third server end.
constexpr Duration kPropagationTime = seconds(3);
/// Number of arrivals at servers allowed for a request that is known to crash them.
constexpr std::size_t kMaxArrivalsOnceKnown = 3;

std::vector<ServiceModel> threeServices() {
  return {{.name = "catalog", .servers = 4, .work = milliseconds(100)},
          {.name = "licensing", .servers = 4, .work = milliseconds(100)},
          {.name = "fonts", .servers = 4, .work = milliseconds(100)}};
}

/// Number of nodes with a server of "catalog"; they are the first ones.
constexpr std::size_t kCatalogNodes = 4;

int failedRequests(SimulatedMesh& mesh) {
  return mesh.answered(500) + mesh.answered(502) + mesh.answered(503) + mesh.answered(504);
}

}  // namespace

TEST_CASE("a request known to crash servers reaches few further servers") {
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
    CHECK(record.arrivalsOnceKnown(kPropagationTime) <= kMaxArrivalsOnceKnown);
  }
}

TEST_CASE("crashing requests of two services are both kept from servers") {
  SimulatedMesh mesh(threeServices(), 42);
  mesh.load("catalog", 120);
  mesh.load("fonts", 60);
  mesh.run(seconds(4));
  mesh.loadCrashing("catalog", milliseconds(400));
  mesh.loadCrashing("fonts", milliseconds(500));
  mesh.run(seconds(60));
  for (const std::string service : {"catalog", "fonts"}) {
    CAPTURE(service);
    CHECK(mesh.crashRecord(service).arrivalsOnceKnown(kPropagationTime) <= kMaxArrivalsOnceKnown);
  }
}

TEST_CASE("callers of a known crashing request get 503 instead of failed attempts") {
  SimulatedMesh mesh(threeServices(), 43);
  mesh.run(seconds(4));
  mesh.loadCrashing("catalog", milliseconds(400));
  mesh.run(seconds(30));
  CHECK(mesh.crashingAnswered(200) == 0);
  CHECK(mesh.crashingAnswered(503) > 55);
  CHECK(mesh.crashingAnswered(502) <= 6);
}

TEST_CASE("a popular request that runs beside a crashing one is still served") {
  SimulatedMesh mesh(threeServices(), 44);
  mesh.load("catalog", 120, /*alike=*/true);
  mesh.run(seconds(4));
  mesh.loadCrashing("catalog", milliseconds(300));
  mesh.run(seconds(20));
  const int failed_before = failedRequests(mesh);
  const int served_before = mesh.answered(200);
  // By now the crashing request is refused, except for its second trial.
  mesh.run(seconds(20));
  CHECK(mesh.answered(200) - served_before > 2300);
  CHECK(failedRequests(mesh) - failed_before < 60);
  const RequestFingerprint popular = SimulatedMesh::fingerprintOfAlike("catalog");
  for (std::size_t node = 0; node < mesh.nodes(); ++node) {
    CHECK(mesh.suspects(node).ends(popular) < 2);
  }
}

TEST_CASE("a popular request is served again soon after all its servers ended at once") {
  SimulatedMesh mesh(threeServices(), 45);
  mesh.load("catalog", 120, /*alike=*/true);
  mesh.run(seconds(4));
  for (std::size_t node = 0; node < kCatalogNodes; ++node) mesh.crashServer(node);
  mesh.run(SimulatedMesh::kServerAway + seconds(2));
  const int served_before = mesh.answered(200);
  const int failed_before = failedRequests(mesh);
  mesh.run(seconds(5));
  CHECK(mesh.answered(200) - served_before > 590);
  CHECK(failedRequests(mesh) - failed_before == 0);
}

TEST_CASE("nodes that missed the gossip stop sending a crashing request once they learn of it") {
  SimulatedMesh mesh(threeServices(), 46);
  mesh.load("catalog", 120);
  mesh.run(seconds(4));
  // Two egresses are cut off from the gossip, while the ingresses receive it.
  mesh.cutGossip(10, true);
  mesh.cutGossip(11, true);
  mesh.loadCrashing("catalog", milliseconds(400));
  mesh.run(seconds(30));
  CHECK(mesh.crashRecord("catalog").arrivalsOnceKnown(kPropagationTime) <= kMaxArrivalsOnceKnown);
  mesh.cutGossip(10, false);
  mesh.run(kPropagationTime);
  const RequestFingerprint crashing = SimulatedMesh::fingerprintOfPath("/catalog/crash");
  CHECK(mesh.suspects(10).ends(crashing) >= 3);
  CHECK(mesh.suspects(11).ends(crashing) == 0);
}

TEST_CASE("restarted nodes learn of a crashing request from the other nodes") {
  SimulatedMesh mesh(threeServices(), 47);
  mesh.load("catalog", 120);
  mesh.run(seconds(4));
  mesh.loadCrashing("catalog", milliseconds(400));
  mesh.run(seconds(10));
  for (std::size_t node = 0; node < mesh.nodes(); node += 2) mesh.restart(node);
  mesh.run(seconds(10));
  for (std::size_t node = 1; node < mesh.nodes(); node += 2) mesh.restart(node);
  mesh.run(seconds(30));
  CHECK(mesh.crashRecord("catalog").arrivalsOnceKnown(kPropagationTime) <= kMaxArrivalsOnceKnown);
}

TEST_CASE("answers lost without a server end create no crash suspect") {
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

TEST_CASE(
    "a crashing request sent 20 times a second to 60 nodes, with unrelated restarts and crashes") {
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
      // Unrelated restarts of nodes and crashes of servers, of both services.
      mesh.restart(static_cast<std::size_t>(round) * 5);
      mesh.crashServer(static_cast<std::size_t>(round) * 6 + 1);
    }
    const CrashRecord& record = mesh.crashRecord("catalog");
    CAPTURE(record.crashes.size());
    CHECK(record.arrivalsOnceKnown(kPropagationTime) <= kMaxArrivalsOnceKnown);
  }
}

}  // namespace coursepond::testing
