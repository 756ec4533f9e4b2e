#pragma once

/// Holds a node's view of the zones that operators drained in a watched source. After the source
/// was restored from a copy, the held state of a zone remains in effect until an operator writes
/// the zone again or settle() is called: the copy may lack a drained zone, or still list one whose
/// drain was cancelled.

#include <map>
#include <set>

#include "core/ids.h"
#include "core/source_revision.h"
#include "source/watch_client.h"

namespace coursepond::source {

class HeldZones {
 public:
  /// Applies the result of a read. `known`: the revision up to which this node knew the source
  /// before. Returns whether the set of drained zones changed.
  bool update(const WatchBatch& batch, SourceRevision known);
  /// Drops the states held across a restore: only the source's state counts from now on. Returns
  /// whether the set of drained zones changed.
  bool settle();

  /// The zones whose servers get no requests.
  const std::set<ZoneId>& drained() const { return drained_; }
  /// Returns whether states held across a restore still override the source's.
  bool isSettling() const { return !overrides_.empty(); }

 private:
  void list(const WatchBatch& batch, SourceRevision known);
  void keepAcrossRestore(const std::map<ZoneId, SourceRevision>& listed, SourceRevision known);
  bool refresh();

  std::set<ZoneId> listed_;           ///< Drained according to the source.
  std::map<ZoneId, bool> overrides_;  ///< Whether drained: states from before a restore that
                                      ///< override `listed_`.
  std::set<ZoneId> drained_;          ///< `listed_` with `overrides_` applied.
};

}  // namespace coursepond::source
