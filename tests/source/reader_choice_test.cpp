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
  const std::vector<NodeMachine> readers = chooseReaders(machines, {});
  std::mt19937 random(5);
  for (int round = 0; round < 20; ++round) {
    std::shuffle(machines.begin(), machines.end(), random);
    CHECK(chooseReaders(machines, {}) == readers);
  }
}

TEST_CASE("readers are few and stand in different zones") {
  for (const std::size_t count : {1, 2, 3, 13, 74, 300, 3100}) {
    CAPTURE(count);
    const std::vector<NodeMachine> readers = chooseReaders(makeMachines(count, 3), {});
    CHECK(readers.size() == std::min(count, std::max<std::size_t>(3, (count + 23) / 24)));
    std::set<ZoneId> zones;
    for (const NodeMachine& reader : readers) zones.insert(reader.zone);
    CHECK(zones.size() == std::min<std::size_t>(count, 3));
  }
}

TEST_CASE("the own zone's reader is asked first, and a failed one's nodes spread") {
  const std::vector<NodeMachine> machines = makeMachines(300, 3);
  const std::vector<NodeMachine> readers = chooseReaders(machines, {});
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
  CHECK(chooseReaders({}, {}).empty());
  CHECK(askingOrder({"10.0.0.1", ZoneId("a")}, {}).empty());
}

}  // namespace coursepond::source
