#pragma once

/// Holds a node's view of a watched source: the servers, the recently removed servers, the drained
/// zones and the last versions of the configuration. From it the node can send another node the
/// changes since any recent revision. The version never decreases, even when the source was
/// restored from an older copy.

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
  /// Applies the servers of a read from the source or from a peer.
  ServerChanges updateServers(const WatchBatch& batch, bool is_complete);
  /// Applies the configuration and the drained zones. From a batch of an earlier era than the held
  /// one, only newer versions are applied. Returns whether anything changed.
  bool updateConfiguration(const WatchBatch& batch);

  /// End the waits that follow a restore of the source; see HeldServers and HeldZones. Servers and
  /// zones that were not written again since the restore then have the state that the source lists.
  ServerChanges dropUnconfirmedServers();
  ServerChanges acceptDoubtedServers();
  bool settleZones();

  /// Sets how many versions, the newest included, are kept as bases of deltas. A node with an older
  /// version is sent the whole configuration.
  void keepVersions(std::size_t count);

  /// Returns the changes of servers since `after`.
  StateUpdate serversSince(SourceRevision after) const { return servers_.since(after); }
  bool hasServersSince(SourceRevision after) const { return servers_.hasSince(after); }
  /// Returns the drained zones, and the configuration if it is newer than `version`: as a delta if
  /// that version is still kept.
  StateUpdate configurationSince(Version version) const;
  /// Returns whether a node that holds `version` and knows the drained zones up to `after` is
  /// stale.
  bool hasConfigurationSince(Version version, SourceRevision after) const {
    return this->version() > version || zones_changed_ > after;
  }

  /// The revision of the source up to which the topic is known.
  SourceRevision revision(Topic topic) const {
    return topic == Topic::kServers ? servers_.revision() : configuration_revision_;
  }
  /// Increases whenever the state that is sent for the topic changes, its revision included.
  std::uint64_t changeCount(Topic topic) const {
    return topic == Topic::kServers ? servers_edition_ : configuration_edition_;
  }
  const HeldServers& servers() const { return servers_; }
  /// Number of observed restores of the source. Each restore is counted once per topic.
  std::uint64_t restores() const { return restores_; }
  Version version() const { return configurations_.empty() ? Version() : newest()->version; }
  /// The zones whose servers get no requests.
  const std::set<ZoneId>& drainedZones() const { return zones_.drained(); }
  /// The newest configuration, or null before the first.
  ConfigurationPointer configuration() const {
    return configurations_.empty() ? nullptr : newest();
  }

 private:
  const ConfigurationPointer& newest() const { return configurations_.back(); }
  void countRestore(SourceRevision before, SourceRevision after);
  bool addVersion(const ConfigurationPointer& configuration);
  void dropOldVersions();
  ConfigurationPointer find(Version version) const;

  HeldServers servers_;
  HeldZones zones_;
  SourceRevision zones_changed_;  ///< Revision of the batch that last changed the drained zones.
  SourceRevision configuration_revision_;
  std::uint64_t restores_ = 0;
  std::uint64_t servers_edition_ = 0;
  std::uint64_t configuration_edition_ = 0;
  std::deque<ConfigurationPointer> configurations_;  ///< Oldest first.
  std::size_t remembered_versions_ = 1;
};

}  // namespace coursepond::source
