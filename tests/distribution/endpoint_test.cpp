#include <doctest/doctest.h>

#include <algorithm>

#include "distribution/endpoint_store.h"
#include "mesh.h"

namespace coursepond::distribution::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

model::Endpoint endpoint(const ZoneId& zone, const std::string& name) {
  return {EndpointId(name), Address{"127.0.0.1", 9000}, zone, model::MachineState::kLive};
}

model::EndpointSet endpointSet(const std::string& service, const ZoneId& zone,
                               std::uint64_t generation, const std::vector<std::string>& names) {
  model::EndpointSet set{ServiceName(service), zone, Generation(generation), {}};
  for (const std::string& name : names) set.endpoints.push_back(endpoint(zone, name));
  return set;
}

const ZoneId kWest("west");
const EndpointKey kFontsWest{ServiceName("fonts"), kWest};

std::vector<model::EndpointSet> machineList(const Mesh& mesh, const std::string& extra) {
  std::vector<model::EndpointSet> sets;
  for (const char* service : {"catalogue", "licensing", "fonts"}) {
    for (const ZoneId& zone : mesh.zoneIds()) {
      const std::string prefix = std::string(service) + zone.value();
      sets.push_back(endpointSet(service, zone, 1, {prefix + "a", prefix + "b"}));
    }
  }
  if (!extra.empty()) sets.front().endpoints.push_back(endpoint(mesh.zoneIds()[0], extra));
  return sets;
}

/// Returns whether every node holds exactly the listed servers.
bool allHold(Mesh& mesh, const std::vector<model::EndpointSet>& sets) {
  for (const Process* process : mesh.living()) {
    for (const model::EndpointSet& set : sets) {
      const auto held = process->endpoints.find({set.service, set.zone});
      if (held == process->endpoints.end()) return false;
      if (held->second.endpoints != set.endpoints) return false;
    }
  }
  return true;
}

}  // namespace

TEST_CASE("a new list changes only the sets whose servers differ") {
  EndpointStore store;
  CHECK(store
            .updateFromList({endpointSet("fonts", kWest, 1, {"a", "b", "c"}),
                             endpointSet("catalogue", kWest, 1, {"d"})})
            .size() == 2);
  const auto changes = store.updateFromList(
      {endpointSet("fonts", kWest, 2, {"c", "a", "e"}), endpointSet("catalogue", kWest, 2, {"d"})});
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].base_generation == Generation(1));
  CHECK(changes[0].upserted == std::vector{endpoint(kWest, "e")});
  CHECK(changes[0].removed == std::vector{EndpointId("b")});
}

TEST_CASE("a set that is no longer listed becomes empty") {
  EndpointStore store;
  store.updateFromList(
      {endpointSet("fonts", kWest, 1, {"a"}), endpointSet("catalogue", kWest, 1, {"d"})});
  const auto changes = store.updateFromList({endpointSet("catalogue", kWest, 2, {"d"})});
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].key == kFontsWest);
  CHECK(store.find(kFontsWest)->endpoints.empty());
}

TEST_CASE("a change applies only to its base, and the newest generation wins") {
  EndpointStore reader;
  EndpointStore store;
  const auto first = reader.updateFromList({endpointSet("fonts", kWest, 1, {"a", "b", "c"})});
  const auto second = reader.updateFromList({endpointSet("fonts", kWest, 2, {"a", "b"})});
  const auto third = reader.updateFromList({endpointSet("fonts", kWest, 3, {"a", "b", "e"})});

  CHECK(store.apply(first[0]) == EndpointOutcome::kApplied);
  CHECK(store.apply(third[0]) == EndpointOutcome::kBaseMissing);
  CHECK(store.apply(second[0]) == EndpointOutcome::kApplied);
  CHECK(store.apply(third[0]) == EndpointOutcome::kApplied);
  CHECK(store.apply(second[0]) == EndpointOutcome::kStale);
  CHECK(store.checksum() == reader.checksum());
  CHECK(*store.find(kFontsWest) == *reader.find(kFontsWest));
}

TEST_CASE("a reader with a newer list overrides a stale change it has not seen before") {
  EndpointStore other;
  other.updateFromList({endpointSet("fonts", kWest, 1, {"a"})});
  const auto flapped = other.updateFromList({endpointSet("fonts", kWest, 2, {"b"})});

  EndpointStore reader;
  reader.updateFromList({endpointSet("fonts", kWest, 1, {"a"})});
  CHECK(reader.updateFromList({endpointSet("fonts", kWest, 3, {"a"})}).empty());
  CHECK(reader.apply(flapped[0]) == EndpointOutcome::kOutdated);
  const EndpointChange reissued = reader.reissue(kFontsWest);
  CHECK(reissued.generation == Generation(3));
  CHECK(other.apply(reissued) == EndpointOutcome::kApplied);
  CHECK(other.checksum() == reader.checksum());
}

TEST_CASE("endpoint changes reach every node quickly even without a configuration") {
  Mesh mesh(3, 20, 3);
  const auto first = machineList(mesh, "");
  mesh.publishMachines(first);
  REQUIRE(mesh.runUntil([&] { return allHold(mesh, first); }, seconds(3)));
  const auto second = machineList(mesh, "late");
  mesh.publishMachines(second);
  CHECK(mesh.runUntil([&] { return allHold(mesh, second); }, milliseconds(1100)));
}

TEST_CASE("lost endpoint changes are repaired, also in a zone that was partitioned") {
  Mesh mesh(3, 10, 3);
  mesh.publish(1);
  REQUIRE(mesh.runUntil([&] { return mesh.allInForce(1); }, seconds(20)));
  mesh.cut(mesh.zoneIds()[2], true);
  mesh.faults.loss = 0.4;
  const auto sets = machineList(mesh, "new");
  mesh.publishMachines(sets);
  mesh.runFor(seconds(5));
  mesh.faults.loss = 0;
  mesh.cut(mesh.zoneIds()[2], false);
  CHECK(mesh.runUntil([&] { return allHold(mesh, sets); }, seconds(6)));
}

TEST_CASE("endpoint churn sends few bytes and does not block a version") {
  Mesh mesh(3, 20, 5);
  mesh.publish(1);
  mesh.publishMachines(machineList(mesh, ""));
  REQUIRE(mesh.runUntil([&] { return mesh.allInForce(1); }, seconds(20)));
  mesh.runFor(seconds(20));
  mesh.publish(2);
  mesh.runFor(seconds(2));
  const std::uint64_t before = mesh.bytesSent();
  for (int round = 0; round < 20; ++round) {
    if (round == 10) mesh.accept(2);
    mesh.publishMachines(machineList(mesh, "churn" + std::to_string(round)));
    mesh.runFor(seconds(1));
  }
  CHECK(mesh.allInForce(2));
  CHECK((mesh.bytesSent() - before) / 20 / mesh.living().size() < 600);
}

}  // namespace coursepond::distribution::testing
