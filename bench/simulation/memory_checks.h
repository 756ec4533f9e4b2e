#pragma once

/// Checks adoption. Nodes keep acceptance records in memory only, so a record is lost when every
/// process that holds it has ended. Only then may the newest published version be put in force
/// without an operator, even if confirmations of it were refused before the loss. The condition is
/// checked at each adoption; see docs/design/COLD-START.md.

#include <functional>
#include <set>
#include <vector>

#include "core/ids.h"
#include "violations.h"
#include "virtual_time.h"

namespace coursepond::simulation {

/// A process, paused or not, that holds an acceptance record.
struct RecordHolder {
  NodeId node;
  Version version;
};

/// Returns the processes that hold a record now.
using RecordHolders = std::function<std::vector<RecordHolder>()>;

class MemoryChecks {
 public:
  MemoryChecks(VirtualTime& time, Violations& violations, RecordHolders holders)
      : time_(time), violations_(violations), holders_(std::move(holders)) {}

  /// Called when `adopter`, which holds no record, is about to put `version` in force.
  void onAdoption(const NodeId& adopter, Version version);

  /// Whether `version` was adopted after all records were lost. Earlier refusals of it no longer
  /// apply then.
  bool wasAdopted(Version version) const { return ever_adopted_.contains(version); }
  /// Number of times that all records were lost and an adoption followed. Includes the empty mesh
  /// at the start.
  std::uint64_t losses() const { return losses_; }

  /// Readers that adopt independently after the same loss do so within this time.
  static constexpr Duration kAdoptionSpread = std::chrono::seconds(5);

 private:
  bool endsCurrentLoss(const std::vector<RecordHolder>& holders) const;

  VirtualTime& time_;
  Violations& violations_;
  RecordHolders holders_;
  std::set<Version> adopted_since_loss_;
  std::set<Version> ever_adopted_;
  TimePoint first_adoption_;
  std::uint64_t losses_ = 0;
};

}  // namespace coursepond::simulation
