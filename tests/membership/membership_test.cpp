#include "membership/membership.h"

#include <doctest/doctest.h>

#include <chrono>
#include <set>

#include "membership/mesh.h"

namespace coursepond::membership {
namespace {

using namespace std::chrono_literals;

constexpr Duration kDetectionLimit = 8s;

/// Starts three zones of `zone_size` nodes and waits until they have converged.
std::unique_ptr<Mesh> startedMesh(std::uint64_t seed, int zone_size = 6,
                                  const Settings& settings = {}) {
  auto mesh = std::make_unique<Mesh>(seed, settings);
  for (const char* zone : {"a", "b", "c"}) {
    mesh->list(zone, zone_size);
  }
  mesh->startAll();
  REQUIRE(mesh->convergeWithin(30s));
  // Nodes still send join requests to peers that were unreachable at the start; wait for these.
  mesh->time.runFor(15s);
  REQUIRE(mesh->converged());
  return mesh;
}

ZoneId zoneOf(const Mesh& mesh, const NodeId& id) { return mesh.viewOf(id).own_zone; }

std::size_t countIf(const Mesh& mesh, const ZoneId& zone, bool Roles::*role) {
  return static_cast<std::size_t>(
      std::count_if(mesh.nodes.begin(), mesh.nodes.end(), [&](const auto& entry) {
        return zoneOf(mesh, entry.first) == zone && entry.second->membership.roles().*role;
      }));
}

}  // namespace

TEST_CASE("a mesh whose nodes all start at once converges and spreads its roles over the zones") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const auto mesh = startedMesh(seed);
    const std::vector<NodeId> readers = mesh->readers();
    REQUIRE(readers.size() == kSourceReaders);
    CHECK(zoneOf(*mesh, readers[0]) != zoneOf(*mesh, readers[1]));
    for (const char* zone : {"a", "b", "c"}) {
      CHECK(countIf(*mesh, ZoneId(zone), &Roles::zone_distributor) == kDistributorsPerZone);
      CHECK(countIf(*mesh, ZoneId(zone), &Roles::voter) == kVotersPerZone);
    }
    CHECK(mesh->deaths() == 0);
  }
}

TEST_CASE("other zones know the distributors and voters of a zone") {
  const auto mesh = startedMesh(1);
  const View& inside = mesh->viewOf(nodeName("b", 0));
  const View& outside = mesh->viewOf(nodeName("a", 0));
  CHECK(distributorsOf(outside, ZoneId("b")) == distributorsOf(inside, ZoneId("b")));
  CHECK(votersOf(outside, ZoneId("b")) == votersOf(inside, ZoneId("b")));
  CHECK(outside.nodeCount() == 18);
}

TEST_CASE("the observer gets the address of a node before the first message to it") {
  Mesh mesh(3);
  mesh.list("a", 4);
  mesh.list("b", 4);
  mesh.inspect = [&](const NodeId& from, const NodeId& to, const Message&) {
    CHECK(mesh.nodes.at(from)->addresses.contains(to));
  };
  mesh.startAll();
  CHECK(mesh.convergeWithin(30s));
}

TEST_CASE("a crash is detected in every zone within seconds") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const auto mesh = startedMesh(seed);
    mesh->crash(nodeName("a", 2));
    const TimePoint crashed = mesh->time.now();
    const auto gone = [&] {
      return mesh->viewOf(nodeName("a", 0)).zones.at(ZoneId("a")).node_count == 5 &&
             mesh->viewOf(nodeName("a", 5)).zones.at(ZoneId("a")).node_count == 5;
    };
    CHECK(mesh->time.runUntilTrue(gone, kDetectionLimit));
    MESSAGE("detected after ms: ", toMilliseconds(mesh->time.now() - crashed));
    CHECK(mesh->convergeWithin(20s));
  }
}

TEST_CASE("a restarted node with the same id rejoins, also if its clock was set back") {
  const auto mesh = startedMesh(7);
  const NodeId id = nodeName("a", 1);
  mesh->start(id);
  CHECK(mesh->convergeWithin(10s));
  mesh->time.runFor(1min);
  mesh->clock_error = -1'000'000;
  mesh->start(id);
  CHECK(mesh->convergeWithin(15s));
  CHECK(mesh->nodes.at(id)->membership.statistics().refutations > 0);
}

TEST_CASE("a broken link between two nodes does not cause either to be declared dead") {
  const auto mesh = startedMesh(2);
  const NodeId left = nodeName("a", 0);
  const NodeId right = nodeName("a", 1);
  mesh->drop = [&](const NodeId& from, const NodeId& to, const Message&) {
    return (from == left && to == right) || (from == right && to == left);
  };
  mesh->time.runFor(2min);
  CHECK(mesh->deaths() == 0);
  CHECK(mesh->converged());
}

TEST_CASE("lost, duplicated and reordered messages cause no node to be declared dead") {
  const auto mesh = startedMesh(4);
  mesh->network().setFaults({5, 5, 2ms, 20ms});
  mesh->time.runFor(3min);
  CHECK(mesh->deaths() == 0);
  mesh->network().setFaults({});
  CHECK(mesh->convergeWithin(10s));
}

TEST_CASE("a process that was paused has no role until peers have answered") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const auto mesh = startedMesh(seed);
    const NodeId reader = mesh->readers().front();
    MeshNode& paused = *mesh->nodes.at(reader);
    paused.environment.pauseFor(20s);
    mesh->time.runFor(10s);
    CHECK(mesh->viewOf(nodeName("a", 0)).nodeCount() <= 18);
    mesh->time.runFor(10s - 1ms);
    // No timer has run yet: the clock alone must end the roles.
    CHECK(paused.membership.roles() == Roles{});
    CHECK(mesh->readers().size() == kSourceReaders);
    CHECK(mesh->convergeWithin(10s));
    CHECK(paused.membership.statistics().pauses_detected == 1);
    CHECK(paused.last_pause >= 18s);
    CHECK(paused.membership.statistics().deaths == 0);
    mesh->time.runFor(5s);
    CHECK(mesh->readers().size() == kSourceReaders);
    CHECK(mesh->converged());
  }
}

TEST_CASE("a process that gets too little processor time declares no peer dead") {
  const auto mesh = startedMesh(21);
  MeshNode& slow = *mesh->nodes.at(nodeName("a", 0));
  // Pauses of 0.9 s, below the pause threshold, with short gaps between them.
  for (int round = 0; round < 60; ++round) {
    slow.environment.pauseFor(900ms);
    mesh->time.runFor(900ms + 50ms);
  }
  CHECK(slow.membership.statistics().deaths == 0);
  for (const auto& [id, node] : mesh->nodes) {
    const Member* other = node->membership.find(nodeName("a", 1));
    CHECK((other == nullptr || isLive(*other)));
  }
  CHECK(mesh->convergeWithin(10s));
}

TEST_CASE("a paused process that resumes while isolated holds no role at first") {
  const auto mesh = startedMesh(5);
  const NodeId reader = mesh->readers().front();
  MeshNode& paused = *mesh->nodes.at(reader);
  std::map<NodeId, int> groups{{reader, 1}};
  for (const auto& [id, node] : mesh->nodes) {
    groups.try_emplace(id, 2);
  }
  paused.environment.pauseFor(10s);
  mesh->cut(groups);
  mesh->time.runFor(10s + 1ms);
  for (int second = 0; second < 4; ++second) {
    CHECK(paused.membership.roles() == Roles{});
    mesh->time.runFor(1s);
  }
  mesh->heal();
  CHECK(mesh->convergeWithin(15s));
}

TEST_CASE("an isolated zone stays known, has one reader, and rejoins the mesh by itself") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const auto mesh = startedMesh(seed);
    mesh->cutZones({{"a", 1}, {"b", 2}, {"c", 2}});
    mesh->time.runFor(30s);
    const View& inside = mesh->viewOf(nodeName("a", 0));
    CHECK(inside.zones.size() == 3);
    CHECK(inside.reachableZoneCount() == 1);
    CHECK(inside.nodeCount() == 18);
    CHECK(mesh->viewOf(nodeName("b", 3)).reachableZoneCount() == 2);
    std::set<bool> parts;
    for (const NodeId& reader : mesh->readers()) {
      CHECK(parts.insert(zoneOf(*mesh, reader) == ZoneId("a")).second);
    }
    CHECK(parts.size() == 2);
    mesh->time.runFor(5min);
    mesh->heal();
    CHECK(mesh->convergeWithin(5s));
    CHECK(mesh->deaths() == 0);
    mesh->time.runFor(3s);
    CHECK(mesh->readers().size() == kSourceReaders);
  }
}

TEST_CASE("a zone that was split in two merges again by itself") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const auto mesh = startedMesh(seed, 8);
    std::map<NodeId, int> groups;
    for (int number = 0; number < 8; ++number) {
      groups[nodeName("a", number)] = number % 2;
    }
    mesh->cut(groups);
    mesh->time.runFor(1min);
    CHECK(mesh->viewOf(nodeName("a", 0)).zones.at(ZoneId("a")).node_count == 4);
    mesh->heal();
    CHECK(mesh->convergeWithin(15s));
  }
}

TEST_CASE("two zones that cannot reach each other stay reachable for the third zone") {
  const auto mesh = startedMesh(9);
  mesh->drop = [&](const NodeId& from, const NodeId& to, const Message&) {
    const std::set<std::string> ends{from.value().substr(0, 1), to.value().substr(0, 1)};
    return ends == std::set<std::string>{"a", "b"};
  };
  mesh->time.runFor(30s);
  CHECK_FALSE(mesh->viewOf(nodeName("a", 0)).zones.at(ZoneId("b")).reachable);
  CHECK(mesh->viewOf(nodeName("a", 0)).zones.at(ZoneId("c")).reachable);
  CHECK(mesh->viewOf(nodeName("c", 0)).reachableZoneCount() == 3);
  CHECK(mesh->readers().size() <= kSourceReaders);
  mesh->drop = nullptr;
  CHECK(mesh->convergeWithin(10s));
}

TEST_CASE("the mesh converges after half of all nodes crash and restart at once") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const auto mesh = startedMesh(seed);
    std::vector<NodeId> crashed_nodes;
    for (const auto& [id, node] : mesh->nodes) {
      if (crashed_nodes.size() * 2 < mesh->listed.size()) {
        crashed_nodes.push_back(id);
      }
    }
    for (const NodeId& id : crashed_nodes) {
      mesh->crash(id);
    }
    mesh->time.runFor(10s);
    for (const NodeId& id : crashed_nodes) {
      mesh->start(id);
    }
    CHECK(mesh->convergeWithin(15s));
  }
}

TEST_CASE("the handshake rate limit spreads the joins of a zone that starts all at once") {
  Mesh mesh(11);
  mesh.list("a", 100);
  mesh.startAll();
  std::map<NodeId, std::map<std::int64_t, int>> served;
  mesh.inspect = [&](const NodeId& from, const NodeId&, const Message& message) {
    const auto* page = std::get_if<TablePage>(&message);
    if (page != nullptr && page->last) {
      ++served[from][toMilliseconds(mesh.time.now().time_since_epoch()) / 1000];
    }
  };
  CHECK(mesh.convergeWithin(30s));
  mesh.time.runFor(10s);
  CHECK(mesh.converged());
  const Settings settings;
  // Table copies that were requested in return (send_back) are not rate limited and come on top of
  // the limited ones, hence twice the limit.
  const double limit = 2 * (settings.handshakes_per_second + settings.handshake_burst);
  for (const auto& [id, seconds] : served) {
    for (const auto& [second, count] : seconds) {
      CHECK(count <= limit);
    }
  }
}

TEST_CASE("a node is deferred with a retry time if its only seed is overloaded") {
  Mesh mesh(12);
  mesh.list("a", 60);
  const NodeId seed = nodeName("a", 0);
  const std::vector<model::ListedNode> everyone = mesh.listed;
  mesh.listed = {everyone.front()};
  mesh.start(seed);
  mesh.time.runFor(6s);
  for (std::size_t i = 1; i < everyone.size(); ++i) {
    mesh.listed = {everyone.front(), everyone[i]};
    mesh.start(everyone[i].id);
  }
  CHECK(mesh.convergeWithin(60s));
  CHECK(mesh.nodes.at(seed)->membership.statistics().joins_deferred > 0);
}

TEST_CASE("a new node finds the only live seed among dead ones within seconds") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    Mesh mesh(seed);
    mesh.list("a", 4);
    mesh.start(nodeName("a", 0));
    mesh.time.runFor(10s);
    const NodeId new_node = nodeName("a", 3);  // Its other seeds are dead.
    mesh.start(new_node);
    const auto found = [&] {
      return mesh.viewOf(new_node).zones.at(ZoneId("a")).members.size() == 2;
    };
    CHECK(mesh.time.runUntilTrue(found, 5500ms));
  }
}

TEST_CASE(
    "the last remaining node becomes reader, and the mesh converges after all nodes restart") {
  const auto mesh = startedMesh(13);
  const NodeId last = nodeName("b", 4);
  for (const model::ListedNode& node : mesh->listed) {
    if (node.id != last) {
      mesh->crash(node.id);
    }
  }
  mesh->time.runFor(30s);
  CHECK(mesh->nodes.at(last)->membership.roles().source_reader);
  CHECK(mesh->viewOf(last).zones.size() == 3);
  CHECK(mesh->viewOf(last).reachableZoneCount() == 1);
  mesh->startAll();
  CHECK(mesh->convergeWithin(30s));
}

TEST_CASE("a first node alone counts as joined after the join timeout, and not before") {
  Mesh mesh(14);
  mesh.list("a", 1);
  MeshNode& node = mesh.start(nodeName("a", 0));
  mesh.time.runFor(4s);
  CHECK_FALSE(node.membership.joined());
  CHECK(node.membership.roles() == Roles{});
  mesh.time.runFor(3s);
  CHECK(node.membership.joined());
  CHECK(node.membership.roles() == Roles{true, true, true});
}

TEST_CASE("a node that leaves is removed at once, and no node declares it dead") {
  const auto mesh = startedMesh(15);
  const NodeId id = nodeName("a", 3);
  mesh->nodes.at(id)->membership.leave();
  CHECK(mesh->nodes.at(id)->membership.roles() == Roles{});
  mesh->crash(id);
  mesh->time.runFor(1s);
  CHECK(mesh->viewOf(nodeName("a", 0)).zones.at(ZoneId("a")).node_count == 5);
  CHECK(mesh->deaths() == 0);
  CHECK(mesh->convergeWithin(20s));
}

TEST_CASE("a refuted suspicion in one zone causes no report in another") {
  const auto mesh = startedMesh(22);
  const auto reports = [&] {
    std::uint64_t count = 0;
    for (const auto& [id, node] : mesh->nodes) {
      count += node->membership.statistics().zone_reports;
    }
    return count;
  };
  const std::uint64_t before = reports();
  for (const auto& [id, node] : mesh->nodes) {
    Member claim = *node->membership.find(id);
    claim.state = MemberState::kSuspect;
    node->membership.onMessage(nodeName("a", 0), Gossip{{{claim}, {}}});
    node->membership.onMessage(nodeName("a", 1), Gossip{{{claim}, {}}});
  }
  mesh->time.runFor(20s);
  CHECK(mesh->converged());
  CHECK(reports() == before);
}

TEST_CASE(
    "a leaving mark removes the roles, lasts as long as the process, and spares a new process") {
  const auto mesh = startedMesh(16);
  const NodeId id = mesh->readers().front();
  std::vector<model::ListedNode> list = mesh->listed;
  for (model::ListedNode& node : list) {
    if (node.id == id) {
      node.state = model::MachineState::kLeaving;
    }
  }
  const auto passListToAllNodes = [&] {
    for (const auto& [name, node] : mesh->nodes) {
      node->membership.setListedNodes(list);
    }
  };
  passListToAllNodes();
  mesh->time.runFor(15s);
  REQUIRE(mesh->nodes.at(id)->membership.find(id)->leaving);
  CHECK(mesh->nodes.at(id)->membership.roles() == Roles{});
  CHECK(mesh->nodes.at(id)->membership.find(id)->leaving);
  CHECK(mesh->readers().size() == kSourceReaders);
  // Refuting a suspicion does not clear the mark.
  const Incarnation marked = mesh->nodes.at(id)->membership.find(id)->incarnation;
  Member claim = *mesh->nodes.at(id)->membership.find(id);
  claim.state = MemberState::kSuspect;
  mesh->nodes.at(id)->membership.onMessage(nodeName("a", 0), Gossip{{{claim}, {}}});
  mesh->time.runFor(3s);
  CHECK(mesh->nodes.at(id)->membership.find(id)->incarnation > marked);
  CHECK(mesh->nodes.at(id)->membership.find(id)->leaving);
  // The list still says "leaving" after the new process has started.
  mesh->listed = list;
  mesh->start(id);
  mesh->time.runFor(5s);
  passListToAllNodes();
  mesh->time.runFor(15s);
  CHECK_FALSE(mesh->nodes.at(id)->membership.find(id)->leaving);
  CHECK(mesh->nodes.at(id)->membership.roles().source_reader);
}

TEST_CASE("a late claim that a dead member is alive does not bring it back") {
  Settings settings;
  settings.dead_retention = 5min;
  const auto mesh = startedMesh(17, 6, settings);
  const NodeId id = nodeName("a", 2);
  const Member alive = *mesh->nodes.at(id)->membership.find(id);
  mesh->crash(id);
  mesh->time.runFor(2min);
  for (const auto& [name, node] : mesh->nodes) {
    node->membership.onMessage(nodeName("a", 0), Gossip{{{alive}, {}}});
  }
  CHECK(mesh->viewOf(nodeName("a", 1)).zones.at(ZoneId("a")).node_count == 5);
  mesh->time.runFor(8min);
  const NodeId other = nodeName("a", 1);
  mesh->listed.erase(std::remove_if(mesh->listed.begin(), mesh->listed.end(),
                                    [&](const auto& node) { return node.id == id; }),
                     mesh->listed.end());
  mesh->nodes.at(other)->membership.setListedNodes(mesh->listed);
  CHECK(mesh->nodes.at(other)->membership.find(id) == nullptr);
}

TEST_CASE("a lost zone is removed only after it is unlisted and has long been unreachable") {
  Settings settings;
  settings.zone_forget_after = 10min;
  const auto mesh = startedMesh(18, 6, settings);
  for (int number = 0; number < 6; ++number) {
    mesh->crash(nodeName("c", number));
  }
  mesh->time.runFor(12min);
  CHECK(mesh->viewOf(nodeName("a", 0)).zones.size() == 3);
  std::vector<model::ListedNode> list = mesh->listed;
  std::erase_if(list, [](const auto& node) { return node.zone == ZoneId("c"); });
  for (const auto& [id, node] : mesh->nodes) {
    node->membership.setListedNodes(list);
  }
  mesh->time.runFor(1min);
  CHECK(mesh->viewOf(nodeName("a", 0)).zones.size() == 2);
  CHECK(mesh->viewOf(nodeName("b", 5)).zones.size() == 2);
}

TEST_CASE("a configured zone is known before any node of it is") {
  Mesh mesh(19);
  mesh.list("a", 3);
  mesh.startAll();
  for (const auto& [id, node] : mesh.nodes) {
    node->membership.addZones({ZoneId("a"), ZoneId("b"), ZoneId("c")});
  }
  mesh.time.runFor(20s);
  CHECK(mesh.viewOf(nodeName("a", 0)).zones.size() == 3);
  CHECK(mesh.viewOf(nodeName("a", 0)).reachableZoneCount() == 1);
  CHECK(mesh.readers().size() == 1);
}

TEST_CASE("two zones converge if their seeds include only one node of the other zone") {
  Mesh mesh(20);
  mesh.list("a", 5);
  mesh.list("b", 5);
  const std::vector<model::ListedNode> everyone = mesh.listed;
  for (const model::ListedNode& node : everyone) {
    mesh.listed = {everyone.front(), node};
    mesh.start(node.id);
  }
  CHECK(mesh.convergeWithin(60s));
}

}  // namespace coursepond::membership
