#include "proxy/server_set.h"

#include <algorithm>
#include <unordered_set>

namespace coursepond::proxy {

void ServerSet::update(const model::EndpointSet& record, std::uint32_t slots, std::size_t nodes,
                       TimePoint now) {
  const bool is_first = !zones_.contains(record.zone);
  ZoneRecord& zone = zones_[record.zone];
  if (!is_first && record.generation <= zone.generation) return;

  zone.generation = record.generation;
  removeMissing(zone, record);
  zone.members.clear();
  for (const model::Endpoint& endpoint : record.endpoints) {
    add(endpoint, is_first, slots, nodes, now);
    servers_[endpoint.id]->draining = marks_.onRecord(endpoint, record.generation, now);
    zone.members.push_back(endpoint.id);
  }
  marks_.forgetUnlisted(now, [&](const EndpointId& id) { return servers_.contains(id); });
  rebuildUsable();
}

void ServerSet::markLeaving(ServerState& server, TimePoint now) {
  const auto zone = zones_.find(server.endpoint.zone);
  const Generation generation = zone == zones_.end() ? Generation() : zone->second.generation;
  marks_.mark(server.endpoint.id, generation, now);
  if (server.draining) return;
  server.draining = true;
  rebuildUsable();
}

bool ServerSet::isUsable(const EndpointId& endpoint) const {
  const ServerState* server = find(endpoint);
  return server != nullptr && !server->draining;
}

const ServerState* ServerSet::find(const EndpointId& endpoint) const {
  const auto found = servers_.find(endpoint);
  return found == servers_.end() ? nullptr : found->second.get();
}

/// A known id with another address is another process, so only the leaving mark is kept and all
/// observed state is reset.
void ServerSet::add(const model::Endpoint& endpoint, bool was_there_before, std::uint32_t slots,
                    std::size_t nodes, TimePoint now) {
  ServerPointer& server = servers_[endpoint.id];
  if (server && server->endpoint.address == endpoint.address) {
    server->endpoint = endpoint;
    return;
  }
  server = std::make_shared<ServerState>(endpoint, slots, nodes);
  // Servers in the first record of a zone were running before this node learned of them, so they
  // are already warm.
  server->warm_since = was_there_before ? now - settings_.balancer.slow_start : now;
}

void ServerSet::removeMissing(const ZoneRecord& before, const model::EndpointSet& record) {
  std::unordered_set<EndpointId> listed;
  for (const model::Endpoint& endpoint : record.endpoints) listed.insert(endpoint.id);
  for (const EndpointId& id : before.members) {
    if (!listed.contains(id)) servers_.erase(id);
  }
}

/// Sorted by id, so that runs of the simulator do not depend on the order of a hash map.
void ServerSet::rebuildUsable() {
  usable_.clear();
  for (const auto& [id, server] : servers_) {
    if (!server->draining) usable_.push_back(server);
  }
  std::sort(usable_.begin(), usable_.end(),
            [](const ServerPointer& left, const ServerPointer& right) {
              return left->endpoint.id < right->endpoint.id;
            });
}

}  // namespace coursepond::proxy
