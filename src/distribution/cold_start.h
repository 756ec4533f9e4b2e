#pragma once

/// Decides when a node that has started without any state has learned enough from its peers to put
/// a configuration in force. See docs/design/COLD-START.md.

#include <cstddef>
#include <optional>
#include <set>

#include "core/ids.h"
#include "core/time.h"
#include "distribution/peers.h"
#include "distribution/settings.h"

namespace coursepond::distribution {

/// A witness is a node that knows an acceptance record. A cold node waits for answers from several
/// peers of its own zone and one peer of each other reachable zone. A single witness with a stale
/// record therefore cannot make it apply a version older than the one it had in force before its
/// restart. If there is no witness, the newest published version may be adopted after a wait.
class ColdStart {
 public:
  ColdStart(const Settings& settings, const Peers& peers, TimePoint now);

  /// Called when a peer answers a summary. `witness`: the peer knows an acceptance record.
  void onAnswer(const NodeId& from, bool witness, TimePoint now);
  /// Called when this node learns an acceptance record in any way.
  void onRecord(TimePoint now);
  /// Called when the process has been paused. Restarts the waits and discards the answers, because
  /// messages that did not arrive during the pause say nothing about the peers.
  void onPause(TimePoint now);

  /// Returns whether enough peers have answered, or enough time has passed, for the record known
  /// now to be put in force. Once true, stays true.
  bool settled(TimePoint now);

  /// Returns whether every reachable zone has answered and no witness has been found for long
  /// enough to adopt the newest published version.
  bool adoptionDue(TimePoint now) const;

 private:
  bool hasEnoughAnswers() const;
  bool everyReachableZoneAnswered() const;
  bool everyZoneReachable() const;
  std::size_t answerCount(const ZoneId& zone) const;

  const Settings& settings_;
  const Peers& peers_;
  TimePoint waiting_since_;
  std::set<NodeId> answered_;
  std::optional<TimePoint> record_learned_at_;
  bool settled_ = false;
};

}  // namespace coursepond::distribution
