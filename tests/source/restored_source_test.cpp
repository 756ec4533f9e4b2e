// The state that a node holds while its source is restored from an older copy: known state does not
// go back, and unconfirmed state is not kept indefinitely.

#include <doctest/doctest.h>

#include "source/held_state.h"
#include "source/restore_settling.h"
#include "support/virtual_environment.h"

namespace coursepond::source {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kStart = 1'791'000'000'000;
constexpr auto kReady = model::MachineState::kLive;
constexpr auto kLeaving = model::MachineState::kLeaving;

SourceRevision at(std::uint64_t era, std::uint64_t number) {
  return {Era(era), Generation(number)};
}

model::ServerEntry makeServer(const std::string& id, SourceRevision revision,
                              model::MachineState state = kReady, std::uint64_t start = kStart) {
  model::ServerEntry server;
  server.id = EndpointId(id);
  server.service = ServiceName("stock");
  server.address = {"10.0.0.1", 80};
  server.started_ms = start;
  server.state = state;
  server.revision = revision;
  return server;
}

WatchBatch makeBatch(SourceRevision revision, std::vector<model::ServerEntry> servers = {}) {
  WatchBatch batch;
  batch.revision = revision;
  batch.servers = std::move(servers);
  return batch;
}

WatchBatch makeVersion(SourceRevision revision, std::uint64_t version) {
  WatchBatch batch = makeBatch(revision);
  model::Configuration configuration;
  configuration.version = Version(version);
  batch.configurations = {std::make_shared<const model::Configuration>(configuration)};
  return batch;
}

/// Returns a batch with `changes` of the drained zones.
WatchBatch makeZones(SourceRevision revision, std::vector<ZoneChange> changes, bool lists) {
  WatchBatch batch = makeBatch(revision);
  batch.zone_changes = std::move(changes);
  batch.lists_zones = lists;
  return batch;
}

std::vector<std::string> idsOf(const std::vector<model::ServerEntry>& servers) {
  std::vector<std::string> ids;
  for (const model::ServerEntry& server : servers) ids.push_back(server.id.value());
  return ids;
}

using Ids = std::vector<std::string>;

/// Returns the state of a node that knows i-1 and i-2 as of revision 50 of era 1.
HeldState makeHeld() {
  HeldState held;
  held.updateServers(
      makeBatch(at(1, 50), {makeServer("i-1", at(1, 10)), makeServer("i-2", at(1, 40))}), true);
  return held;
}

/// Returns the states of the updated servers by id.
std::map<std::string, model::MachineState> statesAfter(const ServerChanges& changes) {
  std::map<std::string, model::MachineState> states;
  for (const model::ServerEntry& server : changes.updated) states[server.id.value()] = server.state;
  return states;
}

}  // namespace

TEST_CASE("the list of a restored source is applied although its revisions are lower") {
  HeldState held = makeHeld();
  const ServerChanges changes = held.updateServers(
      makeBatch(at(2, 30), {makeServer("i-1", at(2, 10)), makeServer("i-3", at(2, 20))}), true);
  CHECK(idsOf(changes.updated) == Ids{"i-1", "i-3"});
  CHECK(changes.removed.empty());
  CHECK(held.revision(Topic::kServers) == at(2, 30));
  CHECK(held.restores() == 1);
  CHECK(held.updateServers(makeBatch(at(2, 31), {makeServer("i-1", at(2, 31), kLeaving)}), false));
}

TEST_CASE("an answer from the era before the restore is ignored") {
  HeldState held = makeHeld();
  held.updateServers(makeBatch(at(2, 30), {makeServer("i-1", at(2, 10))}), true);
  CHECK_FALSE(held.updateServers(makeBatch(at(1, 99), {makeServer("i-9", at(1, 98))}), true));
  CHECK(held.revision(Topic::kServers) == at(2, 30));
}

TEST_CASE("a leaving server remains leaving when the copy lists it as ready") {
  HeldState held = makeHeld();
  held.updateServers(makeBatch(at(1, 60), {makeServer("i-2", at(1, 60), kLeaving)}), false);
  ServerChanges changes;
  SUBCASE("in the list of the source") {
    changes = held.updateServers(makeBatch(at(2, 45), {makeServer("i-2", at(2, 40))}), true);
    CHECK(statesAfter(changes).at("i-2") == kLeaving);
  }
  SUBCASE("in the update for another node") {
    changes = held.updateServers(makeBatch(at(2, 45), {makeServer("i-2", at(2, 40))}), true);
    const StateUpdate received = held.serversSince(at(1, 60));
    REQUIRE(received.is_complete);
    CHECK(received.servers.front().state == kLeaving);
  }
  SUBCASE("but another start of it is ready") {
    changes = held.updateServers(
        makeBatch(at(2, 45), {makeServer("i-2", at(2, 44), kReady, kStart + 1)}), true);
    CHECK(statesAfter(changes).at("i-2") == kReady);
  }
}

TEST_CASE("a server missing in the copy is used until it had time to write its entry again") {
  HeldState held = makeHeld();
  const ServerChanges changes =
      held.updateServers(makeBatch(at(2, 30), {makeServer("i-1", at(2, 10))}), true);
  CHECK(changes.removed.empty());
  CHECK(held.servers().unconfirmed() == 1);
  SUBCASE("and dropped when it did not") {
    CHECK(held.dropUnconfirmedServers().removed == std::vector{EndpointId("i-2")});
  }
  SUBCASE("and kept when it did, with a revision number that was used before the restore") {
    held.updateServers(makeBatch(at(2, 35), {makeServer("i-2", at(2, 35))}), false);
    CHECK(held.dropUnconfirmedServers().empty());
  }
  SUBCASE("also across a list of the same era, as sent by another node") {
    CHECK(held.updateServers(makeBatch(at(2, 33), {makeServer("i-1", at(2, 10))}), true)
              .removed.empty());
  }
  SUBCASE("also across a second restore") {
    CHECK(held.updateServers(makeBatch(at(3, 20), {makeServer("i-1", at(3, 10))}), true)
              .removed.empty());
    CHECK(held.dropUnconfirmedServers().removed == std::vector{EndpointId("i-2")});
  }
}

TEST_CASE("a removed server that the copy still lists is not used at once") {
  HeldState held = makeHeld();
  WatchBatch end = makeBatch(at(1, 60));
  end.removed_servers = {EndpointId("i-2")};
  held.updateServers(end, false);
  const WatchBatch copy =
      makeBatch(at(2, 45), {makeServer("i-1", at(2, 10)), makeServer("i-2", at(2, 40))});
  CHECK(idsOf(held.updateServers(copy, true).updated) == Ids{"i-1"});
  CHECK(held.servers().doubted() == 1);
  SUBCASE("its entry lapses") {
    WatchBatch lapse = makeBatch(at(2, 50));
    lapse.removed_servers = {EndpointId("i-2")};
    CHECK(held.updateServers(lapse, false).empty());
    CHECK(held.acceptDoubtedServers().empty());
    // Nodes that received the server from this node are sent its removal.
    CHECK(held.serversSince(at(2, 45)).removed_servers == std::vector{EndpointId("i-2")});
  }
  SUBCASE("also when a list of the same era contains it again") {
    CHECK(held.updateServers(copy, true).empty());
    CHECK(held.servers().doubted() == 1);
  }
  SUBCASE("it is used when its entry does not expire") {
    CHECK(idsOf(held.acceptDoubtedServers().updated) == Ids{"i-2"});
  }
  SUBCASE("it is used when its entry changes") {
    const WatchBatch again = makeBatch(at(2, 46), {makeServer("i-2", at(2, 46))});
    CHECK(idsOf(held.updateServers(again, false).updated) == Ids{"i-2"});
    CHECK(held.servers().doubted() == 0);
  }
  SUBCASE("another start of it is used at once") {
    const WatchBatch other =
        makeBatch(at(2, 46), {makeServer("i-2", at(2, 46), kReady, kStart + 1)});
    CHECK(idsOf(held.updateServers(other, false).updated) == Ids{"i-2"});
  }
}

TEST_CASE("a node of an earlier era is sent all servers, one of a later era nothing") {
  HeldState held = makeHeld();
  held.updateServers(makeBatch(at(2, 30), {makeServer("i-1", at(2, 10))}), true);
  CHECK(held.hasServersSince(at(1, 1000)));
  const Result<StateUpdate> received =
      decodeStateUpdate(encodeStateUpdate(held.serversSince(at(1, 1000))));
  REQUIRE(received.has_value());
  CHECK(received->is_complete);
  CHECK(received->revision == at(2, 30));
  // Not i-2: the other node waits for its entry by itself, or never knew it.
  CHECK(idsOf(received->servers) == Ids{"i-1"});
  CHECK(received->servers.front().revision == at(2, 10));
  CHECK_FALSE(held.hasServersSince(at(3, 1)));
  CHECK_FALSE(held.hasConfigurationSince(Version(0), at(3, 1)));
}

TEST_CASE("the version in force stays when the copy has an older one, and a later one is applied") {
  HeldState held;
  held.updateConfiguration(makeVersion(at(1, 50), 7));
  CHECK_FALSE(held.updateConfiguration(makeVersion(at(2, 20), 5)));
  CHECK(held.version() == Version(7));
  CHECK(held.revision(Topic::kConfiguration) == at(2, 20));
  CHECK(held.updateConfiguration(makeVersion(at(2, 21), 8)));
  SUBCASE("also when a node that does not know of the restore sends it") {
    CHECK(held.updateConfiguration(makeVersion(at(1, 60), 9)));
    CHECK(held.version() == Version(9));
    CHECK(held.revision(Topic::kConfiguration) == at(2, 21));
  }
}

TEST_CASE("the state of drained zones is kept across a restore until an operator writes again") {
  const ZoneId north("north");
  const ZoneId south("south");
  HeldState held;
  held.updateConfiguration(makeZones(at(1, 50), {{north, true, at(1, 45)}}, true));
  SUBCASE("the copy lacks a drained zone") {
    CHECK_FALSE(held.updateConfiguration(makeZones(at(2, 30), {}, true)));
    CHECK(held.drainedZones() == std::set{north});
    SUBCASE("which is drained again, and cancelled later") {
      held.updateConfiguration(makeZones(at(2, 31), {{north, true, at(2, 31)}}, false));
      CHECK_FALSE(held.settleZones());
      CHECK(held.updateConfiguration(makeZones(at(2, 32), {{north, false, at(2, 32)}}, false)));
    }
    SUBCASE("which is not written again") { CHECK(held.settleZones()); }
    SUBCASE("which another node lists as drained, and later as cancelled") {
      held.updateConfiguration(makeZones(at(2, 31), {{north, true}}, true));
      CHECK(held.updateConfiguration(makeZones(at(2, 32), {}, true)));
    }
  }
  SUBCASE("the copy has a zone whose drain was cancelled") {
    const WatchBatch copy =
        makeZones(at(2, 30), {{north, true, at(2, 20)}, {south, true, at(2, 20)}}, true);
    CHECK_FALSE(held.updateConfiguration(copy));
    SUBCASE("and that is drained again") {
      CHECK(held.updateConfiguration(makeZones(at(2, 31), {{south, true, at(2, 31)}}, false)));
    }
    SUBCASE("and that nobody cancels again") { CHECK(held.settleZones()); }
    CHECK(held.drainedZones() == std::set{north, south});
  }
  SUBCASE("a zone that was drained after everything this node knew is drained") {
    CHECK(held.updateConfiguration(
        makeZones(at(2, 60), {{north, true, at(2, 45)}, {south, true, at(2, 55)}}, true)));
  }
}

TEST_CASE("state held across a restore expires") {
  proxy::VirtualEnvironment environment;
  HeldState held = makeHeld();
  WatchBatch end = makeBatch(at(1, 60));
  end.removed_servers = {EndpointId("i-1")};
  held.updateServers(end, false);
  held.updateConfiguration(makeZones(at(1, 50), {{ZoneId("north"), true, at(1, 45)}}, true));
  ServerChanges all;
  bool have_zones_changed = false;
  RestoreSettling settling(held, environment,
                           {[&](const ServerChanges& changes) {
                              for (const auto& entry : changes.updated) {
                                all.updated.push_back(entry);
                              }
                              for (const auto& id : changes.removed) all.removed.push_back(id);
                            },
                            [&](bool has_changed) { have_zones_changed = has_changed; }});
  held.updateServers(makeBatch(at(2, 30), {makeServer("i-1", at(2, 10))}), true);
  held.updateConfiguration(makeZones(at(2, 30), {}, true));
  settling.onRestored(Topic::kServers);
  settling.onRestored(Topic::kConfiguration);
  CHECK(settling.mayLackVersion());
  environment.advance(milliseconds(1500));
  // A second restore restarts the waits.
  settling.onRestored(Topic::kServers);
  environment.advance(milliseconds(1900));
  CHECK(all.empty());
  // A failure of the source restarts the waits, since nobody can write meanwhile.
  settling.onSourceFailed(Topic::kServers);
  settling.onSourceFailed(Topic::kConfiguration);
  environment.advance(milliseconds(1900));
  CHECK(all.empty());
  environment.advance(milliseconds(200));
  CHECK(all.removed == std::vector{EndpointId("i-2")});
  environment.advance(seconds(3));
  CHECK(idsOf(all.updated) == Ids{"i-1"});
  CHECK_FALSE(have_zones_changed);
  environment.advance(seconds(5));
  CHECK(have_zones_changed);
  CHECK_FALSE(settling.mayLackVersion());
  // A wait that has ended is not restarted.
  all = {};
  settling.onSourceFailed(Topic::kServers);
  environment.advance(seconds(10));
  CHECK(all.empty());
}

}  // namespace coursepond::source
