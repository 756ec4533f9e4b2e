#include <doctest/doctest.h>

#include "support/simulated_mesh.h"

// The story of the failure. Callers of a money transfer mesh saw refusals and failures after some
// machines went; the operator's record showed 1,719 arrivals at one service beyond the first of
// their request in ten seconds, of 1,689 that its bound on repeats allows. The service is called by
// another one, twice per request. Order of events: an answer of the called service is lost; the
// call is sent to a second server while the allowance of its node lasts, then fails; its parent
// fails with it and is sent to a second server as well, within the allowance of the parent's
// service; there it makes its calls once more, and these passed as first attempts. Each hop kept
// its own bound, but at the called service they add up. Evidence: with counters by service and
// reason on a day on which a third of the answers were lost, 929 repeats were sent on purpose in
// the ten seconds, 479 runs of the calling service were repeats, and 1,876 arrivals were counted:
// the 947 that no node knew of are two calls of each of these runs.

namespace coursepond::testing {
namespace {

using std::chrono::seconds;

/// "accounts" calls "transfers" twice in seven of ten runs; both also have callers of their own.
std::vector<ServiceModel> callingMesh() {
  ServiceModel accounts{.name = "accounts", .servers = 6};
  accounts.calls = "transfers";
  accounts.calls_per_run = 2;
  accounts.calling_share = 0.7;
  return {accounts, {.name = "transfers", .servers = 4}, {.name = "receipts", .servers = 3}};
}

/// Both services have callers, and all is well.
void serveForAWhile(SimulatedMesh& mesh) {
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

TEST_CASE("while a called service loses answers, repeats of all hops stay within its bound") {
  SimulatedMesh mesh(callingMesh(), 7);
  serveForAWhile(mesh);
  mesh.model("transfers").answers_lost = 0.3;
  mesh.run(seconds(14));
  mesh.model("transfers").answers_lost = 0;
  mesh.run(seconds(4));
  checkBothWithinBound(mesh);
  CHECK(mesh.ledger().repeats("transfers") > 100);
}

TEST_CASE("servers that do not name the parent of a call change nothing about the bound") {
  SimulatedMesh mesh(callingMesh(), 8, /*child_ids=*/false);
  serveForAWhile(mesh);
  mesh.model("transfers").answers_lost = 0.3;
  mesh.run(seconds(14));
  checkBothWithinBound(mesh);
  CHECK(mesh.ledger().repeats("transfers") > 100);
}

TEST_CASE("while servers of a called service reject half of what they get, the bound holds") {
  SimulatedMesh mesh(callingMesh(), 15);
  serveForAWhile(mesh);
  mesh.model("transfers").rejected = 0.5;
  mesh.run(seconds(14));
  checkBothWithinBound(mesh);
  CHECK(mesh.ledger().repeats("transfers") > 100);
}

TEST_CASE("while both hops lose answers, repeats stay within the bounds of both services") {
  for (const double lost : {0.05, 0.2, 0.6, 1.0}) {
    CAPTURE(lost);
    SimulatedMesh mesh(callingMesh(), 9);
    serveForAWhile(mesh);
    mesh.model("accounts").answers_lost = lost;
    mesh.model("transfers").answers_lost = lost;
    mesh.run(seconds(14));
    checkBothWithinBound(mesh);
  }
}

TEST_CASE(
    "few runs that make many calls: the repeated ones are those, and are let in by their cost") {
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

TEST_CASE("calls of calls: a repeat at the first hop is charged at each service below") {
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

TEST_CASE("nodes that start again do not bring the burst anew") {
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

TEST_CASE("nodes that see few others in an outage of the source keep to their part of the burst") {
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

TEST_CASE("a mesh that loses nothing repeats nothing and serves all") {
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
