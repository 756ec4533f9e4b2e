// What a node holds across the restore of its source from an older copy: nothing that was known
// goes back, and nothing is believed for ever.

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

/// `changes` are of the drained zones.
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

/// A node that knows i-1 and i-2 as of revision 50 of era 1.
HeldState makeHeld() {
  HeldState held;
  held.updateServers(
      makeBatch(at(1, 50), {makeServer("i-1", at(1, 10)), makeServer("i-2", at(1, 40))}), true);
  return held;
}

/// What the node would use: all that it tells, or keeps for itself until it is written again.
std::map<std::string, model::MachineState> statesAfter(const ServerChanges& changes) {
  std::map<std::string, model::MachineState> states;
  for (const model::ServerEntry& server : changes.updated) states[server.id.value()] = server.state;
  return states;
}

}  // namespace

TEST_CASE("a copy with lower revisions is taken in") {
  HeldState held = makeHeld();
  const ServerChanges changes = held.updateServers(
      makeBatch(at(2, 30), {makeServer("i-1", at(2, 10)), makeServer("i-3", at(2, 20))}), true);
  CHECK(idsOf(changes.updated) == Ids{"i-1", "i-3"});
  CHECK(changes.removed.empty());
  CHECK(held.revision(Topic::kServers) == at(2, 30));
  CHECK(held.restores() == 1);
  CHECK(held.updateServers(makeBatch(at(2, 31), {makeServer("i-1", at(2, 31), kLeaving)}), false));
}

TEST_CASE("an answer of the era before the restore changes nothing") {
  HeldState held = makeHeld();
  held.updateServers(makeBatch(at(2, 30), {makeServer("i-1", at(2, 10))}), true);
  CHECK_FALSE(held.updateServers(makeBatch(at(1, 99), {makeServer("i-9", at(1, 98))}), true));
  CHECK(held.revision(Topic::kServers) == at(2, 30));
}

TEST_CASE("a server that was leaving goes on leaving when the copy says that it is ready") {
  HeldState held = makeHeld();
  held.updateServers(makeBatch(at(1, 60), {makeServer("i-2", at(1, 60), kLeaving)}), false);
  ServerChanges changes;
  SUBCASE("in its list") {
    changes = held.updateServers(makeBatch(at(2, 45), {makeServer("i-2", at(2, 40))}), true);
    CHECK(statesAfter(changes).at("i-2") == kLeaving);
  }
  SUBCASE("told by another node") {
    changes = held.updateServers(makeBatch(at(2, 45), {makeServer("i-2", at(2, 40))}), true);
    const StateUpdate told = held.serversSince(at(1, 60));
    REQUIRE(told.is_complete);
    CHECK(told.servers.front().state == kLeaving);
  }
  SUBCASE("but another start of it does not") {
    changes = held.updateServers(
        makeBatch(at(2, 45), {makeServer("i-2", at(2, 44), kReady, kStart + 1)}), true);
    CHECK(statesAfter(changes).at("i-2") == kReady);
  }
}

TEST_CASE("a server that the copy lacks is used until it had time to write again") {
  HeldState held = makeHeld();
  const ServerChanges changes =
      held.updateServers(makeBatch(at(2, 30), {makeServer("i-1", at(2, 10))}), true);
  CHECK(changes.removed.empty());
  CHECK(held.servers().unconfirmed() == 1);
  SUBCASE("and dropped when it did not") {
    CHECK(held.dropUnconfirmedServers().removed == std::vector{EndpointId("i-2")});
  }
  SUBCASE("and kept when it did, with a number that was given out before") {
    held.updateServers(makeBatch(at(2, 35), {makeServer("i-2", at(2, 35))}), false);
    CHECK(held.dropUnconfirmedServers().empty());
  }
  SUBCASE("also across a list of the same era, as another node tells it") {
    CHECK(held.updateServers(makeBatch(at(2, 33), {makeServer("i-1", at(2, 10))}), true)
              .removed.empty());
  }
  SUBCASE("also across a second restore") {
    CHECK(held.updateServers(makeBatch(at(3, 20), {makeServer("i-1", at(3, 10))}), true)
              .removed.empty());
    CHECK(held.dropUnconfirmedServers().removed == std::vector{EndpointId("i-2")});
  }
}

TEST_CASE("a server that went is not used because the copy still lists it") {
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
    // Who was told of it by this node hears of its end.
    CHECK(held.serversSince(at(2, 45)).removed_servers == std::vector{EndpointId("i-2")});
  }
  SUBCASE("also when a list of the same era tells it again") {
    CHECK(held.updateServers(copy, true).empty());
    CHECK(held.servers().doubted() == 1);
  }
  SUBCASE("it is there after all: its entry stays") {
    CHECK(idsOf(held.acceptDoubtedServers().updated) == Ids{"i-2"});
  }
  SUBCASE("it is there after all: its entry changes") {
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

TEST_CASE("a node of an earlier era is told all servers, one of a later era nothing") {
  HeldState held = makeHeld();
  held.updateServers(makeBatch(at(2, 30), {makeServer("i-1", at(2, 10))}), true);
  CHECK(held.hasServersSince(at(1, 1000)));
  const Result<StateUpdate> told =
      decodeStateUpdate(encodeStateUpdate(held.serversSince(at(1, 1000))));
  REQUIRE(told.has_value());
  CHECK(told->is_complete);
  CHECK(told->revision == at(2, 30));
  // Not i-2: the other node waits for it by itself, or never knew it.
  CHECK(idsOf(told->servers) == Ids{"i-1"});
  CHECK(told->servers.front().revision == at(2, 10));
  CHECK_FALSE(held.hasServersSince(at(3, 1)));
  CHECK_FALSE(held.hasConfigurationSince(Version(0), at(3, 1)));
}

TEST_CASE("the version in force stays when the copy has an older one, and a later one follows") {
  HeldState held;
  held.updateConfiguration(makeVersion(at(1, 50), 7));
  CHECK_FALSE(held.updateConfiguration(makeVersion(at(2, 20), 5)));
  CHECK(held.version() == Version(7));
  CHECK(held.revision(Topic::kConfiguration) == at(2, 20));
  CHECK(held.updateConfiguration(makeVersion(at(2, 21), 8)));
  SUBCASE("also when a node that has not heard of the restore tells it") {
    CHECK(held.updateConfiguration(makeVersion(at(1, 60), 9)));
    CHECK(held.version() == Version(9));
    CHECK(held.revision(Topic::kConfiguration) == at(2, 21));
  }
}

TEST_CASE("drained zones stand across a restore until an operator writes again") {
  const ZoneId north("north");
  const ZoneId south("south");
  HeldState held;
  held.updateConfiguration(makeZones(at(1, 50), {{north, true, at(1, 45)}}, true));
  SUBCASE("the copy lacks one") {
    CHECK_FALSE(held.updateConfiguration(makeZones(at(2, 30), {}, true)));
    CHECK(held.drainedZones() == std::set{north});
    SUBCASE("which is written again, and taken back later") {
      held.updateConfiguration(makeZones(at(2, 31), {{north, true, at(2, 31)}}, false));
      CHECK_FALSE(held.settleZones());
      CHECK(held.updateConfiguration(makeZones(at(2, 32), {{north, false, at(2, 32)}}, false)));
    }
    SUBCASE("which is not written again") { CHECK(held.settleZones()); }
    SUBCASE("which another node tells as written, and later as taken back") {
      held.updateConfiguration(makeZones(at(2, 31), {{north, true}}, true));
      CHECK(held.updateConfiguration(makeZones(at(2, 32), {}, true)));
    }
  }
  SUBCASE("the copy has one that was taken back") {
    const WatchBatch copy =
        makeZones(at(2, 30), {{north, true, at(2, 20)}, {south, true, at(2, 20)}}, true);
    CHECK_FALSE(held.updateConfiguration(copy));
    SUBCASE("and that is drained again") {
      CHECK(held.updateConfiguration(makeZones(at(2, 31), {{south, true, at(2, 31)}}, false)));
    }
    SUBCASE("and that nobody takes back again") { CHECK(held.settleZones()); }
    CHECK(held.drainedZones() == std::set{north, south});
  }
  SUBCASE("one that was drained after all that was known here counts") {
    CHECK(held.updateConfiguration(
        makeZones(at(2, 60), {{north, true, at(2, 45)}, {south, true, at(2, 55)}}, true)));
  }
}

TEST_CASE("what was held across a restore ends by itself") {
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
  // A second restore begins the waits anew.
  settling.onRestored(Topic::kServers);
  environment.advance(milliseconds(1900));
  CHECK(all.empty());
  // Nobody can write while the source is away again.
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
  // What has ended does not begin anew.
  all = {};
  settling.onSourceFailed(Topic::kServers);
  environment.advance(seconds(10));
  CHECK(all.empty());
}

}  // namespace coursepond::source
