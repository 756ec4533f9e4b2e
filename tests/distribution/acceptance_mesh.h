#pragma once

/// A mesh of nodes on a virtual network, each with only a record, a voter and a coordinator.

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "distribution/acceptance.h"
#include "support/virtual_network.h"

namespace coursepond::testing {

using distribution::AcceptanceMessage;
using distribution::AcceptanceRecord;

inline AcceptanceRecord makeRecord(std::uint64_t version, std::uint64_t base) {
  return AcceptanceRecord{Version(version), Digest::of("content " + std::to_string(version)),
                          Version(base)};
}

/// Holds a record that never regresses.
class TestRecordStore final : public distribution::AcceptanceRecordStore {
 public:
  const AcceptanceRecord& record() const override { return record_; }
  bool offer(const AcceptanceRecord& record) override {
    if (record.version <= record_.version) {
      return false;
    }
    record_ = record;
    return true;
  }

 private:
  AcceptanceRecord record_;
};

struct AcceptanceNode {
  AcceptanceNode(VirtualTime& time, VirtualNetwork<AcceptanceMessage>& network, NodeId id,
                 ZoneId zone, std::uint64_t seed)
      : id(id),
        zone(std::move(zone)),
        environment(time, seed),
        sender(network.senderOf(id)),
        voter(environment, *sender, record_store,
              [this](const AcceptanceRecord&) { return may_grant; }),
        coordinator(id, environment, *sender, record_store, {}) {
    network.add(id, environment, [this](const NodeId& from, const AcceptanceMessage& message) {
      voter.onMessage(from, message);
      coordinator.onMessage(from, message);
    });
  }

  NodeId id;
  ZoneId zone;
  bool may_grant = true;
  VirtualEnvironment environment;
  std::unique_ptr<MessageSender<AcceptanceMessage>> sender;
  TestRecordStore record_store;
  distribution::AcceptanceVoter voter;
  distribution::AcceptanceCoordinator coordinator;
};

/// The outcome of a confirmation; empty until it is known.
using Outcome = std::shared_ptr<std::optional<Result<AcceptanceRecord>>>;

class AcceptanceMesh {
 public:
  AcceptanceMesh(std::size_t zones, std::size_t nodes_per_zone, std::uint64_t seed = 1)
      : network(time, seed) {
    for (std::size_t zone = 0; zone < zones; ++zone) {
      for (std::size_t index = 0; index < nodes_per_zone; ++index) {
        const NodeId id(std::string(1, static_cast<char>('a' + zone)) + std::to_string(index));
        const ZoneId zone_id("zone-" + std::to_string(zone));
        nodes[id] = std::make_unique<AcceptanceNode>(time, network, id, zone_id,
                                                     seed * 1000 + zone * 100 + index);
      }
    }
  }

  AcceptanceNode& node(const std::string& name) { return *nodes.at(NodeId(name)); }

  /// Returns the view of `self`. Zones separated from it by a partition are unreachable.
  membership::View viewOf(const AcceptanceNode& self) const {
    membership::View view;
    view.self = self.id;
    view.own_zone = self.zone;
    for (const auto& [id, node] : nodes) {
      membership::ZoneView& zone = view.zones[node->zone];
      zone.zone = node->zone;
      zone.members.push_back(
          membership::Member{id, node->zone, Address{"127.0.0.1", 1}, Incarnation(1)});
      zone.node_count = zone.members.size();
      zone.reachable = cut_zones.contains(node->zone) == cut_zones.contains(self.zone);
    }
    return view;
  }

  /// Partitions these zones from all others. The views of later confirmations show the partition.
  void cut(std::set<ZoneId> zones) {
    cut_zones = std::move(zones);
    cutSilently(cut_zones);
  }

  /// The same, but the views do not show the partition.
  void cutSilently(std::set<ZoneId> zones) {
    network.setFilter([this, zones](const NodeId& from, const NodeId& to, const auto&) {
      return zones.contains(nodes.at(from)->zone) != zones.contains(nodes.at(to)->zone);
    });
  }

  void heal() {
    cut_zones.clear();
    network.setFilter(nullptr);
  }

  Outcome confirm(const std::string& at, const AcceptanceRecord& proposed,
                  const std::string& plan = "plan") {
    auto outcome = std::make_shared<std::optional<Result<AcceptanceRecord>>>();
    AcceptanceNode& self = node(at);
    self.coordinator.confirm(PlanId(plan), proposed, viewOf(self), [outcome](auto result) {
      if (outcome->has_value()) {
        throw std::logic_error("callback invoked twice");
      }
      *outcome = std::move(result);
    });
    return outcome;
  }

  /// Runs the virtual time until the outcome is known and returns it.
  Result<AcceptanceRecord> await(const Outcome& outcome) {
    const bool finished =
        time.runUntilTrue([&] { return outcome->has_value(); }, std::chrono::seconds(10));
    if (!finished) {
      throw std::logic_error("no outcome within ten seconds");
    }
    return outcome->value();
  }

  /// Returns the number of nodes that hold exactly this record.
  std::size_t holders(const AcceptanceRecord& record) const {
    std::size_t count = 0;
    for (const auto& [id, node] : nodes) {
      count += node->record_store.record() == record ? 1 : 0;
    }
    return count;
  }

  /// Gives the newest record to every node, as anti-entropy would do.
  void propagateNewestRecord() {
    AcceptanceRecord newest;
    for (const auto& [id, node] : nodes) {
      if (node->record_store.record().version > newest.version) {
        newest = node->record_store.record();
      }
    }
    for (const auto& [id, node] : nodes) {
      node->record_store.offer(newest);
    }
  }

  VirtualTime time;
  VirtualNetwork<AcceptanceMessage> network;
  std::set<ZoneId> cut_zones;
  std::map<NodeId, std::unique_ptr<AcceptanceNode>> nodes;
};

}  // namespace coursepond::testing
