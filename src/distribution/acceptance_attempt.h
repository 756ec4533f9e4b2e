#pragma once

/// Tracks the state of every voter of one confirmation in progress: granted, refused or committed.
/// Internal to AcceptanceCoordinator.

#include <algorithm>
#include <cstddef>
#include <map>
#include <vector>

#include "core/ids.h"
#include "distribution/acceptance_messages.h"
#include "membership/view.h"

namespace coursepond::distribution {

/// State of one voter in the current try.
enum class VoterState {
  kAsked,      ///< Has not answered yet, or answered that it does not hold the content yet.
  kRefused,    ///< Refused because another attempt holds the voter's lease.
  kGranted,    ///< Granted this attempt the lease.
  kCommitted,  ///< Stored the record under the lease.
  kLeaseLost,  ///< Granted the lease, but it was lost before the commit arrived.
};

/// The voters of one reachable zone. The zone counts as granted or committed once `needed` of its
/// voters are. `needed` is at least a majority, so that any two confirmations share a voter.
struct ZoneBallot {
  std::map<NodeId, VoterState> voters;
  std::size_t needed = 0;

  std::size_t count(VoterState state) const {
    return static_cast<std::size_t>(
        std::count_if(voters.begin(), voters.end(),
                      [state](const auto& voter) { return voter.second == state; }));
  }
  std::size_t granted() const {
    return count(VoterState::kGranted) + count(VoterState::kCommitted);
  }
};

/// The voters of all zones. Unreachable zones count in the total from which the majority is
/// computed, but cannot grant.
class Ballot {
 public:
  explicit Ballot(const membership::View& view);

  std::size_t majority() const { return majority_; }
  std::size_t zoneCount() const { return zone_count_; }
  /// Number of zones that can grant: they are reachable and enough of their voters are known.
  std::size_t usableZones() const { return zones_.size(); }
  /// Returns whether enough zones can grant for a confirmation to succeed.
  bool canSucceed() const { return zones_.size() >= majority_; }

  /// Returns the voter's state, or nullptr if it takes no part in this confirmation.
  VoterState* find(const NodeId& voter);
  /// Resets all voters to kAsked for the next try.
  void restart();

  bool granted() const;
  bool committed() const;
  /// Returns whether so many voters refused that granted() cannot become true in this try.
  bool grantImpossible() const;
  /// Returns whether so many voters refused or lost the lease that committed() cannot become true.
  bool commitImpossible() const;

  /// Returns all voters in the given state.
  std::vector<NodeId> votersInState(VoterState state) const;
  std::vector<NodeId> allVoters() const;

 private:
  template <typename Predicate>
  bool majorityOf(Predicate predicate) const {
    const auto zones = std::count_if(zones_.begin(), zones_.end(), predicate);
    return static_cast<std::size_t>(zones) >= majority_;
  }

  std::vector<ZoneBallot> zones_;
  std::size_t zone_count_ = 0;
  std::size_t majority_ = 0;
};

}  // namespace coursepond::distribution
