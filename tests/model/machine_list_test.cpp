#include "model/machine_list.h"

#include <doctest/doctest.h>

namespace coursepond::model {

TEST_CASE("back ends are grouped by service and zone under the list's generation") {
  const Result<MachineList> list = parseMachineList(R"({"generation": 12,
    "nodes": [{"id": "n1", "zone": "z1", "address": "10.0.0.1:7000", "state": "live"}],
    "backends": [
      {"id": "b2", "service": "s", "zone": "z1", "address": "10.0.1.2:80", "state": "leaving"},
      {"id": "b1", "service": "s", "zone": "z1", "address": "10.0.1.1:80"},
      {"id": "b3", "service": "s", "zone": "z2", "address": "10.0.2.1:80"}]})");
  REQUIRE(list.has_value());
  CHECK(list->generation == Generation(12));
  REQUIRE(list->nodes.size() == 1);
  CHECK(list->nodes[0].peer_address == Address{"10.0.0.1", 7000});
  REQUIRE(list->endpoint_sets.size() == 2);
  const EndpointSet& set = list->endpoint_sets[0];
  CHECK(set.zone == ZoneId("z1"));
  CHECK(set.generation == Generation(12));
  REQUIRE(set.endpoints.size() == 2);
  CHECK(set.endpoints[0].id == EndpointId("b1"));
  CHECK(set.endpoints[1].state == MachineState::kLeaving);
}

TEST_CASE("a list with any mistake is rejected completely") {
  const std::vector<DocumentMistake> mistakes = checkMachineList(R"({"generation": 0,
    "nodes": [{"id": "n1", "zone": "z1", "address": "localhost"},
              {"id": "n1", "zone": "z1", "address": "10.0.0.1:7000", "state": "gone"}],
    "backend": []})");
  std::vector<std::string> paths;
  for (const DocumentMistake& mistake : mistakes) paths.push_back(mistake.path);
  CHECK(paths == std::vector<std::string>{"generation", "nodes[0].address", "nodes[1].state",
                                          "nodes[1].id", "backends", ""});
  CHECK(parseMachineList("nonsense").error().kind == ErrorKind::kMalformed);
}

}  // namespace coursepond::model
