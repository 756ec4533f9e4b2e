#include "source/held_state.h"

#include <doctest/doctest.h>

namespace coursepond::source {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

model::ServerEntry makeServer(const std::string& id, std::uint64_t revision) {
  model::ServerEntry server;
  server.id = EndpointId(id);
  server.service = ServiceName("stock");
  server.address = {"10.0.0.1", 80};
  server.zone = ZoneId("a");
  server.slots = 9;
  server.started_ms = 1791000000123;
  server.remaining_warm_up = milliseconds(1500);
  server.state = model::MachineState::kLeaving;
  server.revision = Generation(revision);
  return server;
}

/// Returns configuration `version` with one route that has the target latency `target`.
model::Configuration makeConfiguration(std::uint64_t version, Duration target) {
  model::Configuration configuration;
  configuration.version = Version(version);
  model::Service service;
  service.name = ServiceName("stock");
  configuration.services[service.name] = service;
  model::Route route;
  route.name = RouteName("read");
  route.service = service.name;
  route.longest_hold = milliseconds(800);
  route.target_latency = target;
  route.rank = 2;
  route.max_attempts = 3;
  route.split = {{service.name, 5}};
  configuration.routes[route.name] = route;
  configuration.limits.idle_timeout = seconds(15);
  return configuration;
}

WatchBatch makeBatch(std::uint64_t revision, std::vector<model::ServerEntry> servers) {
  WatchBatch batch;
  batch.revision = Generation(revision);
  batch.servers = std::move(servers);
  return batch;
}

WatchBatch makeBatch(std::uint64_t revision, model::Configuration configuration) {
  WatchBatch batch;
  batch.revision = Generation(revision);
  batch.configurations.push_back(
      std::make_shared<const model::Configuration>(std::move(configuration)));
  return batch;
}

/// Returns the state of a node after a list: revision 10, version 7, servers i-1 and i-2.
HeldState makeHeld() {
  HeldState held;
  held.keepVersions(3);
  CHECK(held.updateServers(makeBatch(10, {makeServer("i-1", 3), makeServer("i-2", 9)}), true));
  CHECK(held.updateConfiguration(makeBatch(10, makeConfiguration(7, milliseconds(300)))));
  return held;
}

/// Returns the update as another node receives it: encoded and decoded.
StateUpdate sent(const StateUpdate& update) {
  Result<StateUpdate> read = decodeStateUpdate(encodeStateUpdate(update));
  REQUIRE(read.has_value());
  return *read;
}

}  // namespace

TEST_CASE("a node without any state is sent everything") {
  const HeldState held = makeHeld();
  CHECK(held.hasServersSince(Generation()));
  const StateUpdate servers = sent(held.serversSince(Generation()));
  CHECK(servers.is_complete);
  CHECK(servers.revision == Generation(10));
  CHECK(servers.servers ==
        std::vector<model::ServerEntry>{makeServer("i-1", 3), makeServer("i-2", 9)});
  CHECK(servers.configuration == nullptr);

  CHECK(held.hasConfigurationSince(Version(), Generation(100)));
  const StateUpdate configuration = sent(held.configurationSince(Version()));
  CHECK(configuration.revision == Generation(10));
  CHECK(configuration.servers.empty());
  REQUIRE(configuration.configuration != nullptr);
  CHECK(*configuration.configuration == makeConfiguration(7, milliseconds(300)));
}

TEST_CASE("a node that is up to date is sent nothing") {
  HeldState held = makeHeld();
  CHECK_FALSE(held.hasServersSince(Generation(10)));
  CHECK_FALSE(held.hasConfigurationSince(Version(7), Generation(100)));
  // The source's revision increases without a relevant change.
  CHECK_FALSE(held.updateServers(makeBatch(12, std::vector<model::ServerEntry>()), false));
  CHECK_FALSE(held.updateConfiguration(makeBatch(13, std::vector<model::ServerEntry>())));
  CHECK_FALSE(held.hasServersSince(Generation(10)));
  CHECK_FALSE(held.hasConfigurationSince(Version(7), Generation(100)));
  CHECK(held.revision(Topic::kServers) == Generation(12));
  CHECK(held.revision(Topic::kConfiguration) == Generation(13));
}

TEST_CASE("an update contains the added and removed servers and the delta of the configuration") {
  HeldState held = makeHeld();
  WatchBatch changes = makeBatch(14, {makeServer("i-3", 13)});
  changes.removed_servers = {EndpointId("i-1")};
  CHECK(held.updateServers(changes, false));
  const StateUpdate servers = sent(held.serversSince(Generation(10)));
  CHECK_FALSE(servers.is_complete);
  CHECK(servers.servers == std::vector<model::ServerEntry>{makeServer("i-3", 13)});
  CHECK(servers.removed_servers == std::vector<EndpointId>{EndpointId("i-1")});

  CHECK(held.updateConfiguration(makeBatch(14, makeConfiguration(8, milliseconds(400)))));
  const StateUpdate update = sent(held.configurationSince(Version(7)));
  CHECK(update.configuration == nullptr);
  REQUIRE(update.delta.has_value());

  const model::Configuration base = makeConfiguration(7, milliseconds(300));
  const Result<WatchBatch> batch = toBatch(update, &base);
  REQUIRE(batch.has_value());
  REQUIRE(batch->configurations.size() == 1);
  CHECK(*batch->configurations[0] == makeConfiguration(8, milliseconds(400)));
}

TEST_CASE("a delta with another base than the held configuration is refused") {
  HeldState held = makeHeld();
  held.updateConfiguration(makeBatch(14, makeConfiguration(8, milliseconds(400))));
  const StateUpdate update = held.configurationSince(Version(7));
  const model::Configuration other = makeConfiguration(6, milliseconds(300));
  CHECK(toBatch(update, &other).error().kind == ErrorKind::kBaseMismatch);
  CHECK(toBatch(update, nullptr).error().kind == ErrorKind::kBaseMismatch);
}

TEST_CASE("a node with a version that is no longer kept is sent the whole configuration") {
  HeldState held = makeHeld();
  for (std::uint64_t version = 8; version < 20; ++version) {
    held.updateConfiguration(
        makeBatch(version + 10, makeConfiguration(version, milliseconds(300 + version))));
  }
  const StateUpdate update = held.configurationSince(Version(7));
  CHECK_FALSE(update.delta.has_value());
  REQUIRE(update.configuration != nullptr);
  CHECK(update.configuration->version == Version(19));
}

TEST_CASE("a lower version and an older entry change nothing") {
  HeldState held = makeHeld();
  CHECK_FALSE(held.updateServers(makeBatch(9, {makeServer("i-2", 4)}), false));
  CHECK_FALSE(held.updateConfiguration(makeBatch(9, makeConfiguration(6, milliseconds(100)))));
  CHECK(held.version() == Version(7));
  CHECK(held.revision(Topic::kServers) == Generation(10));
  CHECK(held.revision(Topic::kConfiguration) == Generation(10));
}

TEST_CASE("a server missing in a later list counts as removed, unless it came back") {
  HeldState held = makeHeld();
  CHECK(held.updateServers(makeBatch(20, {makeServer("i-2", 9)}), true));
  CHECK(held.serversSince(Generation(10)).removed_servers ==
        std::vector<EndpointId>{EndpointId("i-1")});
  held.updateServers(makeBatch(22, {makeServer("i-1", 21)}), false);
  const StateUpdate update = held.serversSince(Generation(10));
  CHECK(update.removed_servers.empty());
  CHECK(update.servers == std::vector<model::ServerEntry>{makeServer("i-1", 21)});
}

TEST_CASE(
    "a revision before the first list or before forgotten removals is answered with everything") {
  HeldState held = makeHeld();
  CHECK(held.serversSince(Generation(4)).is_complete);
  for (std::uint64_t step = 0; step < 1000; ++step) {
    const std::string id = "x-" + std::to_string(step);
    held.updateServers(makeBatch(100 + 2 * step, {makeServer(id, 100 + 2 * step)}), false);
    WatchBatch end = makeBatch(101 + 2 * step, std::vector<model::ServerEntry>());
    end.removed_servers = {EndpointId(id)};
    held.updateServers(end, false);
  }
  CHECK(held.serversSince(Generation(102)).is_complete);
  CHECK_FALSE(held.serversSince(Generation(2090)).is_complete);
}

TEST_CASE("a truncated or corrupt update is refused as a whole") {
  const HeldState held = makeHeld();
  for (const StateUpdate& update :
       {held.serversSince(Generation()), held.configurationSince(Version())}) {
    const std::string bytes = encodeStateUpdate(update);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CHECK_FALSE(decodeStateUpdate(bytes.substr(0, size)).has_value());
    }
  }
  CHECK(decodeStateUpdate("\xA0").error().kind == ErrorKind::kMalformed);
}

TEST_CASE("drained zones are sent to a node that does not know their last change") {
  HeldState held = makeHeld();
  WatchBatch batch;
  batch.revision = Generation(20);
  batch.zone_changes = {{ZoneId("north"), true}, {ZoneId("south"), true}};
  CHECK(held.updateConfiguration(batch));
  CHECK(held.drainedZones() == std::set{ZoneId("north"), ZoneId("south")});
  CHECK(held.hasConfigurationSince(Version(7), Generation(19)));
  CHECK_FALSE(held.hasConfigurationSince(Version(7), Generation(20)));

  // Also after encoding and decoding, without the configuration that the asker already holds.
  const auto update = decodeStateUpdate(encodeStateUpdate(held.configurationSince(Version(7))));
  REQUIRE(update.has_value());
  CHECK_FALSE(update->configuration);
  HeldState follower = makeHeld();
  const auto received = toBatch(*update, follower.configuration().get());
  REQUIRE(received.has_value());
  CHECK(follower.updateConfiguration(*received));
  CHECK(follower.drainedZones() == held.drainedZones());

  WatchBatch back;
  back.revision = Generation(21);
  back.zone_changes = {{ZoneId("north"), false}};
  CHECK(held.updateConfiguration(back));
  const auto later = toBatch(held.configurationSince(Version(7)), follower.configuration().get());
  CHECK(follower.updateConfiguration(*later));
  CHECK(follower.drainedZones() == std::set{ZoneId("south")});
  // A list without drained zones.
  WatchBatch list;
  list.revision = Generation(22);
  list.lists_zones = true;
  CHECK(held.updateConfiguration(list));
  CHECK(held.drainedZones().empty());
}

}  // namespace coursepond::source
