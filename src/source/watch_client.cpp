#include "source/watch_client.h"

namespace coursepond::source {

std::string_view topicName(Topic topic) {
  return topic == Topic::kServers ? "servers" : "configuration";
}

void WatchBatch::put(model::ServerEntry entry) {
  std::erase(removed_servers, entry.id);
  servers.push_back(std::move(entry));
}

void WatchBatch::remove(const EndpointId& id) {
  std::erase_if(servers, [&](const model::ServerEntry& held) { return held.id == id; });
  removed_servers.push_back(id);
}

}  // namespace coursepond::source
