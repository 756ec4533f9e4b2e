#pragma once

/// One run: a pure function of scenario, seed and what the run is made without.

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
  /// In place of the schedule drawn from the seed.
  std::optional<std::vector<Fault>> faults;
  /// Where to print every event; null for nowhere.
  std::ostream* trace_output = nullptr;
};

struct Percentiles {
  std::size_t samples = 0;
  Duration p50{};
  Duration p99{};
  Duration longest{};
};

/// The percentiles of `samples`; all zero when there are none.
Percentiles percentilesOf(std::vector<Duration> samples);

/// Over accepted versions and proxies that ran all the time.
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
  std::vector<std::string> last_events;  ///< Before the violation.
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
