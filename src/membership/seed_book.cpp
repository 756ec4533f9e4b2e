#include "membership/seed_book.h"

#include <utility>

namespace coursepond::membership {
namespace {

/// Maximum number of nodes kept from reports of other zones.
constexpr std::size_t kMaxReportedNodes = 64;

Member asMember(const model::ListedNode& node) {
  Member member;
  member.id = node.id;
  member.zone = node.zone;
  member.peer_address = node.peer_address;
  member.leaving = node.state == model::MachineState::kLeaving;
  return member;
}

}  // namespace

void SeedBook::setListed(const std::vector<model::ListedNode>& nodes) {
  listed_.clear();
  listed_zones_.clear();
  std::map<ZoneId, std::vector<const model::ListedNode*>> other_zones;
  for (const model::ListedNode& node : nodes) {
    listed_zones_.insert(node.zone);
    if (node.zone != self_.zone) {
      other_zones[node.zone].push_back(&node);
    } else if (node.id != self_.id) {
      listed_[node.id] = asMember(node);
    }
  }
  // The choice is random, so that the nodes of a zone do not all contact the same few nodes of
  // another zone.
  for (auto& [zone, listed] : other_zones) {
    for (std::size_t kept = 0; kept < kSeedsPerOtherZone && kept < listed.size(); ++kept) {
      std::swap(listed[kept], listed[kept + environment_.random(listed.size() - kept)]);
      listed_[listed[kept]->id] = asMember(*listed[kept]);
    }
  }
}

void SeedBook::addReported(const Member& member) {
  if (member.id == self_.id) {
    return;
  }
  if (reported_.size() >= kMaxReportedNodes && !reported_.contains(member.id)) {
    reported_at_.erase(reported_.begin()->first);
    reported_.erase(reported_.begin());
  }
  reported_at_[member.id] = environment_.now();
  reported_[member.id] = member;
}

void SeedBook::forgetReportedBefore(TimePoint limit) {
  std::erase_if(reported_, [&](const auto& entry) { return reported_at_.at(entry.first) < limit; });
  std::erase_if(reported_at_, [&](const auto& entry) { return entry.second < limit; });
}

std::vector<Member> SeedBook::nodesOf(const ZoneId& zone) const {
  std::vector<Member> nodes;
  for (const Nodes* source : {&listed_, &reported_}) {
    for (const auto& [id, member] : *source) {
      if (member.zone == zone) {
        nodes.push_back(member);
      }
    }
  }
  return nodes;
}

const Member* SeedBook::find(const NodeId& id) const {
  for (const Nodes* source : {&reported_, &listed_}) {
    const auto found = source->find(id);
    if (found != source->end()) {
      return &found->second;
    }
  }
  return nullptr;
}

}  // namespace coursepond::membership
