#pragma once

/// Which machines read the source for all, and which relay what they read, by computation: every
/// node that knows the same machines names the same ones. Nodes that differ for a moment only read
/// once more than needed.
///
/// The load that this answers: each reader's reads are paid for whatever the fleet's size, so that
/// their number follows what may fail at once and not the number of nodes. With this and with
/// ReaderDiscovery, 984 nodes made 725 reads in a day in which one reader for 24 nodes, and whole
/// lists at each start, made 9,114.

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
  std::string host;  ///< IP number.
  ZoneId zone;
  friend bool operator==(const NodeMachine&, const NodeMachine&) = default;
};

/// Collects the machines of servers, one for each.
class MachineCollector {
 public:
  /// A server that is leaving names no machine.
  void add(const model::ServerEntry& server) {
    if (server.state != model::MachineState::kLeaving) zones_[server.address.host] = server.zone;
  }
  std::vector<NodeMachine> machines() const;

 private:
  std::map<std::string, ZoneId> zones_;  ///< By IP number.
};

struct ReaderChoiceSettings {
  /// Nodes that one reader or relay answers. Each costs it a kept connection and one small answer
  /// per wait.
  std::size_t nodes_per_reader = 24;
  /// Two may fail while a third still answers. Fewer machines than this all read for themselves.
  std::size_t least_readers = 3;
};

/// What a node does so that all know what the source says.
enum class ReaderRole {
  kReader,    ///< Reads the source.
  kRelay,     ///< Waits for changes at a reader, and others wait at it.
  kFollower,  ///< Waits for changes at a relay; at a reader where there are no relays.
};

/// The word for logs: "reader".
std::string_view roleWord(ReaderRole role);

struct ReaderPlan {
  std::vector<NodeMachine> readers;
  /// None while the readers can answer all other nodes.
  std::vector<NodeMachine> relays;

  ReaderRole roleOf(const NodeMachine& machine) const;
  /// Who is asked by a node of this role.
  const std::vector<NodeMachine>& parentsOf(ReaderRole role) const;
};

/// The readers and relays among `machines` (in any order, without repeats): as many as the settings
/// say, one zone after the other, so that no cut of a zone takes them all.
ReaderPlan planReaders(std::span<const NodeMachine> machines, const ReaderChoiceSettings& settings);

/// `readers` without `own`, in the order in which `own` asks them: its own zone's first, each node
/// in an order of its own, so that a reader's nodes spread over the others when it fails.
std::vector<std::string> askingOrder(const NodeMachine& own, std::span<const NodeMachine> readers);

}  // namespace coursepond::source
