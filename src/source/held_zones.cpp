#include "source/held_zones.h"

#include <utility>

namespace coursepond::source {

bool HeldZones::update(const WatchBatch& batch, SourceRevision known) {
  if (batch.revision.era < known.era) return false;
  if (batch.lists_zones) {
    list(batch, known);
  } else {
    for (const ZoneChange& change : batch.zone_changes) {
      overrides_.erase(change.zone);
      if (change.is_drained) {
        listed_.insert(change.zone);
      } else {
        listed_.erase(change.zone);
      }
    }
  }
  return refresh();
}

void HeldZones::list(const WatchBatch& batch, SourceRevision known) {
  std::map<ZoneId, SourceRevision> listed;
  for (const ZoneChange& change : batch.zone_changes) {
    if (change.is_drained) listed.emplace(change.zone, change.revision);
  }
  const bool is_restored = known != SourceRevision() && batch.revision.era > known.era;
  if (is_restored) {
    keepAcrossRestore(listed, known);
  } else {
    // A zone whose listed state has changed was written again: its override ends.
    std::erase_if(overrides_, [&](const auto& item) {
      return listed.contains(item.first) != listed_.contains(item.first);
    });
  }
  listed_.clear();
  for (const auto& [zone, revision] : listed) listed_.insert(zone);
}

void HeldZones::keepAcrossRestore(const std::map<ZoneId, SourceRevision>& listed,
                                  SourceRevision known) {
  overrides_.clear();
  for (const ZoneId& zone : drained_) {
    if (!listed.contains(zone)) overrides_[zone] = true;
  }
  for (const auto& [zone, revision] : listed) {
    // Written after everything this node knew: a new write, not an old state from the copy.
    const bool is_newer = revision == SourceRevision() || revision.number > known.number;
    if (!drained_.contains(zone) && !is_newer) overrides_[zone] = false;
  }
}

bool HeldZones::settle() {
  overrides_.clear();
  return refresh();
}

bool HeldZones::refresh() {
  std::set<ZoneId> drained = listed_;
  for (const auto& [zone, is_drained] : overrides_) {
    if (is_drained) {
      drained.insert(zone);
    } else {
      drained.erase(zone);
    }
  }
  if (drained == drained_) return false;
  drained_ = std::move(drained);
  return true;
}

}  // namespace coursepond::source
