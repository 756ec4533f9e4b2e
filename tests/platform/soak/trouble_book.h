#pragma once

/// Records when each component of the mesh had a fault, so that promises are only checked at
/// fault-free times.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace coursepond::soak {

/// Whether a fault is a planned stop, for which more is promised, or any other fault.
enum class FaultKind {
  kUnplanned,    ///< Kills, freezes, and faults of links, servers, the store and the soak itself.
  kPlannedStop,  ///< From SIGTERM until the restart of the process, and the moment of each start.
};

class FaultLog {
 public:
  /// Begins a fault and returns its number, with which end() has to be called.
  std::size_t begin(const std::string& component, FaultKind kind, TimePoint now);
  void end(std::size_t fault, TimePoint now);

  /// Returns true if `component` had no fault at any time from `from` to `to`.
  bool isFaultFree(const std::string& component, TimePoint from, TimePoint to) const;
  /// Returns true if `component` had no fault except planned stops from `from` to `to`.
  bool isFaultFreeExceptStops(const std::string& component, TimePoint from, TimePoint to) const;
  /// Returns true if `component` was in a planned stop at any time from `from` to `to`.
  bool wasStopping(const std::string& component, TimePoint from, TimePoint to) const;

 private:
  struct Fault {
    FaultKind kind;
    TimePoint began;
    std::optional<TimePoint> ended;
  };

  bool has(const std::string& component, std::optional<FaultKind> kind, TimePoint from,
           TimePoint to) const;

  std::vector<Fault> faults_;
  std::map<std::string, std::vector<std::size_t>> by_component_;
};

}  // namespace coursepond::soak
