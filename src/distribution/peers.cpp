#include "distribution/peers.h"

#include <algorithm>
#include <utility>

namespace coursepond::distribution {
namespace {

constexpr std::size_t kTrees = 2;

ForwardMode treeOf(std::size_t rank) {
  return rank == 0 ? ForwardMode::kFirstTree : ForwardMode::kSecondTree;
}
std::size_t rankOf(ForwardMode tree) { return tree == ForwardMode::kFirstTree ? 0 : 1; }

/// Returns the distributors of the zone, or its first contacts if the view contains no distributor.
std::vector<NodeId> rootsOf(const membership::View& view, const membership::ZoneView& zone) {
  std::vector<membership::Member> members = membership::distributorsOf(view, zone.zone);
  if (members.empty()) members = zone.members;
  if (members.size() > kTrees) members.resize(kTrees);
  std::vector<NodeId> roots;
  roots.reserve(members.size());
  for (const membership::Member& member : members) roots.push_back(member.id);
  return roots;
}

/// Orders the members of one zone for one push tree; position 0 is the root.
class TreeOrder {
 public:
  TreeOrder(const std::vector<membership::Member>& members, const NodeId& root, bool backwards)
      : members_(members), root_index_(indexOf(root)), backwards_(backwards) {}

  std::size_t size() const { return members_.size(); }

  /// Returns the position of the node, or nothing if it is not in the tree.
  std::optional<std::size_t> positionOf(const NodeId& node) const {
    const std::size_t index = indexOf(node);
    if (index == size() || root_index_ == size()) return std::nullopt;
    if (index == root_index_) return 0;
    const std::size_t among_others = index - (index > root_index_ ? 1 : 0);
    return 1 + (backwards_ ? size() - 2 - among_others : among_others);
  }

  /// `position` must be greater than zero and less than size().
  const NodeId& nodeAt(std::size_t position) const {
    const std::size_t among_others = backwards_ ? size() - 1 - position : position - 1;
    return members_[among_others + (among_others >= root_index_ ? 1 : 0)].id;
  }

 private:
  std::size_t indexOf(const NodeId& node) const {
    const auto place = std::lower_bound(
        members_.begin(), members_.end(), node,
        [](const membership::Member& member, const NodeId& id) { return member.id < id; });
    if (place == members_.end() || place->id != node) return members_.size();
    return static_cast<std::size_t>(place - members_.begin());
  }

  const std::vector<membership::Member>& members_;
  std::size_t root_index_;
  bool backwards_;
};

}  // namespace

Peers::Peers(NodeId self, ZoneId zone, std::size_t fanout, Environment& environment)
    : self_(std::move(self)),
      zone_(std::move(zone)),
      fanout_(std::max<std::size_t>(fanout, 1)),
      environment_(environment) {
  view_.self = self_;
  view_.own_zone = zone_;
}

void Peers::update(const membership::View& view) {
  view_ = view;
  local_distributors_.clear();
  if (const membership::ZoneView* own = view_.zone(zone_)) {
    local_distributors_ = rootsOf(view_, *own);
  }
  neighbours_.clear();
  for (const membership::Member& neighbour : membership::ringNeighbours(view_)) {
    neighbours_.push_back(neighbour.id);
  }
  rooted_tree_.reset();
  for (std::size_t rank = 0; rank < local_distributors_.size(); ++rank) {
    if (local_distributors_[rank] == self_) rooted_tree_ = treeOf(rank);
  }
}

std::vector<PushTarget> Peers::targets(ForwardMode spread) const {
  if (spread == ForwardMode::kDirect) return {};
  if (spread != ForwardMode::kZone) return treeChildren(spread);
  if (rooted_tree_) return treeChildren(*rooted_tree_);
  std::vector<PushTarget> targets;
  for (const NodeId& node : local_distributors_) targets.push_back({node, ForwardMode::kZone});
  return targets;
}

std::vector<PushTarget> Peers::originTargets() const {
  std::vector<PushTarget> targets = this->targets(ForwardMode::kZone);
  if (rooted_tree_) {
    for (const NodeId& node : otherLocalDistributors())
      targets.push_back({node, ForwardMode::kZone});
  }
  for (PushTarget& target : remoteZoneTargets()) targets.push_back(std::move(target));
  return targets;
}

std::vector<PushTarget> Peers::remoteZoneTargets() const {
  std::vector<PushTarget> targets;
  for (const auto& [id, zone] : view_.zones) {
    if (id == zone_ || !zone.reachable) continue;
    for (const NodeId& node : rootsOf(view_, zone)) targets.push_back({node, ForwardMode::kZone});
  }
  return targets;
}

bool Peers::isTreeRootFor(std::uint64_t hash) const {
  if (!rooted_tree_) return false;
  return local_distributors_.size() < kTrees || hash % kTrees == rankOf(*rooted_tree_);
}

std::vector<NodeId> Peers::otherLocalDistributors() const {
  std::vector<NodeId> others;
  for (const NodeId& node : local_distributors_) {
    if (node != self_) others.push_back(node);
  }
  return others;
}

std::optional<ZoneId> Peers::zoneOf(const NodeId& node) const {
  for (const auto& [id, zone] : view_.zones) {
    for (const membership::Member& member : zone.members) {
      if (member.id == node) return id;
    }
  }
  return std::nullopt;
}

std::optional<NodeId> Peers::randomLocalPeer() const {
  const membership::ZoneView* own = view_.zone(zone_);
  if (own == nullptr) return std::nullopt;
  return randomMember(*own);
}

std::optional<NodeId> Peers::randomNeighbour() const {
  if (neighbours_.empty()) return std::nullopt;
  return neighbours_[environment_.random(neighbours_.size())];
}

std::optional<NodeId> Peers::randomRemoteZonePeer() const {
  std::vector<const membership::ZoneView*> others;
  for (const auto& [id, zone] : view_.zones) {
    if (id != zone_ && !zone.members.empty()) others.push_back(&zone);
  }
  if (others.empty()) return std::nullopt;
  return randomMember(*others[environment_.random(others.size())]);
}

std::vector<NodeId> Peers::onePeerPerRemoteZone() const {
  std::vector<NodeId> nodes;
  for (const auto& [id, zone] : view_.zones) {
    if (id == zone_) continue;
    if (std::optional<NodeId> node = randomMember(zone)) nodes.push_back(*node);
  }
  return nodes;
}

std::size_t Peers::otherLocalMemberCount() const {
  const auto& members = localMembers();
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [this](const membership::Member& member) { return member.id != self_; }));
}

std::vector<PushTarget> Peers::treeChildren(ForwardMode tree) const {
  const std::size_t rank = rankOf(tree);
  if (rank >= local_distributors_.size()) return {};
  const TreeOrder order(localMembers(), local_distributors_[rank], rank == 1);
  const std::optional<std::size_t> position = order.positionOf(self_);
  if (!position) return {};
  std::vector<PushTarget> children;
  const std::size_t first = *position * fanout_ + 1;
  const std::size_t end = std::min(first + fanout_, order.size());
  for (std::size_t child = first; child < end; ++child) {
    children.push_back({order.nodeAt(child), tree});
  }
  return children;
}

std::optional<NodeId> Peers::randomMember(const membership::ZoneView& zone) const {
  std::vector<const membership::Member*> others;
  for (const membership::Member& member : zone.members) {
    if (member.id != self_) others.push_back(&member);
  }
  if (others.empty()) return std::nullopt;
  return others[environment_.random(others.size())]->id;
}

const std::vector<membership::Member>& Peers::localMembers() const {
  static const std::vector<membership::Member> none;
  const membership::ZoneView* own = view_.zone(zone_);
  return own == nullptr ? none : own->members;
}

}  // namespace coursepond::distribution
