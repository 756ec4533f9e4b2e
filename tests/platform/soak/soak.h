#pragma once

/// One soak: real nodes on loopback with their clients, servers, links and store, scheduled faults,
/// and the promise checker.

#include <cstdint>
#include <memory>
#include <string>

#include "judge.h"
#include "schedule.h"

namespace coursepond::soak {

struct SoakSettings {
  ScheduleSettings schedule;
  std::uint64_t link_rate = 0;  ///< Bytes per second and direction of each link; 0: no limit.
  std::uint32_t network = 0;    ///< Second octet of all addresses; unique among running soaks.
  std::string folder;           ///< Folder for settings and logs; must exist.
  Bounds bounds;
};

/// The result of a soak.
struct SoakOutcome {
  std::vector<Violation> violations;
  CheckCounts counts;
  std::size_t versions = 0;
  std::size_t routes = 0;                 ///< Number of routes of the last version.
  std::size_t longest_version_bytes = 0;  ///< Size of the longest version.
  Duration longest_lag{};                 ///< Longest lag of the soak's own timers.
};

class Soak {
 public:
  /// Throws std::exception if an address cannot be bound or a file cannot be written.
  explicit Soak(SoakSettings settings);
  ~Soak();
  Soak(const Soak&) = delete;
  Soak& operator=(const Soak&) = delete;

  /// Runs the soak and blocks until its end.
  SoakOutcome run();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace coursepond::soak
