#pragma once

/// What a node holds of a watched source, kept so that it can tell another node what changed after
/// any recent revision: the servers, who went, and the last versions of the configuration. A
/// version never goes back, also when the source was restored from an older copy.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>

#include "core/ids.h"
#include "core/source_revision.h"
#include "model/configuration.h"
#include "source/held_servers.h"
#include "source/held_zones.h"
#include "source/state_update.h"
#include "source/watch_client.h"

namespace coursepond::source {

class HeldState {
 public:
  /// Takes in what a read of the source or of a peer gave about the servers.
  ServerChanges updateServers(const WatchBatch& batch, bool is_complete);
  /// The same for the configuration and the drained zones. Of an era before the one held, only
  /// versions count. Returns whether something changed.
  bool updateConfiguration(const WatchBatch& batch);

  /// See HeldServers and HeldZones: what was held across a restore, and that the source has not
  /// told again, counts no more.
  ServerChanges dropUnconfirmedServers();
  ServerChanges acceptDoubtedServers();
  bool settleZones();

  /// How many versions deltas can start from, the newest included. Whoever holds an older one is
  /// told the whole configuration.
  void rememberVersions(std::size_t count);

  /// What a node that knows all servers up to `after` does not know of them.
  StateUpdate serversSince(SourceRevision after) const { return servers_.since(after); }
  bool hasServersSince(SourceRevision after) const { return servers_.hasSince(after); }
  /// The drained zones, and the configuration when it is newer than `version`: as a difference
  /// where that version is remembered.
  StateUpdate configurationSince(Version version) const;
  /// Whether a node that holds `version` and knows the drained zones up to `after` lacks something.
  bool hasConfigurationSince(Version version, SourceRevision after) const {
    return this->version() > version || zones_changed_ > after;
  }

  /// Up to which revision of the source the topic is known.
  SourceRevision revision(Topic topic) const {
    return topic == Topic::kServers ? servers_.revision() : configuration_revision_;
  }
  /// Rises whenever what is told of the topic changes, its revision included.
  std::uint64_t edition(Topic topic) const {
    return topic == Topic::kServers ? servers_edition_ : configuration_edition_;
  }
  const HeldServers& servers() const { return servers_; }
  /// Restores of the source that were seen; one counts once for each topic.
  std::uint64_t restores() const { return restores_; }
  Version version() const { return configurations_.empty() ? Version() : newest()->version; }
  /// Nothing is sent to servers in these.
  const std::set<ZoneId>& drainedZones() const { return zones_.drained(); }
  /// The newest configuration; null before the first.
  ConfigurationPointer configuration() const {
    return configurations_.empty() ? nullptr : newest();
  }

 private:
  const ConfigurationPointer& newest() const { return configurations_.back(); }
  void countRestore(SourceRevision before, SourceRevision after);
  bool hold(const ConfigurationPointer& configuration);
  void forgetVersions();
  ConfigurationPointer find(Version version) const;

  HeldServers servers_;
  HeldZones zones_;
  SourceRevision zones_changed_;  ///< Up to which the last change of the drained zones was told.
  SourceRevision configuration_revision_;
  std::uint64_t restores_ = 0;
  std::uint64_t servers_edition_ = 0;
  std::uint64_t configuration_edition_ = 0;
  std::deque<ConfigurationPointer> configurations_;  ///< Oldest first.
  std::size_t remembered_versions_ = 1;
};

}  // namespace coursepond::source
