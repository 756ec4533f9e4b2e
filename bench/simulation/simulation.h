#pragma once

/// One run: a pure function of scenario, seed and disabled safeguard.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fault.h"
#include "guard.h"
#include "operators.h"
#include "request_checks.h"
#include "scenario.h"
#include "violations.h"

namespace coursepond::simulation {

struct RunOptions {
  Scenario scenario;
  std::uint64_t seed = 1;
  Guard without = Guard::kNone;
  /// Replaces the fault schedule that is drawn from the seed.
  std::optional<std::vector<Fault>> faults;
  /// Stream that every event is printed to; null to print none.
  std::ostream* trace_output = nullptr;
  /// See ConfigurationChecks::allowLateAdoption().
  bool allows_late_adoption = false;
};

struct Percentiles {
  std::size_t samples = 0;
  Duration p50{};
  Duration p99{};
  Duration longest{};
};

/// Returns the percentiles of `samples`; all zero if there are none.
Percentiles percentilesOf(std::vector<Duration> samples);

/// Convergence times over all accepted versions and the proxies that ran from the confirm request
/// until the version was in force.
struct ConvergenceReport {
  Percentiles since_confirm;   ///< From the operator's request to confirm to in force.
  Percentiles since_accepted;  ///< From the answer "accepted" to in force.
};

struct RunReport {
  std::uint64_t seed = 0;
  std::string deployment;
  std::uint64_t trace_hash = 0;
  std::uint64_t events = 0;
  std::optional<Violation> violation;
  std::vector<std::string> last_events;  ///< Last events of the trace.
  std::vector<Fault> faults;
  ConvergenceReport convergence;
  std::vector<Duration> convergence_samples;  ///< Since the confirm request.
  double control_bytes_per_node = 0;          ///< Over the whole run.
  double control_bytes_per_node_second = 0;
  RequestStatistics requests;
  OperatorStatistics operators;
  Version accepted;
  std::uint64_t memory_losses = 0;  ///< See MemoryChecks::losses.
};

RunReport run(const RunOptions& options);

}  // namespace coursepond::simulation
