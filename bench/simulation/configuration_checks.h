#pragma once

/// Checkers of the control path: what is in force on each proxy against what was published,
/// confirmed and told to operators.

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

/// One life of one node.
struct ProcessLife {
  NodeId node;
  std::uint64_t life = 0;
  friend auto operator<=>(const ProcessLife&, const ProcessLife&) = default;
};

/// A running proxy as the checkers see it.
struct ProxyStatus {
  ProcessLife process;
  ZoneId zone;
  TimePoint started;
  bool paused = false;
  bool stopping = false;
};

/// What an operator was told of a confirmation.
enum class Told { kAccepted, kRefused, kUnknown };

using ConfirmationNumber = std::uint64_t;

/// How long one proxy took to put an accepted version in force.
struct ConvergenceSample {
  Duration since_confirm{};   ///< From the operator's request to confirm.
  Duration since_accepted{};  ///< From the answer "accepted"; zero when it came first.
};

class ConfigurationChecks {
 public:
  /// `memory` must outlive this.
  ConfigurationChecks(VirtualTime& time, Violations& violations, const MemoryChecks& memory)
      : time_(time), violations_(violations), memory_(memory) {}

  void onPublished(const model::ConfigurationDocument& document);
  /// Called whenever the snapshot that a proxy serves with is another one.
  void onInForce(const ProxyStatus& proxy, const model::SnapshotPointer& snapshot);

  ConfirmationNumber onConfirmSent(Version version);
  /// `base` is the version the plan started from, when the answer says so.
  void onTold(ConfirmationNumber confirmation, Told told, std::optional<Version> base);

  /// "Accepted" was told, but only processes of `zones` zones know of it.
  void onAcceptedNotHeld(Version version, std::size_t zones);

  /// Every proxy of `proxies` could hear the others for `kConvergenceLimit` and more.
  void checkConverged(const std::vector<ProxyStatus>& proxies);
  /// The same inside a part that has been cut off from the rest, unchanged, for long enough.
  void checkPartConverged(const std::vector<ProxyStatus>& part);

  Version newestAccepted() const;
  Version inForce(const ProcessLife& process) const;
  /// One sample per accepted version and proxy that ran from the confirmation until it had it.
  std::vector<ConvergenceSample> convergence() const;

  static constexpr Duration kConvergenceLimit = std::chrono::seconds(5);

 private:
  struct Confirmation {
    Version version;
    std::optional<Told> told;  ///< Nothing while the answer is awaited.
    TimePoint sent;
  };
  /// A proxy moved to a newer version.
  struct Change {
    ProxyStatus proxy;
    Version before;
    Version after;
    TimePoint when;
  };
  /// The accepted version's first confirmation that was answered so.
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
  std::map<ProcessLife, Version> in_force_;
  std::set<Version> ever_in_force_;
  std::vector<Confirmation> confirmations_;
  std::map<Version, Acceptance> accepted_;
  std::map<Version, Version> accepted_by_base_;
  std::vector<Change> changes_;
};

}  // namespace coursepond::simulation
