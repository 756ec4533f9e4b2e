#pragma once

/// Runs coursepond-load concurrently with a test and parses its report.

#include <cstdint>
#include <string>
#include <vector>

#include "core/address.h"
#include "process/process_handle.h"

namespace coursepond::process_tests {

/// Targets, rate and duration of a load run.
struct LoadPlan {
  std::vector<Address> targets;
  std::vector<std::string> journal_files;
  double rate = 300;  ///< Requests per second.
  Duration duration = std::chrono::seconds(6);
};

/// The result of a run of coursepond-load.
struct LoadResult {
  int exit_status = -1;
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t cut = 0;
  std::uint64_t no_answer = 0;
  std::uint64_t not_sent = 0;
  std::uint64_t violations = 0;  ///< Sum of all kinds.
  std::string report;            ///< The complete JSON report, printed when a test fails.
};

/// Sends repeatable lookups of several sizes, some of them slow or chunked, and requests that must
/// not be repeated.
class LoadProcess {
 public:
  LoadProcess(const TestFolder& folder, const LoadPlan& plan);

  bool running() { return process_.running(); }
  /// Waits for the end of the run. Throws when it does not exit in time or prints no report.
  LoadResult finish();

 private:
  const TestFolder& folder_;
  Duration duration_;
  ProcessHandle process_;
};

}  // namespace coursepond::process_tests
