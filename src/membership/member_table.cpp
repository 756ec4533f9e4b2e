#include "membership/member_table.h"

#include <algorithm>
#include <set>

#include "membership/rank.h"

namespace coursepond::membership {
namespace {

std::uint64_t claimHash(std::uint64_t name_hash, const Member& member) {
  return mixBits(name_hash ^ mixBits(member.incarnation.value() * 2 + (member.leaving ? 1 : 0)));
}

}  // namespace

MemberTable::MemberTable(const Member& self, std::size_t rings, TimePoint now)
    : self_id_(self.id), rings_(rings) {
  entries_[self_id_] = Entry{self, stableHash(self.id.value()), now, now};
  changed();
}

const Member& MemberTable::self() const { return entries_.at(self_id_).member; }

void MemberTable::setSelf(const Member& self, TimePoint now) {
  Entry& entry = entries_.at(self_id_);
  entry.member = self;
  entry.changed = now;
  changed();
}

bool MemberTable::merge(const Member& claim, TimePoint now) {
  const auto [found, added] = entries_.try_emplace(claim.id);
  Entry& entry = found->second;
  if (added) {
    entry = Entry{claim, stableHash(claim.id.value()), now, now};
    changed();
    return true;
  }
  Member merged = mergeClaims(entry.member, claim);
  if (merged == entry.member) {
    return false;
  }
  if (!isSameProcess(entry.member.incarnation, merged.incarnation)) {
    entry.process_known_since = now;
  }
  entry.member = std::move(merged);
  entry.changed = now;
  changed();
  return true;
}

const Member* MemberTable::find(const NodeId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.member;
}

bool MemberTable::isLive(const NodeId& id) const {
  const Member* member = find(id);
  return member != nullptr && membership::isLive(*member);
}

std::optional<TimePoint> MemberTable::changedAt(const NodeId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? std::nullopt : std::optional(found->second.changed);
}

std::optional<TimePoint> MemberTable::processKnownSince(const NodeId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? std::nullopt : std::optional(found->second.process_known_since);
}

std::size_t MemberTable::liveCount() const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const auto& entry) { return membership::isLive(entry.second.member); }));
}

std::vector<Member> MemberTable::liveMembers() const {
  std::vector<Member> members;
  for (const auto& [id, entry] : entries_) {
    if (membership::isLive(entry.member)) {
      members.push_back(entry.member);
    }
  }
  return members;
}

std::vector<Member> MemberTable::allMembers() const {
  std::vector<Member> members;
  members.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) {
    members.push_back(entry.member);
  }
  return members;
}

std::vector<Member> MemberTable::deadMembers() const {
  std::vector<Member> members;
  for (const auto& [id, entry] : entries_) {
    if (entry.member.state == MemberState::kDead) {
      members.push_back(entry.member);
    }
  }
  return members;
}

const std::vector<NodeId>& MemberTable::neighbours() const {
  refreshNeighbours();
  return neighbours_;
}

const std::vector<NodeId>& MemberTable::probeTargets() const {
  refreshNeighbours();
  return probe_targets_;
}

std::vector<NodeId> MemberTable::neighboursOf(const NodeId& id) const {
  std::set<NodeId> chosen;
  for (std::size_t number = 0; number < rings_; ++number) {
    const Ring members = ring(number);
    for (std::size_t i = 0; i < members.size(); ++i) {
      if (members[i].entry->member.id == id) {
        chosen.insert(members[(i + 1) % members.size()].entry->member.id);
        chosen.insert(members[(i + members.size() - 1) % members.size()].entry->member.id);
      }
    }
  }
  chosen.erase(id);
  chosen.erase(self_id_);
  return {chosen.begin(), chosen.end()};
}

const std::vector<NodeId>& MemberTable::bestFor(std::uint64_t salt, std::size_t count) const {
  const auto [found, added] = best_.try_emplace(salt);
  if (!added) {
    return found->second;
  }
  Ring candidates = ranked(salt);
  const auto ranks_before = [](const RankedEntry& left, const RankedEntry& right) {
    const bool left_leaving = left.entry->member.leaving;
    const bool right_leaving = right.entry->member.leaving;
    return left_leaving != right_leaving ? right_leaving : left.rank < right.rank;
  };
  const std::size_t taken = std::min(count, candidates.size());
  const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(taken);
  std::partial_sort(candidates.begin(), end, candidates.end(), ranks_before);
  std::transform(candidates.begin(), end, std::back_inserter(found->second),
                 [](const RankedEntry& best) { return best.entry->member.id; });
  return found->second;
}

bool MemberTable::isBestFor(std::uint64_t salt, std::size_t count, const NodeId& id) const {
  const std::vector<NodeId>& best = bestFor(salt, count);
  return std::find(best.begin(), best.end(), id) != best.end();
}

TableDigest MemberTable::digest() const {
  if (!digest_) {
    std::uint64_t sum = 0;
    for (const auto& [id, entry] : entries_) {
      if (membership::isLive(entry.member)) {
        sum += claimHash(entry.name_hash, entry.member);
      }
    }
    digest_ = static_cast<TableDigest>(mixBits(sum));
  }
  return *digest_;
}

void MemberTable::forgetDeadBefore(TimePoint limit) {
  std::erase_if(entries_, [&](const auto& item) {
    return !membership::isLive(item.second.member) && item.second.changed < limit;
  });
}

MemberTable::Ring MemberTable::ranked(std::uint64_t salt) const {
  Ring members;
  members.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) {
    if (membership::isLive(entry.member)) {
      members.push_back({rankOf(entry.name_hash, salt), &entry});
    }
  }
  return members;
}

MemberTable::Ring MemberTable::ring(std::size_t number) const {
  Ring members = ranked(kRingSalt + number);
  std::sort(members.begin(), members.end(), [](const RankedEntry& left, const RankedEntry& right) {
    return left.rank < right.rank;
  });
  return members;
}

void MemberTable::refreshNeighbours() const {
  if (!neighbours_stale_) {
    return;
  }
  std::set<NodeId> neighbours;
  std::set<NodeId> targets;
  for (std::size_t number = 0; number < rings_; ++number) {
    const Ring members = ring(number);
    const std::size_t size = members.size();
    const auto own = std::find_if(members.begin(), members.end(), [&](const RankedEntry& ranked) {
      return ranked.entry->member.id == self_id_;
    });
    const auto position = static_cast<std::size_t>(own - members.begin());
    neighbours.insert(members[(position + 1) % size].entry->member.id);
    neighbours.insert(members[(position + size - 1) % size].entry->member.id);
    for (std::size_t step = 1; step < size; ++step) {
      const Member& successor = members[(position + step) % size].entry->member;
      targets.insert(successor.id);
      if (successor.state == MemberState::kAlive) {
        break;
      }
    }
  }
  neighbours.erase(self_id_);
  targets.erase(self_id_);
  neighbours_.assign(neighbours.begin(), neighbours.end());
  probe_targets_.assign(targets.begin(), targets.end());
  neighbours_stale_ = false;
}

void MemberTable::changed() {
  ++version_;
  neighbours_stale_ = true;
  digest_.reset();
  best_.clear();
}

}  // namespace coursepond::membership
