#pragma once

/// Holds a node's view of the servers of a watched source, and the recently removed servers, so
/// that the node can send another node the changes since any recent revision.
///
/// After the source was restored from a copy, its list may be older than the held one:
///   - a server that was leaving remains leaving until another start of it is listed;
///   - a server that is missing in the copy is kept as unconfirmed until its entry is written again
///     or dropUnconfirmed() is called;
///   - a server that was removed, but is still listed by the copy, is doubted: it is not used until
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

/// The effect of an update on the servers in use. A server is in at most one of the two lists.
struct ServerChanges {
  std::vector<model::ServerEntry> updated;
  std::vector<EndpointId> removed;

  bool empty() const { return updated.empty() && removed.empty(); }
  explicit operator bool() const { return !empty(); }
};

class HeldServers {
 public:
  /// Applies the result of a read from the source or from a peer. `is_complete`: the batch lists
  /// all servers.
  ServerChanges update(const WatchBatch& batch, bool is_complete);

  /// Removes the servers from before a restore whose entries were not written again.
  ServerChanges dropUnconfirmed();
  /// Starts to use the doubted servers that the source still lists.
  ServerChanges acceptDoubted();
  std::size_t unconfirmed() const { return unconfirmed_.size(); }
  std::size_t doubted() const { return doubted_.size(); }

  /// Returns the changes since `after`. The update is complete when the removals since that
  /// revision are no longer remembered, or when `after` is of an earlier era. Unconfirmed servers
  /// are left out: each node waits for their entries by itself.
  StateUpdate since(SourceRevision after) const;
  bool hasSince(SourceRevision after) const;

  /// The revision of the source up to which the servers are known.
  SourceRevision revision() const { return revision_; }

 private:
  struct Removal {
    SourceRevision revision;  ///< The server was removed at or before it.
    model::ServerEntry entry;
  };

  void put(const model::ServerEntry& entry, ServerChanges& changes);
  void putAfterRestore(const model::ServerEntry& entry, ServerChanges& changes);
  void remove(const EndpointId& id, SourceRevision revision, ServerChanges& changes);
  void removeUnlisted(const WatchBatch& batch, ServerChanges& changes);
  void mergeRestoredList(const WatchBatch& batch, ServerChanges& changes);
  void store(const model::ServerEntry& entry, ServerChanges& changes);
  bool wasRemoved(const model::ServerEntry& entry) const;

  SourceRevision revision_;
  SourceRevision last_change_;
  SourceRevision forgotten_until_;  ///< Removals up to this revision are no longer remembered.
  std::map<EndpointId, model::ServerEntry> servers_;
  std::set<EndpointId> unconfirmed_;                  ///< Subset of `servers_`.
  std::map<EndpointId, model::ServerEntry> doubted_;  ///< Disjoint from `servers_`.
  std::deque<Removal> removals_;                      ///< Oldest first.
};

}  // namespace coursepond::source
