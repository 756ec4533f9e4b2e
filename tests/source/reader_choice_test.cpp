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

TEST_CASE("all nodes choose the same readers, regardless of the order of the machines") {
  std::vector<NodeMachine> machines = makeMachines(74, 3);
  const std::vector<NodeMachine> readers = planReaders(machines, {}).readers;
  std::mt19937 random(5);
  for (int round = 0; round < 20; ++round) {
    std::shuffle(machines.begin(), machines.end(), random);
    CHECK(planReaders(machines, {}).readers == readers);
  }
}

TEST_CASE("a fleet of any size has few readers, and they are in different zones") {
  for (const std::size_t count : {1, 2, 3, 13, 74, 300, 984, 1968, 3100}) {
    CAPTURE(count);
    const ReaderPlan plan = planReaders(makeMachines(count, 3), {});
    const std::size_t max_readers = count > 1700 ? 6 : 3;
    CHECK(plan.readers.size() >= std::min<std::size_t>(count, 3));
    CHECK(plan.readers.size() <= max_readers);
    std::set<ZoneId> zones;
    for (const NodeMachine& reader : plan.readers) zones.insert(reader.zone);
    CHECK(zones.size() == std::min<std::size_t>(count, 3));
  }
}

// Guards against a number of readers that grows with the number of nodes: each read of the source
// has a cost.
TEST_CASE(
    "the readers at most double with four times the nodes, and no node answers more than 24 "
    "others") {
  constexpr std::size_t kMaxAsked = 24;
  const std::size_t few = planReaders(makeMachines(775, 6), {}).readers.size();
  const std::size_t many = planReaders(makeMachines(3100, 6), {}).readers.size();
  CHECK(many <= 2 * few);
  for (const std::size_t nodes : {775, 3100}) {
    CAPTURE(nodes);
    const ReaderPlan plan = planReaders(makeMachines(nodes, 6), {});
    CHECK(plan.relays.size() <= plan.readers.size() * kMaxAsked);
    CHECK(nodes <= plan.relays.size() * kMaxAsked);
  }
}

TEST_CASE("a node is a reader, a relay or a follower, and asks nodes of the level above") {
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

TEST_CASE("a node asks a relay in its own zone first, and nodes spread evenly over the relays") {
  const std::vector<NodeMachine> machines = makeMachines(300, 3);
  const std::vector<NodeMachine> readers = planReaders(machines, {}).relays;
  std::map<std::string, int> asked_first;
  for (const NodeMachine& own : machines) {
    const std::vector<std::string> order = parentOrder(own, readers);
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

TEST_CASE("no machines give no readers, no relays and nobody to ask") {
  CHECK(planReaders({}, {}).readers.empty());
  CHECK(planReaders({}, {}).relays.empty());
  CHECK(parentOrder({"10.0.0.1", ZoneId("a")}, {}).empty());
}

TEST_CASE("the standbys are the machines that would be chosen next as readers") {
  for (const std::size_t count : {12, 67, 300, 3100}) {
    CAPTURE(count);
    std::vector<NodeMachine> machines = makeMachines(count, 1);
    const ReaderPlan plan = planReaders(machines, {});
    REQUIRE(plan.standby_groups.size() == 2);
    for (const std::vector<NodeMachine>& group : plan.standby_groups)
      CHECK(group.size() == plan.readers.size());
    std::erase_if(machines, [&plan](const NodeMachine& machine) {
      return plan.roleOf(machine) == ReaderRole::kReader;
    });
    CHECK(planReaders(machines, {}).readers == plan.standby_groups.front());
  }
  // Fleets without enough machines have fewer standbys.
  CHECK(planReaders(makeMachines(3, 1), {}).standby_groups.empty());
  const ReaderPlan few = planReaders(makeMachines(7, 1), {});
  REQUIRE(few.standby_groups.size() == 2);
  CHECK(few.standby_groups[0].size() == 3);
  CHECK(few.standby_groups[1].size() == 1);
}

// Guards against nodes that wait for each other while no reader answers.
TEST_CASE("every path without the readers leads to a standby that asks no other standby") {
  for (const std::size_t count : {4, 12, 67, 300, 984}) {
    CAPTURE(count);
    const std::vector<NodeMachine> machines = makeMachines(count, 4);
    const ReaderPlan plan = planReaders(machines, {});
    const std::vector<NodeMachine>& first = plan.standby_groups.front();
    const auto isIn = [](const std::vector<NodeMachine>& group, const std::string& host) {
      return std::any_of(group.begin(), group.end(),
                         [&host](const NodeMachine& machine) { return machine.host == host; });
    };
    for (const NodeMachine& machine : machines) {
      const std::vector<std::string> path = pathOrder(machine, plan);
      CHECK(std::set<std::string>(path.begin(), path.end()).size() == path.size());
      CHECK_FALSE(std::find(path.begin(), path.end(), machine.host) != path.end());
      const auto asksFirstGroup = std::count_if(
          path.begin(), path.end(), [&](const std::string& host) { return isIn(first, host); });
      const bool is_first_standby = isIn(first, machine.host);
      CHECK(asksFirstGroup == static_cast<std::ptrdiff_t>(is_first_standby ? 0 : first.size()));
      const std::size_t readers_asked =
          plan.readers.size() - (plan.roleOf(machine) == ReaderRole::kReader ? 1 : 0);
      CHECK(std::count_if(path.begin(), path.end(), [&](const std::string& host) {
              return isIn(plan.readers, host);
            }) == static_cast<std::ptrdiff_t>(readers_asked));
    }
  }
}

}  // namespace coursepond::source
