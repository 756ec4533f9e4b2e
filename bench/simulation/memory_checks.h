#pragma once

/// Checker of adoption: machines keep nothing, so what was accepted can be lost with every process
/// that knew it. Only then may the newest published version be put in force without an operator,
/// whatever operators were told of it before the loss. This measures that condition at the moment
/// of each adoption; see docs/design/COLD-START.md.

#include <functional>
#include <set>
#include <vector>

#include "core/ids.h"
#include "violations.h"
#include "virtual_time.h"

namespace coursepond::simulation {

/// A process that knows an acceptance record, paused or not.
struct RecordHolder {
  NodeId node;
  Version version;
};

/// The processes that know a record at this moment.
using RecordHolders = std::function<std::vector<RecordHolder>()>;

class MemoryChecks {
 public:
  MemoryChecks(VirtualTime& time, Violations& violations, RecordHolders holders)
      : time_(time), violations_(violations), holders_(std::move(holders)) {}

  /// `adopter`, which knows no record, is about to put `version` in force.
  void onAdoption(const NodeId& adopter, Version version);

  /// `version` was adopted after a loss of every memory: earlier refusals of it no longer bind.
  bool wasAdopted(Version version) const { return ever_adopted_.contains(version); }
  /// Losses of every memory that an adoption ended, the empty mesh at the start included.
  std::uint64_t losses() const { return losses_; }

  /// Readers that adopt independently after one loss do so within this.
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
