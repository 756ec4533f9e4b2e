#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "model/endpoint.h"
#include "proxy/leaving_marks.h"
#include "proxy/server_state.h"
#include "proxy/settings.h"

namespace coursepond::proxy {

/// The servers of one service in all zones. Keeps their state when the endpoint records change.
class ServerSet {
 public:
  explicit ServerSet(const Settings& settings)
      : settings_(settings), marks_(settings.leaving_mark_hold) {}

  /// Applies one zone's record. Ignores a record that is not newer than the current one. Known
  /// servers keep their observed state. `slots` and `nodes` are used for new servers.
  void update(const model::EndpointSet& record, std::uint32_t slots, std::size_t nodes,
              TimePoint now);

  /// Called when the server itself announced that it is leaving.
  void markLeaving(ServerState& server, TimePoint now);

  /// Returns the servers that may take new requests: those listed and not leaving.
  const std::vector<ServerPointer>& usable() const { return usable_; }
  /// Returns all listed servers.
  const std::unordered_map<EndpointId, ServerPointer>& all() const { return servers_; }

  bool isUsable(const EndpointId& endpoint) const;
  const ServerState* find(const EndpointId& endpoint) const;

 private:
  struct ZoneRecord {
    Generation generation;
    std::vector<EndpointId> members;
  };

  void add(const model::Endpoint& endpoint, bool was_there_before, std::uint32_t slots,
           std::size_t nodes, TimePoint now);
  void removeMissing(const ZoneRecord& before, const model::EndpointSet& record);
  void rebuildUsable();

  const Settings& settings_;
  LeavingMarks marks_;
  std::map<ZoneId, ZoneRecord> zones_;
  std::unordered_map<EndpointId, ServerPointer> servers_;
  std::vector<ServerPointer> usable_;
};

}  // namespace coursepond::proxy
