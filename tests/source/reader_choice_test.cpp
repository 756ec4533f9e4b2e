#include "source/reader_choice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace coursepond::source {
namespace {

std::vector<NodeMachine> makeMachines(std::size_t count, std::size_t zones) {
  std::vector<NodeMachine> machines;
  for (std::size_t number = 0; number < count; ++number) {
    machines.push_back({"10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250),
                        ZoneId("z" + std::to_string(number % zones))});
  }
  return machines;
}

}  // namespace

TEST_CASE("all nodes name the same readers, in whatever order they know the machines") {
  std::vector<NodeMachine> machines = makeMachines(74, 3);
  const std::vector<NodeMachine> readers = planReaders(machines, {}).readers;
  std::mt19937 random(5);
  for (int round = 0; round < 20; ++round) {
    std::shuffle(machines.begin(), machines.end(), random);
    CHECK(planReaders(machines, {}).readers == readers);
  }
}

TEST_CASE("readers are few whatever the fleet's size, and stand in different zones") {
  for (const std::size_t count : {1, 2, 3, 13, 74, 300, 984, 1968, 3100}) {
    CAPTURE(count);
    const ReaderPlan plan = planReaders(makeMachines(count, 3), {});
    const std::size_t most = count > 1700 ? 6 : 3;
    CHECK(plan.readers.size() >= std::min<std::size_t>(count, 3));
    CHECK(plan.readers.size() <= most);
    std::set<ZoneId> zones;
    for (const NodeMachine& reader : plan.readers) zones.insert(reader.zone);
    CHECK(zones.size() == std::min<std::size_t>(count, 3));
  }
}

// With one reader for 24 nodes, 41 nodes of 984 read the source. Their reads and those at the start
// of the fleet cost a quarter of what it served.
TEST_CASE("the reads of four times the nodes are hardly more, and nobody answers more than 24") {
  constexpr std::size_t kMostAsked = 24;
  const std::size_t few = planReaders(makeMachines(775, 6), {}).readers.size();
  const std::size_t many = planReaders(makeMachines(3100, 6), {}).readers.size();
  CHECK(many <= 2 * few);
  for (const std::size_t nodes : {775, 3100}) {
    CAPTURE(nodes);
    const ReaderPlan plan = planReaders(makeMachines(nodes, 6), {});
    CHECK(plan.relays.size() <= plan.readers.size() * kMostAsked);
    CHECK(nodes <= plan.relays.size() * kMostAsked);
  }
}

TEST_CASE("a node is a reader, a relay or a follower, and asks the ones before it") {
  const std::vector<NodeMachine> machines = makeMachines(300, 3);
  const ReaderPlan plan = planReaders(machines, {});
  REQUIRE(plan.relays.size() == 13);
  std::map<ReaderRole, std::size_t> nodes;
  for (const NodeMachine& machine : machines) ++nodes[plan.roleOf(machine)];
  CHECK(nodes[ReaderRole::kReader] == 3);
  CHECK(nodes[ReaderRole::kRelay] == 13);
  CHECK(nodes[ReaderRole::kFollower] == 284);
  CHECK(plan.parentsOf(ReaderRole::kReader) == plan.readers);
  CHECK(plan.parentsOf(ReaderRole::kRelay) == plan.readers);
  CHECK(plan.parentsOf(ReaderRole::kFollower) == plan.relays);
  // Few nodes need no relays.
  const ReaderPlan few = planReaders(makeMachines(60, 3), {});
  CHECK(few.relays.empty());
  CHECK(few.parentsOf(ReaderRole::kFollower) == few.readers);
}

TEST_CASE("the own zone's relay is asked first, and a failed one's nodes spread") {
  const std::vector<NodeMachine> machines = makeMachines(300, 3);
  const std::vector<NodeMachine> readers = planReaders(machines, {}).relays;
  std::map<std::string, int> asked_first;
  for (const NodeMachine& own : machines) {
    const std::vector<std::string> order = askingOrder(own, readers);
    CHECK(std::find(order.begin(), order.end(), own.host) == order.end());
    const auto first = std::find_if(readers.begin(), readers.end(), [&](const NodeMachine& reader) {
      return reader.host == order.front();
    });
    CHECK(first->zone == own.zone);
    ++asked_first[order.front()];
  }
  CHECK(asked_first.size() == readers.size());
  for (const auto& [host, count] : asked_first) CHECK(count < 60);
}

TEST_CASE("nobody to choose from") {
  CHECK(planReaders({}, {}).readers.empty());
  CHECK(planReaders({}, {}).relays.empty());
  CHECK(askingOrder({"10.0.0.1", ZoneId("a")}, {}).empty());
}

}  // namespace coursepond::source
