#pragma once

/// Measured results of one distribution system on the workload.

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace coursepond::bench {

/// Collects delays over many nodes and changes.
class Delays {
 public:
  void add(Duration delay) { delays_.push_back(delay); }
  std::size_t count() const { return delays_.size(); }
  /// Returns a percentile in milliseconds; zero if there are no delays. `share` is from 0 to 1.
  double percentile(double share) const;

 private:
  std::vector<Duration> delays_;
};

/// Bytes sent by all nodes in one phase, by protocol.
struct PhaseBytes {
  double seconds = 0;
  double membership = 0;
  double distribution = 0;
  double acceptance = 0;
  double admin = 0;
  double platform = 0;  ///< Exchanges with the platform.
  double push = 0;      ///< Pushes of the pushing baseline.
  double total() const { return membership + distribution + acceptance + admin + platform + push; }
};

struct Figures {
  std::string way;
  std::string shape;
  std::uint32_t nodes = 0;
  Delays convergence;            ///< Time from accepted (or published) to in force, per node.
  std::uint32_t missing = 0;     ///< Pairs of node and change that were not in force in time.
  bool started_in_time = false;  ///< The first version was in force everywhere after warm-up.
  PhaseBytes idle;
  PhaseBytes changes;
  std::uint32_t change_count = 0;
  PhaseBytes churn;
  Delays churn_convergence;  ///< Time from the list change to the node's endpoints.
  std::uint32_t churn_missing = 0;
  double busiest_node_idle = 0;  ///< Bytes per second sent by the busiest node when idle.
  double source_reads = 0;       ///< Requests to the platform per second when idle.
  double crossing_bytes = 0;     ///< Bytes sent between zones during all changes.

  double idlePerNodeSecond() const;
  double churnPerNodeSecond() const;
  /// Bytes per change and node, without the idle traffic of the same time.
  double perChangeAndNode() const;
};

/// Header and row of the table in docs/MEASUREMENTS.md.
std::string tableHead();
std::string tableRow(const Figures& figures);
/// Returns the bytes of the row by protocol.
std::string breakdown(const Figures& figures);

}  // namespace coursepond::bench
