#pragma once

/// A simulated mesh of membership nodes on a virtual network, with fault injection.

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "membership/membership.h"
#include "support/virtual_network.h"

namespace coursepond::membership {

inline NodeId nodeName(const std::string& zone, int number) {
  return NodeId(zone + "-" + std::to_string(1000 + number));
}

/// One process of a node.
class MeshNode final : public MembershipObserver {
 public:
  MeshNode(testing::VirtualTime& time, testing::VirtualNetwork<Message>& network, Member self,
           const Settings& settings, std::uint64_t seed)
      : environment(time, seed),
        sender_(network.senderOf(self.id)),
        membership(self, settings, environment, *sender_, *this) {
    network.add(self.id, environment, [this](const NodeId& from, const Message& message) {
      membership.onMessage(from, message);
    });
  }

  void onViewChanged(const View&) override { ++view_changes; }
  void onPauseDetected(Duration pause) override { last_pause = pause; }
  void onPeerAddress(const NodeId& node, const Address& address) override {
    addresses[node] = address;
  }

  int view_changes = 0;
  Duration last_pause{};
  std::map<NodeId, Address> addresses;
  testing::VirtualEnvironment environment;

 private:
  std::unique_ptr<MessageSender<Message>> sender_;

 public:
  Membership membership;
};

class Mesh {
 public:
  explicit Mesh(std::uint64_t seed = 1, Settings settings = {})
      : settings_(settings), seed_(seed), network_(time, seed) {
    network_.setFilter([this](const NodeId& from, const NodeId& to, const Message& message) {
      bytes_[from] += encodeMessage(message).size();
      ++messages_[std::string(messageName(message))];
      if (inspect) {
        inspect(from, to, message);
      }
      return isCut(from, to) || (drop && drop(from, to, message));
    });
  }

  /// Adds nodes of a zone to the platform's list, without starting them.
  void list(const std::string& zone, int count) {
    for (int number = 0; number < count; ++number) {
      const NodeId id = nodeName(zone, number);
      const Address address{"10.0.0.1", static_cast<std::uint16_t>(1000 + listed.size())};
      listed.push_back({id, ZoneId(zone), address, model::MachineState::kLive});
    }
  }

  /// Starts a process of a listed node. A process that already runs under this id crashes first.
  MeshNode& start(const NodeId& id) {
    const auto node = std::find_if(listed.begin(), listed.end(),
                                   [&](const auto& entry) { return entry.id == id; });
    const auto incarnation =
        static_cast<std::uint64_t>(toMilliseconds(time.now().time_since_epoch()) + clock_error);
    Member self{id, node->zone, node->peer_address, Incarnation(incarnation)};
    crash(id);
    auto process = std::make_unique<MeshNode>(time, network_, self, settings_, ++seed_);
    MeshNode& started = *process;
    nodes[id] = std::move(process);
    started.membership.setListedNodes(listed);
    started.membership.start();
    return started;
  }

  void startAll() {
    for (const model::ListedNode& node : listed) {
      start(node.id);
    }
  }

  void crash(const NodeId& id) {
    network_.remove(id);
    nodes.erase(id);
  }

  /// Drops all messages between different groups. Nodes without a group can reach all nodes.
  void cut(std::map<NodeId, int> groups) { groups_ = std::move(groups); }
  void cutZones(const std::map<std::string, int>& groups) {
    groups_.clear();
    for (const model::ListedNode& node : listed) {
      const auto group = groups.find(node.zone.value());
      if (group != groups.end()) {
        groups_[node.id] = group->second;
      }
    }
  }
  void heal() { groups_.clear(); }

  const View& viewOf(const NodeId& id) const { return nodes.at(id)->membership.view(); }

  /// Returns true if every running node sees exactly the running nodes, and all zones as reachable.
  bool converged() const {
    std::map<ZoneId, std::vector<NodeId>> running;
    for (const auto& [id, node] : nodes) {
      running[node->membership.view().own_zone].push_back(id);
    }
    return std::all_of(nodes.begin(), nodes.end(), [&](const auto& entry) {
      return sees(entry.second->membership.view(), running);
    });
  }

  /// Runs until `condition` holds or `limit` has passed, and returns whether it holds. Checks only
  /// every 100 ms, because a check after each event would take too long.
  bool holdsWithin(const std::function<bool()>& condition, Duration limit) {
    constexpr Duration kStep = std::chrono::milliseconds(100);
    for (Duration waited{}; waited < limit; waited += kStep) {
      if (condition()) {
        return true;
      }
      time.runFor(kStep);
    }
    return condition();
  }

  bool convergeWithin(Duration limit) {
    return holdsWithin([this] { return converged(); }, limit);
  }

  std::vector<NodeId> readers() const {
    std::vector<NodeId> holders;
    for (const auto& [id, node] : nodes) {
      if (node->membership.roles().source_reader) {
        holders.push_back(id);
      }
    }
    return holders;
  }

  std::uint64_t deaths() const {
    std::uint64_t deaths = 0;
    for (const auto& [id, node] : nodes) {
      deaths += node->membership.statistics().deaths;
    }
    return deaths;
  }

  /// Returns the encoded bytes sent by all nodes since the reset.
  std::uint64_t bytesSent() const {
    std::uint64_t total = 0;
    for (const auto& [id, bytes] : bytes_) {
      total += bytes;
    }
    return total;
  }
  std::uint64_t mostBytesOfOneNode() const {
    std::uint64_t most = 0;
    for (const auto& [id, bytes] : bytes_) {
      most = std::max(most, bytes);
    }
    return most;
  }
  void resetBytes() {
    bytes_.clear();
    messages_.clear();
  }
  /// Returns the number of messages sent since the reset, by type.
  const std::map<std::string, std::uint64_t>& messages() const { return messages_; }

  testing::VirtualTime time;
  std::vector<model::ListedNode> listed;
  std::map<NodeId, std::unique_ptr<MeshNode>> nodes;
  std::function<bool(const NodeId&, const NodeId&, const Message&)> drop;
  std::function<void(const NodeId&, const NodeId&, const Message&)> inspect;
  std::int64_t clock_error = 0;  ///< Milliseconds added to the incarnations of new processes.
  testing::VirtualNetwork<Message>& network() { return network_; }

 private:
  static bool sees(const View& view, const std::map<ZoneId, std::vector<NodeId>>& running) {
    std::vector<NodeId> own;
    for (const Member& member : view.zones.at(view.own_zone).members) {
      own.push_back(member.id);
    }
    if (own != running.at(view.own_zone)) {
      return false;
    }
    return std::all_of(running.begin(), running.end(), [&](const auto& zone) {
      const ZoneView* seen = view.zone(zone.first);
      return seen != nullptr && seen->reachable && seen->node_count == zone.second.size();
    });
  }

  bool isCut(const NodeId& from, const NodeId& to) const {
    const auto left = groups_.find(from);
    const auto right = groups_.find(to);
    return left != groups_.end() && right != groups_.end() && left->second != right->second;
  }

  Settings settings_;
  std::uint64_t seed_;
  testing::VirtualNetwork<Message> network_;
  std::map<NodeId, int> groups_;
  std::map<NodeId, std::uint64_t> bytes_;
  std::map<std::string, std::uint64_t> messages_;
};

}  // namespace coursepond::membership
