#include "egress/server_directory.h"

#include <algorithm>
#include <unordered_set>

namespace coursepond::egress {

void ServerDirectory::upsert(const model::ServerEntry& entry, TimePoint now) {
  ServerPointer& server = servers_[entry.id];
  if (server && entry.revision < server->entry.revision) return;
  if (!server || server->entry.address != entry.address) {
    server = std::make_shared<Server>();
    server->cold_until = now + entry.cold_remaining;
  }
  server->entry = entry;
  server->ingress = {
      entry.id, {entry.address.host, settings_.ingress_port}, entry.zone, entry.state};
  rebuild();
}

void ServerDirectory::remove(const EndpointId& id) {
  if (servers_.erase(id) > 0) rebuild();
}

void ServerDirectory::replaceAll(const std::vector<model::ServerEntry>& entries, TimePoint now) {
  std::unordered_set<EndpointId> listed;
  for (const model::ServerEntry& entry : entries) listed.insert(entry.id);
  std::erase_if(servers_, [&](const auto& item) { return !listed.contains(item.first); });
  for (const model::ServerEntry& entry : entries) upsert(entry, now);
  rebuild();
}

const std::vector<ServerPointer>& ServerDirectory::usable(const ServiceName& service) const {
  static const std::vector<ServerPointer> kNone;
  const auto found = usable_.find(service);
  return found == usable_.end() ? kNone : found->second;
}

void ServerDirectory::rebuild() {
  usable_.clear();
  for (const auto& [id, server] : servers_) {
    if (!server->draining()) usable_[server->entry.service].push_back(server);
  }
  for (auto& [service, servers] : usable_) {
    std::sort(servers.begin(), servers.end(),
              [](const ServerPointer& left, const ServerPointer& right) {
                return left->entry.id < right->entry.id;
              });
  }
}

}  // namespace coursepond::egress
