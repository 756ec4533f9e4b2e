#include "model/machine_list.h"

#include <algorithm>
#include <set>
#include <utility>

#include "model/json_reader.h"

namespace coursepond::model {
namespace {

constexpr NumberRange kGenerationRange{1, kLargestExactNumber};
const std::vector<std::string_view> kStateNames = {"live", "leaving"};

Address readAddress(ObjectReader& reader) {
  const Result<Address> address = parseAddress(reader.text("address", rules::kAddress));
  return address.has_value() ? *address : Address();
}

MachineState readState(ObjectReader& reader) {
  return static_cast<MachineState>(reader.choiceOr("state", 0, kStateNames));
}

void refuseRepeatedId(std::set<std::string>& ids, const std::string& id, ObjectReader& reader) {
  if (id.empty() || ids.insert(id).second) return;
  reader.refuse("id", ErrorKind::kInvalidArgument, "'" + id + "' is used twice",
                "give each machine its own id");
}

void readNodes(ObjectReader& reader, MachineList& list) {
  std::set<std::string> ids;
  reader.requiredObjects("nodes", [&](ObjectReader& element) {
    ListedNode node;
    node.id = NodeId(element.text("id", rules::kName));
    node.zone = ZoneId(element.text("zone", rules::kName));
    node.peer_address = readAddress(element);
    node.state = readState(element);
    refuseRepeatedId(ids, node.id.value(), element);
    list.nodes.push_back(std::move(node));
  });
}

/// Collects endpoints into their sets; the map keeps the sets sorted.
class EndpointGroups {
 public:
  void add(const ServiceName& service, Endpoint endpoint) {
    groups_[{service, endpoint.zone}].push_back(std::move(endpoint));
  }

  std::vector<EndpointSet> take(Generation generation) {
    std::vector<EndpointSet> sets;
    for (auto& [key, endpoints] : groups_) {
      std::sort(endpoints.begin(), endpoints.end(),
                [](const Endpoint& left, const Endpoint& right) { return left.id < right.id; });
      sets.push_back({key.first, key.second, generation, std::move(endpoints)});
    }
    return sets;
  }

 private:
  std::map<std::pair<ServiceName, ZoneId>, std::vector<Endpoint>> groups_;
};

void readBackends(ObjectReader& reader, MachineList& list) {
  std::set<std::string> ids;
  EndpointGroups groups;
  reader.requiredObjects("backends", [&](ObjectReader& element) {
    Endpoint endpoint;
    endpoint.id = EndpointId(element.text("id", rules::kName));
    const ServiceName service(element.text("service", rules::kName));
    endpoint.zone = ZoneId(element.text("zone", rules::kName));
    endpoint.address = readAddress(element);
    endpoint.state = readState(element);
    refuseRepeatedId(ids, endpoint.id.value(), element);
    groups.add(service, std::move(endpoint));
  });
  list.endpoint_sets = groups.take(list.generation);
}

MachineList readList(std::string_view text, Mistakes& mistakes) {
  MachineList list;
  const std::optional<JsonDocument> json = parseJson(text, mistakes);
  if (!json) return list;
  ObjectReader reader(json->root(), "", mistakes);
  list.generation = Generation(reader.number("generation", kGenerationRange));
  readNodes(reader, list);
  readBackends(reader, list);
  reader.refuseUnknownKeys();
  return list;
}

}  // namespace

std::vector<DocumentMistake> checkMachineList(std::string_view json) {
  Mistakes mistakes;
  readList(json, mistakes);
  return mistakes;
}

Result<MachineList> parseMachineList(std::string_view json) {
  Mistakes mistakes;
  MachineList list = readList(json, mistakes);
  if (!mistakes.empty()) return mistakes.front().error;
  return list;
}

}  // namespace coursepond::model
