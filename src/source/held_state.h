#pragma once

/// What a node holds of a watched source, kept so that it can tell another node what changed after
/// any recent revision: the servers, who went, and the last versions of the configuration.

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "core/ids.h"
#include "model/configuration.h"
#include "model/server_entry.h"
#include "source/state_update.h"
#include "source/watch_client.h"

namespace coursepond::source {

class HeldState {
 public:
  /// Takes in what a read of the source or of a peer gave about the servers. Returns whether one
  /// changed by it.
  bool updateServers(const WatchBatch& batch, bool is_complete);
  /// The same for the configuration and the drained zones.
  bool updateConfiguration(const WatchBatch& batch);

  /// How many versions deltas can start from, the newest included. Whoever holds an older one is
  /// told the whole configuration.
  void rememberVersions(std::size_t count);

  /// What a node that knows all servers up to `after` does not know of them. Complete when the
  /// removals after that revision are no longer remembered.
  StateUpdate serversSince(Generation after) const;
  bool hasServersSince(Generation after) const;
  /// The drained zones, and the configuration when it is newer than `version`: as a difference
  /// where that version is remembered.
  StateUpdate configurationSince(Version version) const;
  /// Whether a node that holds `version` and knows the drained zones up to `after` lacks something.
  bool hasConfigurationSince(Version version, Generation after) const {
    return this->version() > version || zones_changed_ > after;
  }

  /// Up to which revision of the source the topic is known.
  Generation revision(Topic topic) const {
    return topic == Topic::kServers ? servers_revision_ : configuration_revision_;
  }
  Version version() const { return configurations_.empty() ? Version() : newest()->version; }
  /// Nothing is sent to servers in these.
  const std::set<ZoneId>& drainedZones() const { return drained_zones_; }
  /// The newest configuration; null before the first.
  ConfigurationPointer configuration() const {
    return configurations_.empty() ? nullptr : newest();
  }

 private:
  struct Removal {
    Generation revision;  ///< At or before which the server went.
    EndpointId id;
  };

  const ConfigurationPointer& newest() const { return configurations_.back(); }
  bool put(const model::ServerEntry& entry);
  bool remove(const EndpointId& id, Generation revision);
  bool removeUnlisted(const std::vector<model::ServerEntry>& listed, Generation revision);
  bool updateZones(const WatchBatch& batch);
  bool hold(const ConfigurationPointer& configuration);
  void forgetVersions();
  ConfigurationPointer find(Version version) const;

  Generation servers_revision_;
  Generation configuration_revision_;
  Generation last_change_;      ///< Of a server.
  Generation forgotten_until_;  ///< Removals up to this revision are no longer remembered.
  std::set<ZoneId> drained_zones_;
  Generation zones_changed_;  ///< Of the source, up to which the last change of these was told.
  std::map<EndpointId, model::ServerEntry> servers_;
  std::deque<Removal> removals_;                     ///< Oldest first.
  std::deque<ConfigurationPointer> configurations_;  ///< Oldest first.
  std::size_t remembered_versions_ = 1;
};

}  // namespace coursepond::source
