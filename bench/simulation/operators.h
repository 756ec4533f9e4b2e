#pragma once

/// Simulated operators: each publishes versions, plans one on a random node, confirms it and
/// records the answer. Several operators work concurrently.

#include <functional>
#include <optional>

#include "admin/admin_api.h"
#include "configuration_checks.h"
#include "deployment.h"
#include "mesh.h"
#include "platform_model.h"

namespace coursepond::simulation {

struct OperatorSettings {
  std::uint32_t operators = 1;
  Duration shortest_interval = std::chrono::seconds(2);
  Duration longest_interval = std::chrono::seconds(6);
  double publishes = 0.7;  ///< Probability that a round publishes a new version.
  /// The rounds of all operators begin almost together, with almost no delay before confirming.
  bool race = false;
};

struct OperatorStatistics {
  std::uint64_t plans = 0;
  std::uint64_t plans_refused = 0;
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
};

class Operators {
 public:
  Operators(VirtualTime& time, Mesh& mesh, PlatformModel& platform, ConfigurationChecks& checks,
            Trace& trace, const Deployment& deployment, std::uint64_t seed, Guard without);

  /// Publishes a valid version with the next number.
  Version publish();
  /// Publishes an invalid version.
  void publishBroken();
  /// Runs rounds from now until `end` (time since the start of the run).
  void start(const OperatorSettings& settings, Duration end);

  const OperatorStatistics& statistics() const { return statistics_; }

 private:
  struct Plan {
    std::string id;
    Version version;
  };

  void beginRound();
  Duration untilNextRound();
  /// Checks that processes in a majority of the zones hold the record when "accepted" is reported.
  void checkMajorityHolds(Version version);
  void plan(std::size_t machine, Version version);
  void confirm(std::size_t machine, const Plan& plan);
  void onConfirmAnswer(ConfirmationNumber confirmation, const Plan& plan,
                       const admin::AdminResponse* response);
  /// Calls `callback` once: with the answer, or with null after a timeout.
  void call(std::size_t machine, admin::AdminRequest request,
            const std::function<void(const admin::AdminResponse*)>& callback);
  ConfirmationOutcome outcomeOf(const admin::AdminResponse* response) const;

  VirtualTime& time_;
  Mesh& mesh_;
  PlatformModel& platform_;
  ConfigurationChecks& checks_;
  Trace& trace_;
  const Deployment& deployment_;
  RandomSource random_;
  Guard without_;
  OperatorSettings settings_;
  Duration end_{};
  Version published_;
  OperatorStatistics statistics_;
};

}  // namespace coursepond::simulation
