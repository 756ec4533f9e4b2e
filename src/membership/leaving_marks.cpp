#include "membership/leaving_marks.h"

#include <utility>

namespace coursepond::membership {

using model::MachineState;

std::vector<NodeId> LeavingMarks::update(const std::vector<model::ListedNode>& nodes,
                                         const MemberTable& table, TimePoint known_before) {
  std::map<NodeId, Listing> listings;
  std::vector<NodeId> to_mark;
  for (const model::ListedNode& node : nodes) {
    const Member* member = table.find(node.id);
    if (member == nullptr) {
      continue;
    }
    const auto earlier = listings_.find(node.id);
    const bool first_seen = earlier == listings_.end();
    if (node.state == MachineState::kLeaving && first_seen &&
        *table.processKnownSince(node.id) > known_before) {
      continue;  // The entry may mean an earlier process. The next list is checked again.
    }
    const bool still_leaving = node.state == MachineState::kLeaving && !first_seen &&
                               earlier->second.state == MachineState::kLeaving;
    const Incarnation incarnation =
        still_leaving ? earlier->second.incarnation : member->incarnation;
    listings[node.id] = {node.state, incarnation};
    if (node.state == MachineState::kLeaving && !member->leaving && isLive(*member) &&
        isSameProcess(incarnation, member->incarnation)) {
      to_mark.push_back(node.id);
    }
  }
  listings_ = std::move(listings);
  return to_mark;
}

}  // namespace coursepond::membership
