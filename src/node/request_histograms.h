#pragma once

/// Latency histograms for /metrics, by side, service and outcome. They are updated from the
/// decisions that end a request and use the histogram of the metrics library.

#include <prometheus/histogram.h>

#include <map>
#include <string>

#include "proxy/decision_log.h"
#include "runtime/metrics.h"

namespace coursepond::node {

class RequestHistograms {
 public:
  void observe(const proxy::Decision& decision);
  /// Adds the histograms to `table`. This object must outlive `table`.
  void addTo(runtime::MetricTable& table) const;

 private:
  /// Labels of one histogram.
  struct Series {
    std::string service;
    std::string outcome;
    friend auto operator<=>(const Series&, const Series&) = default;
  };
  using Histograms = std::map<Series, prometheus::Histogram>;

  static prometheus::Histogram& find(Histograms& histograms, const proxy::Decision& decision);
  static std::vector<runtime::MetricSample> samplesOf(const Histograms& histograms);

  Histograms egress_seconds_;  ///< From request arrival to answer head, over both hops.
  Histograms queue_seconds_;   ///< Time at the ingress before the server.
};

}  // namespace coursepond::node
