#pragma once

#include <map>
#include <vector>

#include "membership/member_table.h"
#include "model/endpoint.h"

namespace coursepond::membership {

/// Derives leaving marks from the platform's machine list, which lags behind reality. A mark
/// belongs to one process of a node. If the list still says "leaving" after a new process with the
/// same node id has joined, the new process is not marked until the list has said "live" in
/// between.
class LeavingMarks {
 public:
  /// Applies the newest list and returns the members of this zone to mark as leaving now. If a
  /// member is already listed as leaving when it first appears in the list, it is marked only if
  /// its process was known before `known_before`: otherwise the entry may mean an earlier process.
  std::vector<NodeId> update(const std::vector<model::ListedNode>& nodes, const MemberTable& table,
                             TimePoint known_before);

 private:
  struct Listing {
    model::MachineState state = model::MachineState::kLive;
    Incarnation incarnation;  ///< Of the process that the listing refers to.
  };

  std::map<NodeId, Listing> listings_;
};

}  // namespace coursepond::membership
