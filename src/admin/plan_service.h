#pragma once

/// Creates, shows and confirms plans on one node.

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "admin/admin_parts.h"
#include "admin/plan.h"
#include "admin/proxy_directory.h"
#include "admin/version_fetcher.h"

namespace coursepond::admin {

/// A plan as shown to an operator.
struct Plan {
  distribution::AcceptanceRecord proposed;
  PlanStatus status = PlanStatus::kOpen;
  distribution::AcceptanceRecord accepted;  ///< Newest known record.
  std::optional<PlanEffect> effect;         ///< Absent if this node no longer has the contents.
  std::set<ZoneId> zones_missing;           ///< Zones whose proxy states are unknown.
  bool platform_reached = true;  ///< False: "newest" is the newest version that was read earlier.
};

/// Why a plan could not be made: one error, and all mistakes of the document, if any.
struct PlanRefusal {
  Error error;
  std::vector<model::DocumentMistake> mistakes;
};

using PlanCallback = std::function<void(Plan)>;
using PlanRefusalCallback = std::function<void(PlanRefusal)>;

/// Counters for /metrics and the simulator. Never reset.
struct PlanStatistics {
  std::uint64_t made = 0;
  std::uint64_t confirmed = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
};

class PlanService {
 public:
  PlanService(const AdminParts& parts, const AdminSettings& settings, ProxyDirectory& proxies,
              VersionFetcher& fetcher);
  ~PlanService();
  PlanService(const PlanService&) = delete;
  PlanService& operator=(const PlanService&) = delete;

  /// Plans a version (zero: the newest). Calls exactly one of the callbacks, once.
  void make(Version version, PlanCallback on_plan, PlanRefusalCallback on_refusal);

  /// Returns the current state of a plan.
  void show(const distribution::AcceptanceRecord& proposed, PlanCallback on_plan);

  /// Confirms a plan; see distribution::AcceptanceCoordinator.
  void confirm(const distribution::AcceptanceRecord& proposed,
               distribution::ConfirmCallback callback);

  const PlanStatistics& statistics() const { return statistics_; }

 private:
  /// A pending call of `make`.
  struct PendingPlan {
    Version version;
    bool platform_reached = true;
    TimePoint deadline;
    PlanCallback on_plan;
    PlanRefusalCallback on_refusal;
  };

  void onFetched(PendingPlan pending, const source::FetchOutcome& outcome);
  bool fallBackToStaged(PendingPlan& pending, const source::FetchOutcome& outcome) const;
  void awaitContent(const PendingPlan& pending);
  void describeNewPlan(const PendingPlan& pending);
  Plan describe(const distribution::AcceptanceRecord& proposed, const ProxyCensus& census) const;
  std::optional<Error> checkBeforeConfirm(const distribution::AcceptanceRecord& proposed) const;
  void count(const Result<distribution::AcceptanceRecord>& outcome);

  const AdminParts& parts_;
  const AdminSettings& settings_;
  ProxyDirectory& proxies_;
  VersionFetcher& fetcher_;
  PlanStatistics statistics_;
  std::set<TimerId> timers_;  ///< Timers of calls that wait for content.
};

}  // namespace coursepond::admin
