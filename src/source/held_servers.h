#pragma once

/// The servers that a node holds of a watched source, and who went, so that it can tell another
/// node what changed after any recent revision.
///
/// When the source was restored from a copy, its list is older than what is held:
///   - a server that was leaving goes on leaving, until another start of it is listed;
///   - a server that the copy lacks stays, unconfirmed, until it is written again or
///     dropUnconfirmed() is called;
///   - a server that went before, and that the copy still lists, is doubted: it is not used before
///     its entry changes or acceptDoubted() is called.

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/source_revision.h"
#include "model/server_entry.h"
#include "source/state_update.h"
#include "source/watch_client.h"

namespace coursepond::source {

/// What an update means to whoever uses the servers. A server is in one of the two lists at most.
struct ServerChanges {
  std::vector<model::ServerEntry> updated;
  std::vector<EndpointId> removed;

  bool empty() const { return updated.empty() && removed.empty(); }
  explicit operator bool() const { return !empty(); }
};

class HeldServers {
 public:
  /// Takes in what a read of the source or of a peer gave. `is_complete`: it lists all there are.
  ServerChanges update(const WatchBatch& batch, bool is_complete);

  /// Drops the servers of before a restore that were not written again.
  ServerChanges dropUnconfirmed();
  /// Takes in the servers that the copy listed and that are still listed.
  ServerChanges acceptDoubted();
  std::size_t unconfirmed() const { return unconfirmed_.size(); }
  std::size_t doubted() const { return doubted_.size(); }

  /// What a node that knows all servers up to `after` does not know of them. Complete when the
  /// removals after that revision are no longer remembered, or `after` is of an earlier era.
  /// Unconfirmed servers are left out: each node waits for them by itself.
  StateUpdate since(SourceRevision after) const;
  bool hasSince(SourceRevision after) const;

  /// Up to which revision of the source the servers are known.
  SourceRevision revision() const { return revision_; }

 private:
  struct Removal {
    SourceRevision revision;  ///< At or before which the server went.
    model::ServerEntry entry;
  };

  void put(const model::ServerEntry& entry, ServerChanges& changes);
  void putOfCopy(const model::ServerEntry& entry, ServerChanges& changes);
  void remove(const EndpointId& id, SourceRevision revision, ServerChanges& changes);
  void removeUnlisted(const WatchBatch& batch, ServerChanges& changes);
  void takeInCopy(const WatchBatch& batch, ServerChanges& changes);
  void store(const model::ServerEntry& entry, ServerChanges& changes);
  bool wentBefore(const model::ServerEntry& entry) const;

  SourceRevision revision_;
  SourceRevision last_change_;
  SourceRevision forgotten_until_;  ///< Removals up to this revision are no longer remembered.
  std::map<EndpointId, model::ServerEntry> servers_;
  std::set<EndpointId> unconfirmed_;                  ///< Of `servers_`.
  std::map<EndpointId, model::ServerEntry> doubted_;  ///< None of `servers_`.
  std::deque<Removal> removals_;                      ///< Oldest first.
};

}  // namespace coursepond::source
