#pragma once

/// Metrics in the Prometheus text format. Components keep plain counters; a MetricTable names each
/// metric and reads its value when metrics are requested, so that nothing is counted twice.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace coursepond::runtime {

enum class MetricType { kCounter, kGauge, kHistogram };

struct MetricLabel {
  std::string name;
  std::string value;
};

struct HistogramBucket {
  double upper_bound = 0;
  std::uint64_t cumulative = 0;  ///< Number of observations up to that bound.
};

struct HistogramValue {
  std::uint64_t count = 0;
  double sum = 0;
  std::vector<HistogramBucket> buckets;
};

/// One value of a metric.
struct MetricSample {
  std::vector<MetricLabel> labels;
  double value = 0;
  HistogramValue histogram = {};  ///< Used instead of `value` for a histogram.
};

struct Metric {
  std::string name;  ///< Without the prefix "coursepond_".
  MetricType type = MetricType::kCounter;
  std::string meaning;
  std::vector<std::string> labels;  ///< Label names, for the documentation.
  std::function<std::vector<MetricSample>()> read;
};

class MetricTable {
 public:
  void add(Metric metric);

  /// Adds a metric without labels.
  void addCounter(std::string name, std::string meaning, std::function<double()> read);
  void addGauge(std::string name, std::string meaning, std::function<double()> read);

  /// Returns the current values of all metrics in the text format.
  std::string exposition() const;

  /// Returns the table of docs/operators/METRICS.md as Markdown.
  std::string reference() const;

 private:
  std::vector<Metric> metrics_;
};

}  // namespace coursepond::runtime
