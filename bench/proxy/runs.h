#pragma once

/// The measurements of coursepond-bench-proxy. Each generates its load on the calling thread.

#include <cstdint>

#include "bench_node.h"
#include "statistics.h"

namespace coursepond::bench {

struct LatencyRun {
  Latencies direct;
  Latencies through_node;
  std::uint64_t failures = 0;
  double node_cpu_seconds = 0;  ///< CPU time of the node's thread in its windows.
};

struct LatencyRunSettings {
  double requests_per_second = 2000;
  double window_seconds = 0.25;  ///< Length of the alternating direct and node windows.
  int window_pairs = 20;
  std::size_t connections = 32;
  std::size_t body_bytes = 1024;
};

/// Open-loop load: latency is measured from the planned send time, so that it includes stalls.
LatencyRun measureLatency(BenchNode& node, const Address& backend,
                          const LatencyRunSettings& settings);

struct ThroughputRun {
  double seconds = 0;
  std::uint64_t answers = 0;
  std::uint64_t failures = 0;
  double node_cpu_seconds = 0;
};

/// Closed-loop load: every connection sends the next request as soon as it has its answer.
ThroughputRun measureThroughput(BenchNode& node, double seconds, std::size_t connections,
                                std::size_t body_bytes);

struct ChurnRun {
  std::uint64_t answers = 0;
  std::uint64_t callers = 0;  ///< Number of connections opened and closed.
  std::uint64_t endpoint_updates = 0;
  std::uint64_t resident_after_warm_up = 0;  ///< Resident memory of the process, in bytes.
  std::uint64_t resident_at_end = 0;
};

/// Connects and disconnects callers, some during a request, and replaces endpoints.
ChurnRun measureChurn(BenchNode& node, const Address& backend, std::uint64_t rounds,
                      std::size_t body_bytes);

}  // namespace coursepond::bench
