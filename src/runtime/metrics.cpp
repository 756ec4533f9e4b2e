#include "runtime/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <utility>

namespace coursepond::runtime {
namespace {

constexpr char kPrefix[] = "coursepond_";

prometheus::ClientMetric::Histogram toHistogram(const HistogramValue& value) {
  prometheus::ClientMetric::Histogram histogram;
  histogram.sample_count = value.count;
  histogram.sample_sum = value.sum;
  for (const HistogramBucket& bucket : value.buckets) {
    histogram.bucket.push_back({bucket.cumulative, bucket.upper_bound});
  }
  return histogram;
}

prometheus::ClientMetric toClientMetric(const MetricSample& sample, MetricType type) {
  prometheus::ClientMetric metric;
  for (const MetricLabel& label : sample.labels) {
    metric.label.push_back(prometheus::ClientMetric::Label{label.name, label.value});
  }
  switch (type) {
    case MetricType::kCounter:
      metric.counter.value = sample.value;
      break;
    case MetricType::kGauge:
      metric.gauge.value = sample.value;
      break;
    case MetricType::kHistogram:
      metric.histogram = toHistogram(sample.histogram);
      break;
  }
  return metric;
}

prometheus::MetricType toFamilyType(MetricType type) {
  switch (type) {
    case MetricType::kCounter:
      return prometheus::MetricType::Counter;
    case MetricType::kGauge:
      return prometheus::MetricType::Gauge;
    case MetricType::kHistogram:
      return prometheus::MetricType::Histogram;
  }
  return prometheus::MetricType::Untyped;
}

const char* typeWord(MetricType type) {
  switch (type) {
    case MetricType::kCounter:
      return "counter";
    case MetricType::kGauge:
      return "gauge";
    case MetricType::kHistogram:
      return "histogram";
  }
  return "untyped";
}

prometheus::MetricFamily toFamily(const Metric& metric) {
  prometheus::MetricFamily family;
  family.name = kPrefix + metric.name;
  family.help = metric.meaning;
  family.type = toFamilyType(metric.type);
  for (const MetricSample& sample : metric.read()) {
    family.metric.push_back(toClientMetric(sample, metric.type));
  }
  return family;
}

Metric makeMetric(std::string name, MetricType type, std::string meaning,
                  std::function<double()> read) {
  return Metric{std::move(name), type, std::move(meaning), {}, [read = std::move(read)] {
                  return std::vector<MetricSample>{MetricSample{{}, read()}};
                }};
}

}  // namespace

void MetricTable::add(Metric metric) { metrics_.push_back(std::move(metric)); }

void MetricTable::addCounter(std::string name, std::string meaning, std::function<double()> read) {
  add(makeMetric(std::move(name), MetricType::kCounter, std::move(meaning), std::move(read)));
}

void MetricTable::addGauge(std::string name, std::string meaning, std::function<double()> read) {
  add(makeMetric(std::move(name), MetricType::kGauge, std::move(meaning), std::move(read)));
}

std::string MetricTable::exposition() const {
  std::vector<prometheus::MetricFamily> families;
  families.reserve(metrics_.size());
  for (const Metric& metric : metrics_) families.push_back(toFamily(metric));
  return prometheus::TextSerializer().Serialize(families);
}

std::string MetricTable::reference() const {
  std::string text = "| Metric | Type | Labels | Meaning |\n|---|---|---|---|\n";
  for (const Metric& metric : metrics_) {
    std::string labels;
    for (const std::string& label : metric.labels) labels += (labels.empty() ? "" : ", ") + label;
    text += "| `" + std::string(kPrefix) + metric.name + "` | " + typeWord(metric.type) + " | " +
            labels + " | " + metric.meaning + " |\n";
  }
  return text;
}

}  // namespace coursepond::runtime
