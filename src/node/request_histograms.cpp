#include "node/request_histograms.h"

#include <utility>

#include "core/time_arithmetic.h"

namespace coursepond::node {
namespace {

using proxy::Decision;
using proxy::DecisionKind;

/// Bucket boundaries in seconds, from the latency that one hop adds to the longest deadlines.
const prometheus::Histogram::BucketBoundaries kBoundaries = {
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

/// Maximum number of series in a histogram. Further services and outcomes share one series.
constexpr std::size_t kMaxSeries = 2000;

std::string outcomeOf(const Decision& decision) {
  if (decision.kind == DecisionKind::kForwarded) return "answered";
  if (decision.kind == DecisionKind::kCallerGone) return "caller_gone";
  return std::string(decision.reason);
}

bool isFinal(const Decision& decision) {
  return decision.kind == DecisionKind::kForwarded ||
         decision.kind == DecisionKind::kAnsweredItself ||
         decision.kind == DecisionKind::kCallerGone;
}

runtime::HistogramValue valueOf(const prometheus::Histogram& histogram) {
  const prometheus::ClientMetric metric = histogram.Collect();
  runtime::HistogramValue value;
  value.count = metric.histogram.sample_count;
  value.sum = metric.histogram.sample_sum;
  for (const auto& bucket : metric.histogram.bucket) {
    value.buckets.push_back({bucket.upper_bound, bucket.cumulative_count});
  }
  return value;
}

}  // namespace

void RequestHistograms::observe(const Decision& decision) {
  if (!isFinal(decision)) return;
  if (decision.side == proxy::kEgressSide) {
    find(egress_seconds_, decision).Observe(toSeconds(decision.elapsed));
  } else {
    find(queue_seconds_, decision).Observe(toSeconds(decision.inputs.queued));
  }
}

prometheus::Histogram& RequestHistograms::find(Histograms& histograms, const Decision& decision) {
  Series series{std::string(decision.service), outcomeOf(decision)};
  const auto found = histograms.find(series);
  if (found != histograms.end()) return found->second;
  // At an ingress the service name comes from the previous hop, which may send arbitrary names.
  if (histograms.size() >= kMaxSeries) series = Series{"other", "other"};
  return histograms.try_emplace(std::move(series), kBoundaries).first->second;
}

std::vector<runtime::MetricSample> RequestHistograms::samplesOf(const Histograms& histograms) {
  std::vector<runtime::MetricSample> samples;
  for (const auto& [series, histogram] : histograms) {
    runtime::MetricSample sample;
    sample.labels = {{"service", series.service}, {"outcome", series.outcome}};
    sample.histogram = valueOf(histogram);
    samples.push_back(std::move(sample));
  }
  return samples;
}

void RequestHistograms::addTo(runtime::MetricTable& table) const {
  const std::vector<std::string> labels = {"service", "outcome"};
  table.add({"egress_request_seconds", runtime::MetricType::kHistogram,
             "From a request's arrival to its answer's head, over both hops.", labels,
             [this] { return samplesOf(egress_seconds_); }});
  table.add({"ingress_queue_seconds", runtime::MetricType::kHistogram,
             "Time at the ingress before the server had the request, or before it was refused.",
             labels, [this] { return samplesOf(queue_seconds_); }});
}

}  // namespace coursepond::node
