#include <doctest/doctest.h>

#include "support/simulated_mesh.h"

// Guards against repeats that exceed a service's bound because several hops repeat.
//
// A service is called twice for each request of another service. When an answer of the called
// service is lost, the call is repeated within the retry budget of its node and then fails. Its
// parent request fails with it and is repeated on a second server, within the retry budget of the
// calling service. There it makes its calls again. If these count as first attempts, each hop keeps
// its own bound, but the called service receives the repeats of both hops. The calls made by
// repeated runs must therefore count as repeats at the called service.

namespace coursepond::testing {
namespace {

using std::chrono::seconds;

/// "accounts" calls "transfers" twice in 70 % of its runs. Both also have callers of their own.
std::vector<ServiceModel> callingMesh() {
  ServiceModel accounts{.name = "accounts", .servers = 6};
  accounts.calls = "transfers";
  accounts.calls_per_run = 2;
  accounts.calling_share = 0.7;
  return {accounts, {.name = "transfers", .servers = 4}, {.name = "receipts", .servers = 3}};
}

/// Runs the mesh under load without failures for four seconds.
void runWithoutFailures(SimulatedMesh& mesh) {
  mesh.load("accounts", 440);
  mesh.load("transfers", 120);
  mesh.run(seconds(4));
}

void checkWithinBound(SimulatedMesh& mesh, const std::string& service,
                      const RepeatBound& bound = {}) {
  const WorstWindow worst = mesh.ledger().worst(service, bound);
  CAPTURE(service);
  CAPTURE(worst.begins.time_since_epoch().count());
  CHECK(static_cast<double>(worst.repeats) <= worst.allowed);
}

void checkBothWithinBound(SimulatedMesh& mesh) {
  checkWithinBound(mesh, "accounts");
  checkWithinBound(mesh, "transfers");
}

}  // namespace

TEST_CASE("repeats of all hops stay within the bound of a called service that loses answers") {
  SimulatedMesh mesh(callingMesh(), 7);
  runWithoutFailures(mesh);
  mesh.model("transfers").answers_lost = 0.3;
  mesh.run(seconds(14));
  mesh.model("transfers").answers_lost = 0;
  mesh.run(seconds(4));
  checkBothWithinBound(mesh);
  CHECK(mesh.ledger().repeats("transfers") > 100);
}

TEST_CASE("the bound holds when servers do not name the parent of a call") {
  SimulatedMesh mesh(callingMesh(), 8, /*child_ids=*/false);
  runWithoutFailures(mesh);
  mesh.model("transfers").answers_lost = 0.3;
  mesh.run(seconds(14));
  checkBothWithinBound(mesh);
  CHECK(mesh.ledger().repeats("transfers") > 100);
}

TEST_CASE("the bound holds while servers of a called service reject half of their requests") {
  SimulatedMesh mesh(callingMesh(), 15);
  runWithoutFailures(mesh);
  mesh.model("transfers").rejected = 0.5;
  mesh.run(seconds(14));
  checkBothWithinBound(mesh);
  CHECK(mesh.ledger().repeats("transfers") > 100);
}

TEST_CASE("repeats stay within the bounds of both services while both hops lose answers") {
  for (const double lost : {0.05, 0.2, 0.6, 1.0}) {
    CAPTURE(lost);
    SimulatedMesh mesh(callingMesh(), 9);
    runWithoutFailures(mesh);
    mesh.model("accounts").answers_lost = lost;
    mesh.model("transfers").answers_lost = lost;
    mesh.run(seconds(14));
    checkBothWithinBound(mesh);
  }
}

TEST_CASE(
    "the bound holds when few runs make many calls, as repeated runs are admitted by their cost") {
  ServiceModel accounts{.name = "accounts", .servers = 6};
  accounts.calls = "transfers";
  accounts.calls_per_run = 6;
  accounts.calling_share = 0.15;
  SimulatedMesh mesh({accounts, {.name = "transfers", .servers = 4}}, 14);
  mesh.load("accounts", 440);
  mesh.load("transfers", 20);
  mesh.run(seconds(4));
  mesh.model("transfers").answers_lost = 0.3;
  mesh.run(seconds(14));
  checkBothWithinBound(mesh);
}

TEST_CASE("a repeat at the first hop is charged to every service called below it") {
  ServiceModel accounts{.name = "accounts", .servers = 5};
  accounts.calls = "transfers";
  accounts.calls_per_run = 2;
  ServiceModel transfers{.name = "transfers", .servers = 6};
  transfers.calls = "ledgers";
  transfers.calls_per_run = 2;
  transfers.calling_share = 0.6;
  for (const std::string failing : {"accounts", "transfers", "ledgers"}) {
    CAPTURE(failing);
    SimulatedMesh mesh({accounts, transfers, {.name = "ledgers", .servers = 6}}, 10);
    mesh.load("accounts", 200);
    mesh.load("ledgers", 20);
    mesh.run(seconds(4));
    mesh.model(failing).answers_lost = 0.3;
    mesh.run(seconds(14));
    for (const std::string service : {"accounts", "transfers", "ledgers"}) {
      checkWithinBound(mesh, service);
    }
  }
}

TEST_CASE("restarted nodes do not get a new retry burst") {
  SimulatedMesh mesh(callingMesh(), 11);
  mesh.load("accounts", 60);
  mesh.load("transfers", 10);
  mesh.run(seconds(10));
  mesh.model("transfers").answers_lost = 0.5;
  for (int round = 0; round < 12; ++round) {
    for (std::size_t index = 0; index < mesh.nodes(); ++index) mesh.restart(index);
    mesh.run(seconds(1));
  }
  checkBothWithinBound(mesh);
}

TEST_CASE("nodes that see few others during a source outage keep to their share of the burst") {
  SimulatedMesh mesh({{.name = "transfers", .servers = 2}, {.name = "accounts", .servers = 11}},
                     12);
  mesh.load("accounts", 60);
  mesh.load("transfers", 40);
  mesh.run(seconds(40));
  mesh.listOnly(2);
  mesh.run(seconds(15));
  mesh.model("transfers").answers_lost = 1;
  mesh.run(seconds(10));
  checkWithinBound(mesh, "transfers");
}

TEST_CASE("a mesh without failures serves all requests and repeats none") {
  SimulatedMesh mesh(callingMesh(), 13);
  mesh.load("accounts", 440);
  mesh.load("transfers", 120);
  mesh.run(seconds(10));
  CHECK(mesh.ledger().repeats("accounts") == 0);
  CHECK(mesh.ledger().repeats("transfers") == 0);
  CHECK(mesh.answered(200) > 5400);
  CHECK(mesh.answered(500) + mesh.answered(502) + mesh.answered(503) + mesh.answered(504) == 0);
}

}  // namespace coursepond::testing
