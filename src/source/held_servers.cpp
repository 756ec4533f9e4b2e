#include "source/held_servers.h"

#include <algorithm>
#include <utility>

#include "model/unlisted.h"

namespace coursepond::source {
namespace {

/// Upper bound for remembered removals. Larger than a zone, all servers of which may be removed at
/// once.
constexpr std::size_t kMaxRemovals = 512;

/// Merges two entries of the same start of a server: `held`, and `entry` from a restored source,
/// which may be older. Leaving is final, and the remaining warm-up time never increases.
model::ServerEntry mergeSameStart(const model::ServerEntry& held, model::ServerEntry entry) {
  const bool is_leaving = held.state == model::MachineState::kLeaving;
  if (is_leaving) entry.state = held.state;
  entry.remaining_warm_up = std::min(entry.remaining_warm_up, held.remaining_warm_up);
  return entry;
}

}  // namespace

ServerChanges HeldServers::update(const WatchBatch& batch, bool is_complete) {
  ServerChanges changes;
  if (batch.revision.era < revision_.era) return changes;
  const bool is_first = revision_ == SourceRevision();
  const bool is_restored = !is_first && batch.revision.era > revision_.era;
  // Removals before the first list are unknown, and revisions of different eras cannot be compared.
  if (is_first || is_restored) forgotten_until_ = batch.revision;
  if (is_restored && is_complete) {
    mergeRestoredList(batch, changes);
  } else {
    for (const model::ServerEntry& entry : batch.servers) put(entry, changes);
    for (const EndpointId& id : batch.removed_servers) remove(id, batch.revision, changes);
    if (is_complete) removeUnlisted(batch, changes);
  }
  revision_ = std::max(revision_, batch.revision);
  return changes;
}

void HeldServers::put(const model::ServerEntry& entry, ServerChanges& changes) {
  const auto held = servers_.find(entry.id);
  if (held == servers_.end()) {
    const auto doubted = doubted_.find(entry.id);
    const bool is_unchanged = doubted != doubted_.end() && doubted->second == entry;
    if (!is_unchanged) store(entry, changes);
    return;
  }
  if (entry.revision.era > held->second.revision.era) return putAfterRestore(entry, changes);
  if (entry.revision < held->second.revision) return;
  unconfirmed_.erase(entry.id);
  if (held->second == entry) return;
  store(entry, changes);
}

/// Handles an entry of a later era than the held one. The later era alone does not mean that the
/// entry is newer: it may come from an old copy.
void HeldServers::putAfterRestore(const model::ServerEntry& entry, ServerChanges& changes) {
  const model::ServerEntry& held = servers_.at(entry.id);
  if (isSameInstance(held, entry)) return store(mergeSameStart(held, entry), changes);
  if (entry.started_ms >= held.started_ms) return store(entry, changes);
  unconfirmed_.insert(entry.id);
}

void HeldServers::store(const model::ServerEntry& entry, ServerChanges& changes) {
  servers_[entry.id] = entry;
  unconfirmed_.erase(entry.id);
  doubted_.erase(entry.id);
  last_change_ = std::max(last_change_, entry.revision);
  changes.updated.push_back(entry);
}

void HeldServers::remove(const EndpointId& id, SourceRevision revision, ServerChanges& changes) {
  unconfirmed_.erase(id);
  auto held = servers_.extract(id);
  if (held) changes.removed.push_back(id);
  // Other nodes may have received a doubted server from this node and use it.
  if (!held) held = doubted_.extract(id);
  if (!held) return;
  removals_.push_back({revision, std::move(held.mapped())});
  last_change_ = std::max(last_change_, revision);
  if (removals_.size() > kMaxRemovals) {
    forgotten_until_ = removals_.front().revision;
    removals_.pop_front();
  }
}

void HeldServers::removeUnlisted(const WatchBatch& batch, ServerChanges& changes) {
  for (const EndpointId& id : model::unlistedIds(doubted_, batch.servers)) {
    remove(id, batch.revision, changes);
  }
  for (const EndpointId& id : model::unlistedIds(servers_, batch.servers)) {
    if (!unconfirmed_.contains(id)) remove(id, batch.revision, changes);
  }
}

void HeldServers::mergeRestoredList(const WatchBatch& batch, ServerChanges& changes) {
  doubted_.clear();
  for (const model::ServerEntry& entry : batch.servers) {
    if (!servers_.contains(entry.id) && wasRemoved(entry)) {
      doubted_.emplace(entry.id, entry);
    } else {
      put(entry, changes);
    }
  }
  for (const EndpointId& id : model::unlistedIds(servers_, batch.servers)) unconfirmed_.insert(id);
}

/// Returns whether this start of the server was already removed, and `entry` was not written after
/// the removal. Revision numbers remain comparable across the restore for everything that the copy
/// contains.
bool HeldServers::wasRemoved(const model::ServerEntry& entry) const {
  return std::any_of(removals_.begin(), removals_.end(), [&entry](const Removal& removal) {
    return isSameInstance(removal.entry, entry) && entry.revision.number <= removal.revision.number;
  });
}

ServerChanges HeldServers::dropUnconfirmed() {
  ServerChanges changes;
  for (const EndpointId& id : std::exchange(unconfirmed_, {})) remove(id, revision_, changes);
  return changes;
}

ServerChanges HeldServers::acceptDoubted() {
  ServerChanges changes;
  for (const auto& [id, entry] : std::exchange(doubted_, {})) store(entry, changes);
  return changes;
}

bool HeldServers::hasSince(SourceRevision after) const {
  return last_change_ > after || after < forgotten_until_;
}

StateUpdate HeldServers::since(SourceRevision after) const {
  StateUpdate update;
  update.revision = revision_;
  update.is_complete = after < forgotten_until_ || after == SourceRevision();
  for (const auto& [id, entry] : servers_) {
    const bool is_asked_for = update.is_complete || entry.revision > after;
    if (is_asked_for && !unconfirmed_.contains(id)) update.servers.push_back(entry);
  }
  if (update.is_complete) {
    for (const auto& [id, entry] : doubted_) update.servers.push_back(entry);
    return update;
  }
  for (const Removal& removal : removals_) {
    const bool is_back = servers_.contains(removal.entry.id);
    if (removal.revision > after && !is_back) update.removed_servers.push_back(removal.entry.id);
  }
  return update;
}

}  // namespace coursepond::source
