#include "membership/view.h"

#include <algorithm>

#include "membership/rank.h"

namespace coursepond::membership {
namespace {

/// Returns true if `left` ranks before `right`. Equal ranks are ordered by name.
template <typename Name>
bool ranksBefore(const Name& left, const Name& right, RankSalt salt) {
  const std::uint64_t left_rank = rankOf(stableHash(left.value()), salt);
  const std::uint64_t right_rank = rankOf(stableHash(right.value()), salt);
  return left_rank != right_rank ? left_rank < right_rank : left < right;
}

bool isAliveAndStaying(const Member& member) {
  return member.state == MemberState::kAlive && !member.leaving;
}

/// Returns the members that may hold a role: those alive and not leaving; if there are none, the
/// live ones that are not leaving; if there are none either, all live ones.
std::vector<Member> roleCandidates(const std::vector<Member>& members) {
  std::vector<Member> candidates;
  const auto take = [&](auto accepts) {
    std::copy_if(members.begin(), members.end(), std::back_inserter(candidates), accepts);
    return !candidates.empty();
  };
  take(isAliveAndStaying) ||
      take([](const Member& member) { return isLive(member) && !member.leaving; }) || take(isLive);
  return candidates;
}

struct RankedMember {
  std::uint64_t rank = 0;
  const Member* member = nullptr;
};

/// Returns the members sorted by rank. Hashes each name only once, because views are large and
/// roles are computed often.
std::vector<RankedMember> sortedByRank(const std::vector<Member>& members, RankSalt salt) {
  std::vector<RankedMember> ranked;
  ranked.reserve(members.size());
  for (const Member& member : members) {
    ranked.push_back({rankOf(stableHash(member.id.value()), salt), &member});
  }
  std::sort(ranked.begin(), ranked.end(), [](const RankedMember& left, const RankedMember& right) {
    return left.rank != right.rank ? left.rank < right.rank : left.member->id < right.member->id;
  });
  return ranked;
}

void keepBest(std::vector<Member>& members, std::size_t count, RankSalt salt) {
  std::vector<Member> best;
  for (const RankedMember& ranked : sortedByRank(members, salt)) {
    if (best.size() == count) {
      break;
    }
    best.push_back(*ranked.member);
  }
  members = std::move(best);
}

std::vector<Member> bestOf(const View& view, const ZoneId& zone, std::size_t count, RankSalt salt) {
  const ZoneView* seen = view.zone(zone);
  if (seen == nullptr) {
    return {};
  }
  std::vector<Member> candidates = roleCandidates(seen->members);
  keepBest(candidates, count, salt);
  return candidates;
}

bool contains(const std::vector<Member>& members, const NodeId& id) {
  return std::any_of(members.begin(), members.end(),
                     [&](const Member& member) { return member.id == id; });
}

/// Returns the reachable zones, best-ranked for the reader role first. This node's zone counts as
/// reachable.
std::vector<const ZoneView*> readerZones(const View& view) {
  std::vector<const ZoneView*> zones;
  for (const auto& [id, zone] : view.zones) {
    if (id == view.own_zone || (zone.reachable && zone.node_count > 0)) {
      zones.push_back(&zone);
    }
  }
  std::sort(zones.begin(), zones.end(), [](const ZoneView* left, const ZoneView* right) {
    return ranksBefore(left->zone, right->zone, kReaderSalt);
  });
  return zones;
}

/// Returns the source readers of this node's zone. A suspect stays reader until it is dead, so that
/// a false suspicion does not create a third reader.
std::vector<Member> ownReaders(const ZoneView& own, std::size_t count) {
  std::vector<Member> candidates;
  std::copy_if(own.members.begin(), own.members.end(), std::back_inserter(candidates),
               [](const Member& member) { return isLive(member) && !member.leaving; });
  if (candidates.empty()) {
    candidates = own.members;
  }
  keepBest(candidates, count, kReaderSalt);
  return candidates;
}

bool isSourceReader(const View& view) {
  const std::vector<const ZoneView*> zones = readerZones(view);
  const bool cut_off = zones.size() < view.zones.size();
  const std::size_t readers = cut_off ? 1 : kSourceReaders;
  const std::size_t reader_zones = std::min(readers, zones.size());
  for (std::size_t i = 0; i < reader_zones; ++i) {
    if (zones[i]->zone == view.own_zone) {
      const std::size_t readers_here = zones.size() == 1 ? readers : 1;
      return contains(ownReaders(*zones[i], readers_here), view.self);
    }
  }
  return false;
}

}  // namespace

std::size_t View::nodeCount() const {
  std::size_t count = 0;
  for (const auto& [id, zone] : zones) {
    count += zone.node_count;
  }
  return count;
}

std::size_t View::reachableZoneCount() const {
  return static_cast<std::size_t>(std::count_if(zones.begin(), zones.end(), [&](const auto& entry) {
    return entry.first == own_zone || entry.second.reachable;
  }));
}

const ZoneView* View::zone(const ZoneId& zone) const {
  const auto found = zones.find(zone);
  return found == zones.end() ? nullptr : &found->second;
}

Roles computeRoles(const View& view) {
  Roles roles;
  if (view.zone(view.own_zone) == nullptr) {
    return roles;
  }
  roles.source_reader = isSourceReader(view);
  roles.zone_distributor = contains(distributorsOf(view, view.own_zone), view.self);
  roles.voter = contains(votersOf(view, view.own_zone), view.self);
  return roles;
}

std::vector<Member> distributorsOf(const View& view, const ZoneId& zone) {
  return bestOf(view, zone, kDistributorsPerZone, kDistributorSalt);
}

std::vector<Member> votersOf(const View& view, const ZoneId& zone) {
  return bestOf(view, zone, kVotersPerZone, kVoterSalt);
}

std::vector<Member> ringNeighbours(const View& view) {
  const ZoneView* own = view.zone(view.own_zone);
  if (own == nullptr) {
    return {};
  }
  std::vector<Member> neighbours;
  const auto add = [&](const Member& member) {
    if (member.id != view.self && !contains(neighbours, member.id)) {
      neighbours.push_back(member);
    }
  };
  for (std::size_t number = 0; number < kProbeRings; ++number) {
    const std::vector<RankedMember> ring = sortedByRank(own->members, kRingSalt + number);
    const auto self = std::find_if(ring.begin(), ring.end(), [&](const RankedMember& ranked) {
      return ranked.member->id == view.self;
    });
    if (self == ring.end()) {
      return {};
    }
    const auto position = static_cast<std::size_t>(self - ring.begin());
    add(*ring[(position + 1) % ring.size()].member);
    add(*ring[(position + ring.size() - 1) % ring.size()].member);
  }
  return neighbours;
}

std::vector<Member> ownContacts(const View& view) {
  std::vector<Member> contacts =
      bestOf(view, view.own_zone, kDistributorsPerZone + 1, kDistributorSalt);
  for (const Member& voter : bestOf(view, view.own_zone, kVotersPerZone + 1, kVoterSalt)) {
    if (!contains(contacts, voter.id)) {
      contacts.push_back(voter);
    }
  }
  for (Member& contact : contacts) {
    contact.state = MemberState::kAlive;
  }
  std::sort(contacts.begin(), contacts.end(),
            [](const Member& left, const Member& right) { return left.id < right.id; });
  return contacts;
}

}  // namespace coursepond::membership
