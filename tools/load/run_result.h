#pragma once

/// The result of a load run: one record per request, counts and latencies.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "latency_histogram.h"
#include "outcome.h"

namespace coursepond::load {

/// The outcome of one request. Its id is built by makeRequestId from the run's prefix and `number`.
struct RequestRecord {
  std::uint64_t number = 0;
  Outcome outcome = Outcome::kNoAnswer;
  bool repeatable = true;
};

/// The range of configuration versions that the answers of one target named.
struct VersionsSeen {
  Version lowest;
  Version highest;
};

using ReasonCounts = std::map<std::string, std::uint64_t>;

struct RunResult {
  std::vector<RequestRecord> records;
  std::map<Outcome, ReasonCounts> reasons;  ///< Of every outcome except kAnswered.
  LatencyHistogram answered_latency;        ///< Measured from the scheduled start.
  LatencyHistogram other_latency;           ///< Of requests with another outcome than kAnswered.
  std::map<std::string, VersionsSeen> versions;  ///< By target.
  std::uint64_t version_regressions = 0;  ///< Answers with a lower version than an earlier answer
                                          ///< on the same connection.
  std::uint64_t connections_opened = 0;
  std::uint64_t failovers = 0;  ///< Requests moved to another target after a failed connect.

  std::uint64_t count(Outcome outcome) const;
  void merge(RunResult other);
};

/// Returns the id of the request with this number.
std::string makeRequestId(const std::string& prefix, std::uint64_t number);

}  // namespace coursepond::load
