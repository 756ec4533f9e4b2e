#pragma once

/// Formats run reports as lines, JSON and totals.

#include <string>
#include <vector>

#include "simulation.h"

namespace coursepond::simulation {

struct RunName {
  std::string scenario;
  std::string without;  ///< Empty for a run with every safeguard.
};

/// Returns one line: seed, trace hash, convergence, control bytes, requests, operators.
std::string reportLine(const RunName& name, const RunReport& report);
std::string reportJson(const RunName& name, const RunReport& report);
/// Returns the violated promise, the command that repeats the run, the faults and the last events.
std::string violationText(const RunName& name, const RunReport& report);

/// Sums over many runs.
class Totals {
 public:
  void add(const RunReport& report);
  std::uint64_t violations() const { return violations_; }
  std::string text() const;

 private:
  std::uint64_t runs_ = 0;
  std::uint64_t violations_ = 0;
  std::uint64_t requests_ = 0;
  std::uint64_t accepted_ = 0;
  std::vector<Duration> convergence_;
  std::vector<double> bytes_per_node_second_;
};

}  // namespace coursepond::simulation
