#pragma once

/// Which machines read the source for all, by computation: every node that knows the same machines
/// names the same readers. Nodes that differ for a moment only read once more than needed.

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "core/ids.h"

namespace coursepond::source {

/// A machine that runs a node.
struct NodeMachine {
  std::string host;  ///< IP number.
  ZoneId zone;
  friend bool operator==(const NodeMachine&, const NodeMachine&) = default;
};

struct ReaderChoiceSettings {
  /// Nodes that one reader answers. Each costs it a kept connection and one small answer per wait.
  std::size_t nodes_per_reader = 24;
  /// Two may fail while a third still answers. Fewer machines than this all read for themselves.
  std::size_t least_readers = 3;
};

/// The readers among `machines` (in any order, without repeats): as many as the settings say, one
/// zone after the other, so that no cut of a zone takes them all.
std::vector<NodeMachine> chooseReaders(std::span<const NodeMachine> machines,
                                       const ReaderChoiceSettings& settings);

/// `readers` without `own`, in the order in which `own` asks them: its own zone's first, each node
/// in an order of its own, so that a reader's nodes spread over the others when it fails.
std::vector<std::string> askingOrder(const NodeMachine& own, std::span<const NodeMachine> readers);

}  // namespace coursepond::source
