#pragma once

/// How long requests took, by side, service and outcome, for /metrics. Fed with the decisions that
/// end a request; the buckets are the metrics library's.

#include <prometheus/histogram.h>

#include <map>
#include <string>

#include "proxy/decision_log.h"
#include "runtime/metrics.h"

namespace coursepond::node {

class RequestHistograms {
 public:
  void observe(const proxy::Decision& decision);
  /// This must outlive `table`.
  void addTo(runtime::MetricTable& table) const;

 private:
  /// What one histogram is of.
  struct Series {
    std::string service;
    std::string outcome;
    friend auto operator<=>(const Series&, const Series&) = default;
  };
  using Histograms = std::map<Series, prometheus::Histogram>;

  static prometheus::Histogram& find(Histograms& histograms, const proxy::Decision& decision);
  static std::vector<runtime::MetricSample> samplesOf(const Histograms& histograms);

  Histograms egress_seconds_;  ///< From the request's arrival to its answer's head, both hops.
  Histograms queue_seconds_;   ///< At the ingress, before the server.
};

}  // namespace coursepond::node
