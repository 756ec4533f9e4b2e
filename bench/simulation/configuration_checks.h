#pragma once

/// Checkers of the control path: compares the configuration in force on each proxy with the
/// published versions, the confirmations and the answers that operators received.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/ids.h"
#include "memory_checks.h"
#include "model/configuration.h"
#include "model/snapshot.h"
#include "violations.h"
#include "virtual_time.h"

namespace coursepond::simulation {

/// Identifies one process of a node, from its start to its end.
struct ProcessId {
  NodeId node;
  std::uint64_t start_number = 0;  ///< Unique in the run; increases with each start.
  friend auto operator<=>(const ProcessId&, const ProcessId&) = default;
};

/// State of a running proxy that the checkers use.
struct ProxyStatus {
  ProcessId process;
  ZoneId zone;
  TimePoint started;
  bool paused = false;
  bool stopping = false;
};

/// Result of a confirmation as reported to the operator.
enum class ConfirmationOutcome { kAccepted, kRefused, kUnknown };

using ConfirmationNumber = std::uint64_t;

/// Time that one proxy took to put an accepted version in force.
struct ConvergenceSample {
  Duration since_confirm{};   ///< From the operator's request to confirm.
  Duration since_accepted{};  ///< From the answer "accepted"; zero if in force before it.
};

class ConfigurationChecks {
 public:
  /// `memory` must outlive this.
  ConfigurationChecks(VirtualTime& time, Violations& violations, const MemoryChecks& memory)
      : time_(time), violations_(violations), memory_(memory) {}

  void onPublished(const model::ConfigurationDocument& document);
  /// Called whenever a proxy starts to use a different snapshot.
  void onInForce(const ProxyStatus& proxy, const model::SnapshotPointer& snapshot);

  /// Called when all processes end at once, and at the start, when none exists. Only the versions
  /// published by then, or adopted shortly afterwards, may be in force although every confirmation
  /// of them was refused.
  void onAllLost();
  /// Allows the same for a version that is adopted at any time after all records were lost.
  void allowLateAdoption() { allows_late_adoption_ = true; }

  ConfirmationNumber onConfirmSent(Version version);
  /// `base` is the version that the plan was based on, if the answer names it.
  void onConfirmationAnswered(ConfirmationNumber confirmation, ConfirmationOutcome outcome,
                              std::optional<Version> base);

  /// Called when an operator got "accepted" while processes of only `zones` zones hold the record.
  void onAcceptedWithoutMajority(Version version, std::size_t zones);

  /// Checks proxies that could all reach each other for at least `kConvergenceLimit`.
  void checkConverged(const std::vector<ProxyStatus>& proxies);
  /// Checks one part of a partitioned mesh whose membership has not changed for long enough.
  void checkPartConverged(const std::vector<ProxyStatus>& part);

  Version newestAccepted() const;
  Version inForce(const ProcessId& process) const;
  /// One sample for each accepted version and each proxy that ran from the confirm request until
  /// the version was in force on it.
  std::vector<ConvergenceSample> convergence() const;

  static constexpr Duration kConvergenceLimit = std::chrono::seconds(5);

 private:
  struct Confirmation {
    Version version;
    std::optional<ConfirmationOutcome> outcome;  ///< Empty until the answer arrives.
    TimePoint sent;
  };
  /// A change of the version in force on a proxy.
  struct Change {
    ProxyStatus proxy;
    Version before;
    Version after;
    TimePoint when;
  };
  /// The first confirmation of a version that was answered "accepted".
  struct Acceptance {
    TimePoint sent;
    TimePoint answered;
  };

  bool mayBeInForce(Version version) const;
  void checkWhole(const ProxyStatus& proxy, const model::Snapshot& snapshot);
  void checkClosure(const ProxyStatus& proxy, const model::Snapshot& snapshot);

  VirtualTime& time_;
  Violations& violations_;
  const MemoryChecks& memory_;
  std::map<Version, model::ConfigurationDocument> published_;
  std::map<ProcessId, Version> in_force_;
  std::set<Version> ever_in_force_;
  std::vector<Confirmation> confirmations_;
  std::map<Version, Acceptance> accepted_;
  std::map<Version, Version> accepted_by_base_;
  std::vector<Change> changes_;
  std::set<Version> adoptable_;
  TimePoint adoptable_until_{};
  bool allows_late_adoption_ = false;
};

}  // namespace coursepond::simulation
