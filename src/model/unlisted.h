#pragma once

/// Finds known servers that are missing from a complete list of servers.

#include <span>
#include <unordered_set>
#include <vector>

#include "model/server_entry.h"

namespace coursepond::model {

/// Returns the keys of `held`, a map by EndpointId, that are not in `listed`.
template <typename Map>
std::vector<EndpointId> unlistedIds(const Map& held, std::span<const ServerEntry> listed) {
  std::unordered_set<EndpointId> ids;
  for (const ServerEntry& entry : listed) ids.insert(entry.id);
  std::vector<EndpointId> unlisted;
  for (const auto& [id, value] : held) {
    if (!ids.contains(id)) unlisted.push_back(id);
  }
  return unlisted;
}

}  // namespace coursepond::model
