#include "distribution/acceptance_attempt.h"

namespace coursepond::distribution {
namespace {

/// Minimum number of machines of a zone that must store a record; a smaller zone needs all of its
/// machines.
constexpr std::size_t kMinMachinesPerZone = 2;

ZoneBallot makeZoneBallot(const membership::View& view, const membership::ZoneView& zone) {
  ZoneBallot ballot;
  for (const membership::Member& voter : membership::votersOf(view, zone.zone)) {
    ballot.voters.emplace(voter.id, VoterState::kAsked);
  }
  const std::size_t machines = std::max(zone.node_count, ballot.voters.size());
  const std::size_t majority = ballot.voters.size() / 2 + 1;
  ballot.needed = std::max(majority, std::min(kMinMachinesPerZone, machines));
  return ballot;
}

}  // namespace

Ballot::Ballot(const membership::View& view)
    : zone_count_(view.zones.size()), majority_(view.zones.size() / 2 + 1) {
  for (const auto& [id, zone] : view.zones) {
    if (!zone.reachable && id != view.own_zone) {
      continue;
    }
    ZoneBallot ballot = makeZoneBallot(view, zone);
    if (ballot.voters.size() >= ballot.needed) {
      zones_.push_back(std::move(ballot));
    }
  }
}

VoterState* Ballot::find(const NodeId& voter) {
  for (ZoneBallot& zone : zones_) {
    const auto found = zone.voters.find(voter);
    if (found != zone.voters.end()) {
      return &found->second;
    }
  }
  return nullptr;
}

void Ballot::restart() {
  for (ZoneBallot& zone : zones_) {
    for (auto& [id, state] : zone.voters) {
      state = VoterState::kAsked;
    }
  }
}

bool Ballot::granted() const {
  return majorityOf([](const ZoneBallot& zone) { return zone.granted() >= zone.needed; });
}

bool Ballot::committed() const {
  return majorityOf(
      [](const ZoneBallot& zone) { return zone.count(VoterState::kCommitted) >= zone.needed; });
}

bool Ballot::grantImpossible() const {
  return !majorityOf([](const ZoneBallot& zone) {
    return zone.voters.size() - zone.count(VoterState::kRefused) >= zone.needed;
  });
}

bool Ballot::commitImpossible() const {
  return !majorityOf([](const ZoneBallot& zone) {
    const std::size_t lost = zone.count(VoterState::kRefused) + zone.count(VoterState::kLeaseLost);
    return zone.voters.size() - lost >= zone.needed;
  });
}

std::vector<NodeId> Ballot::votersInState(VoterState state) const {
  std::vector<NodeId> voters;
  for (const ZoneBallot& zone : zones_) {
    for (const auto& [id, voter_state] : zone.voters) {
      if (voter_state == state) {
        voters.push_back(id);
      }
    }
  }
  return voters;
}

std::vector<NodeId> Ballot::allVoters() const {
  std::vector<NodeId> voters;
  for (const ZoneBallot& zone : zones_) {
    for (const auto& [id, state] : zone.voters) {
      voters.push_back(id);
    }
  }
  return voters;
}

}  // namespace coursepond::distribution
