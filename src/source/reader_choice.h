#pragma once

/// Chooses the machines that read the source on behalf of all nodes, and those that relay what the
/// readers read. The choice is a pure computation: nodes that know the same machines choose the
/// same ones. Nodes whose lists of machines differ for a moment only cause redundant reads.
///
/// Each read of the source has a cost, whatever the size of the fleet. The number of readers
/// therefore follows from how many may fail at the same time, not from the number of nodes.

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "model/server_entry.h"

namespace coursepond::source {

/// A machine that runs a node.
struct NodeMachine {
  std::string host;  ///< IP address.
  ZoneId zone;
  friend bool operator==(const NodeMachine&, const NodeMachine&) = default;
};

/// Collects the distinct machines on which servers run.
class MachineCollector {
 public:
  /// Adds the machine of `server`, unless the server is leaving.
  void add(const model::ServerEntry& server) {
    if (server.state != model::MachineState::kLeaving) zones_[server.address.host] = server.zone;
  }
  std::vector<NodeMachine> machines() const;

 private:
  std::map<std::string, ZoneId> zones_;  ///< Keyed by IP address.
};

struct ReaderChoiceSettings {
  /// Upper bound for the nodes that one reader or relay answers. Each node costs it an open
  /// connection and one small answer per wait.
  std::size_t nodes_per_reader = 24;
  /// Minimum number of readers: two may fail while the third still answers. In a fleet with fewer
  /// machines, all read the source themselves.
  std::size_t min_readers = 3;
  std::size_t standby_groups = 2;
};

/// A node's role in distributing the state of the source.
enum class ReaderRole {
  kReader,    ///< Reads the source.
  kRelay,     ///< Waits for changes at a reader; followers wait for changes at it.
  kFollower,  ///< Waits for changes at a relay, or at a reader if there are no relays.
};

/// Returns the name of the role in logs, such as "reader".
std::string_view roleName(ReaderRole role);

struct ReaderPlan {
  std::vector<NodeMachine> readers;
  /// Empty while the readers can answer all other nodes.
  std::vector<NodeMachine> relays;
  /// Relays or followers that read the source while no reader answers them, in groups as large as
  /// the readers. They are the machines that would be chosen next, in that order.
  std::vector<std::vector<NodeMachine>> standby_groups;

  ReaderRole roleOf(const NodeMachine& machine) const;
  bool isStandby(const NodeMachine& machine) const;
  /// Returns the machines that a node with this role asks.
  const std::vector<NodeMachine>& parentsOf(ReaderRole role) const;
};

/// Chooses the readers and relays among `machines` (in any order, without duplicates). Zones take
/// turns, so that the loss of one zone does not remove all readers.
ReaderPlan planReaders(std::span<const NodeMachine> machines, const ReaderChoiceSettings& settings);

/// Returns `readers` without `own`, in the order in which `own` asks them: those of its own zone
/// first. The order differs from node to node, so that the nodes of a failed reader spread over the
/// other readers.
std::vector<std::string> parentOrder(const NodeMachine& own, std::span<const NodeMachine> readers);

/// Returns the machines that `own` asks, in this order: the parents of its role, then the readers
/// and the standbys. A standby asks only the groups before its own and then reads the source, so
/// that no two nodes wait for each other.
std::vector<std::string> pathOrder(const NodeMachine& own, const ReaderPlan& plan);

}  // namespace coursepond::source
