#pragma once

/// Selects the peers a Replica sends to, from push trees and at random, based on the membership
/// view.

#include <cstddef>
#include <optional>
#include <vector>

#include "core/environment.h"
#include "distribution/messages.h"
#include "membership/view.h"

namespace coursepond::distribution {

/// One recipient of a push, and how it forwards the push.
struct PushTarget {
  NodeId to;
  ForwardMode spread = ForwardMode::kDirect;
  friend bool operator==(const PushTarget&, const PushTarget&) = default;
};

/// Remembers in which forward modes an update has already been forwarded, so that each mode is
/// used only once.
class SpreadProgress {
 public:
  /// Marks the mode as used. Returns true the first time it is called with this mode.
  bool markUsed(ForwardMode spread) {
    const auto bit = static_cast<std::uint8_t>(1U << static_cast<unsigned>(spread));
    const bool first = (used_ & bit) == 0;
    used_ = static_cast<std::uint8_t>(used_ | bit);
    return first;
  }
  void reset() { used_ = 0; }

 private:
  std::uint8_t used_ = 0;
};

/// The forward modes in which one update must still be forwarded, and those already used.
struct PendingSpread {
  std::vector<ForwardMode> due;
  SpreadProgress progress;

  /// Marks the mode as due unless it was used before. Returns whether it was marked.
  bool add(ForwardMode spread) {
    if (!progress.markUsed(spread)) return false;
    due.push_back(spread);
    return true;
  }
};

/// The peers of one node under its current view.
///
/// Push trees: each of the first two distributors of the node's zone is the root of a tree over the
/// members of the zone, with a bounded number of children per node. The first tree orders members
/// by ascending id, the second by descending id. An inner node of one tree is thus usually a leaf
/// of the other, and the failure of one node costs its subtree only one of two copies. If the views
/// of members differ, some nodes may be missed; anti-entropy brings them up to date.
class Peers {
 public:
  Peers(NodeId self, ZoneId zone, std::size_t fanout, Environment& environment);

  void update(const membership::View& view);
  const membership::View& view() const { return view_; }

  /// Returns where to forward an update that arrived with `spread`.
  std::vector<PushTarget> targets(ForwardMode spread) const;
  /// Returns where to send an update that originates at this node: to every reachable zone.
  std::vector<PushTarget> originTargets() const;

  /// Returns the subset of originTargets() in other zones.
  std::vector<PushTarget> remoteZoneTargets() const;
  /// Returns whether this node is the root that forwards endpoint sets with this hash. If there are
  /// two distributors, each of them forwards half of the sets.
  bool isTreeRootFor(std::uint64_t hash) const;

  /// Returns the distributors of the node's zone (at most two) except this node.
  std::vector<NodeId> otherLocalDistributors() const;
  bool isDistributor() const { return rooted_tree_.has_value(); }

  /// Returns the zone of the node according to the view, or nothing if the view does not contain
  /// it.
  std::optional<ZoneId> zoneOf(const NodeId& node) const;

  /// Returns a random other member of the node's zone.
  std::optional<NodeId> randomLocalPeer() const;
  /// Returns a random one of the few members of its zone to which this node has connections anyway.
  /// Regular exchanges with arbitrary members would keep a connection to every member open.
  std::optional<NodeId> randomNeighbour() const;
  /// Returns a random contact of a random other zone, which may be unreachable.
  std::optional<NodeId> randomRemoteZonePeer() const;
  /// Returns one random contact of each other zone.
  std::vector<NodeId> onePeerPerRemoteZone() const;
  /// Returns the number of other members of the node's zone.
  std::size_t otherLocalMemberCount() const;

 private:
  std::vector<PushTarget> treeChildren(ForwardMode tree) const;
  std::optional<NodeId> randomMember(const membership::ZoneView& zone) const;
  const std::vector<membership::Member>& localMembers() const;

  NodeId self_;
  ZoneId zone_;
  std::size_t fanout_;
  Environment& environment_;
  membership::View view_;
  std::vector<NodeId> neighbours_;
  std::vector<NodeId> local_distributors_;
  std::optional<ForwardMode> rooted_tree_;  ///< The tree of which this node is the root, if any.
};

}  // namespace coursepond::distribution
