#pragma once

#include "core/address.h"
#include "core/ids.h"

namespace coursepond::membership {

enum class MemberState { kAlive, kSuspect, kDead, kLeft };

/// A claim about one node: its state as some node knows it. Claims are ordered by (incarnation,
/// state): the higher incarnation wins; with equal incarnations the later enumerator of MemberState
/// wins. Only the node itself raises its incarnation.
struct Member {
  NodeId id;
  ZoneId zone;
  Address peer_address;
  Incarnation incarnation;
  MemberState state = MemberState::kAlive;
  /// The platform is about to remove the machine, so the node must not hold roles. Once set, the
  /// mark stays for the lifetime of the process, also when the node refutes a suspicion.
  bool leaving = false;
  friend bool operator==(const Member&, const Member&) = default;
};

/// Returns true for alive and suspect members.
inline bool isLive(const Member& member) {
  return member.state == MemberState::kAlive || member.state == MemberState::kSuspect;
}

/// Returns true if both incarnations belong to the same process of a node. A refutation raises the
/// incarnation by one, while a new process starts with its start time in milliseconds.
bool isSameProcess(Incarnation left, Incarnation right);

/// Merges two claims about the same node. Commutative, associative and idempotent, so that the
/// order in which claims arrive does not matter.
Member mergeClaims(const Member& left, const Member& right);

}  // namespace coursepond::membership
