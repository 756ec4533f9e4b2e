#include "membership/gossip_queue.h"

namespace coursepond::membership {
namespace {

/// Size of an encoded zone report, in units of an encoded member.
constexpr std::size_t kReportWeight = 5;

/// Packs updates into messages of bounded weight. A member has weight 1.
class Packer {
 public:
  explicit Packer(std::size_t weight_limit) : weight_limit_(weight_limit) {}

  void add(const Member& member) { updatesWithRoomFor(1).members.push_back(member); }
  void add(const ZoneReport& report) {
    updatesWithRoomFor(kReportWeight).reports.push_back(report);
  }
  std::vector<Gossip> take() { return std::move(messages_); }

 private:
  Updates& updatesWithRoomFor(std::size_t weight) {
    if (messages_.empty() || weight_ + weight > weight_limit_) {
      messages_.emplace_back();
      weight_ = 0;
    }
    weight_ += weight;
    return messages_.back().updates;
  }

  std::size_t weight_limit_;
  std::size_t weight_ = 0;
  std::vector<Gossip> messages_;
};

}  // namespace

void GossipQueue::add(const Member& member, const NodeId& source) {
  members_[member.id] = {member, source, true, settings_.piggyback_transmissions};
  has_fresh_ = true;
}

void GossipQueue::add(const ZoneReport& report, const NodeId& source) {
  reports_[{report.summary.zone, report.reporter}] = {report, source, true,
                                                      settings_.piggyback_transmissions};
  has_fresh_ = true;
}

std::vector<Gossip> GossipQueue::freshFor(const NodeId& neighbour) const {
  Packer packer(settings_.max_updates_per_message);
  for (const auto& [id, item] : members_) {
    if (item.fresh && item.source != neighbour) {
      packer.add(item.update);
    }
  }
  for (const auto& [key, item] : reports_) {
    if (item.fresh && item.source != neighbour) {
      packer.add(item.update);
    }
  }
  return packer.take();
}

void GossipQueue::markGossiped() {
  for (auto& [id, item] : members_) {
    item.fresh = false;
  }
  std::erase_if(members_, [](const auto& entry) { return entry.second.transmissions_left == 0; });
  // Reports are not piggybacked: they are large, and a lost report is repaired through the digests.
  reports_.clear();
  has_fresh_ = false;
}

Updates GossipQueue::takePiggyback() {
  Updates updates;
  for (auto item = members_.begin();
       item != members_.end() && updates.members.size() < settings_.max_piggybacked_updates;) {
    auto& [id, queued] = *item;
    if (queued.fresh) {
      ++item;
      continue;
    }
    updates.members.push_back(queued.update);
    --queued.transmissions_left;
    item = queued.transmissions_left == 0 ? members_.erase(item) : std::next(item);
  }
  return updates;
}

}  // namespace coursepond::membership
