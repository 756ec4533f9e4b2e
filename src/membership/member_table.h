#pragma once

/// The members of this node's zone, including recently dead ones, and the probing rings.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/time.h"
#include "membership/member.h"
#include "membership/messages.h"

namespace coursepond::membership {

/// All known members of one zone. Each probing ring orders the live members by a different stable
/// hash. A node probes its successor on each ring and gossips with both neighbours. The number of
/// connections per node therefore does not grow with the zone, and the union of the rings spreads
/// updates about as fast as a random graph.
class MemberTable {
 public:
  MemberTable(const Member& self, std::size_t rings, TimePoint now);

  const Member& self() const;
  /// Replaces this node's own entry.
  void setSelf(const Member& self, TimePoint now);

  /// Merges a claim about another node of the zone. Returns true if this changed the table.
  bool merge(const Member& claim, TimePoint now);

  /// Returns the entry of a node, live or dead, or nullptr if the node is unknown.
  const Member* find(const NodeId& id) const;
  /// Returns true if the node is known and alive or suspect.
  bool isLive(const NodeId& id) const;
  /// Returns when the node's entry last changed, or nullopt if the node is unknown.
  std::optional<TimePoint> changedAt(const NodeId& id) const;

  /// Returns since when the node's current process has been known here, or nullopt if the node is
  /// unknown.
  std::optional<TimePoint> processKnownSince(const NodeId& id) const;

  std::size_t liveCount() const;
  /// Returns the live members sorted by id, this node included.
  std::vector<Member> liveMembers() const;
  /// Returns all known members sorted by id, dead ones included.
  std::vector<Member> allMembers() const;
  /// Returns the members declared dead, sorted by id; members that left are not included.
  std::vector<Member> deadMembers() const;

  /// Returns the nodes to gossip with: the neighbours of this node on all rings.
  const std::vector<NodeId>& neighbours() const;
  /// Returns the ring neighbours of `id`, without this node. They can relay a probe to it.
  std::vector<NodeId> neighboursOf(const NodeId& id) const;
  /// Returns the nodes to probe: on each ring the successors up to the first that is not suspect.
  const std::vector<NodeId>& probeTargets() const;

  /// Returns the `count` live members that rank first for the duty with this salt. Leaving members
  /// rank last.
  const std::vector<NodeId>& bestFor(std::uint64_t salt, std::size_t count) const;
  /// Returns true if `id` is among the `count` first-ranked members for the duty.
  bool isBestFor(std::uint64_t salt, std::size_t count, const NodeId& id) const;

  /// Incremented with every change of the table.
  std::uint64_t version() const { return version_; }

  /// Returns a hash of all live members, their incarnations and leaving marks.
  TableDigest digest() const;

  /// Removes members that have been dead or left since before `limit`.
  void forgetDeadBefore(TimePoint limit);

 private:
  struct Entry {
    Member member;
    std::uint64_t name_hash = 0;
    TimePoint changed;
    TimePoint process_known_since;
  };
  struct RankedEntry {
    std::uint64_t rank = 0;
    const Entry* entry = nullptr;
  };
  using Ring = std::vector<RankedEntry>;

  /// Returns the live members with their ranks, unsorted.
  Ring ranked(std::uint64_t salt) const;
  Ring ring(std::size_t number) const;
  void refreshNeighbours() const;
  void changed();

  NodeId self_id_;
  std::size_t rings_;
  std::map<NodeId, Entry> entries_;

  std::uint64_t version_ = 0;

  // Computed on demand from entries_.
  mutable bool neighbours_stale_ = true;
  mutable std::vector<NodeId> neighbours_;
  mutable std::vector<NodeId> probe_targets_;
  mutable std::optional<TableDigest> digest_;
  mutable std::map<std::uint64_t, std::vector<NodeId>> best_;  ///< By salt.
};

}  // namespace coursepond::membership
