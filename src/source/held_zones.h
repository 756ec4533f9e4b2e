#pragma once

/// The zones that operators drained, as a node holds them of a watched source. When the source was
/// restored from a copy, what was held stands until an operator writes again or settle() is called:
/// the copy may lack a drained zone, or still name one that was taken back.

#include <map>
#include <set>

#include "core/ids.h"
#include "core/source_revision.h"
#include "source/watch_client.h"

namespace coursepond::source {

class HeldZones {
 public:
  /// Takes in what a read gave. `known`: up to which revision this node knew the source before.
  /// Returns whether other zones are drained by it.
  bool update(const WatchBatch& batch, SourceRevision known);
  /// The source's own word counts from now on. Returns whether other zones are drained by it.
  bool settle();

  /// Nothing is sent to servers in these.
  const std::set<ZoneId>& drained() const { return drained_; }
  /// Whether what is held differs from what the restored source told.
  bool isSettling() const { return !kept_.empty(); }

 private:
  void list(const WatchBatch& batch, SourceRevision known);
  void keepAcrossRestore(const std::map<ZoneId, SourceRevision>& listed, SourceRevision known);
  bool refresh();

  std::set<ZoneId> listed_;      ///< Drained by the source's word.
  std::map<ZoneId, bool> kept_;  ///< Drained or not by what was held before a restore.
  std::set<ZoneId> drained_;     ///< By both.
};

}  // namespace coursepond::source
