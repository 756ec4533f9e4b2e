#include "latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace coursepond::load {

std::size_t LatencyHistogram::bucketOf(std::uint64_t value) {
  if (value < kSubBuckets) return value;
  const unsigned exponent = static_cast<unsigned>(std::bit_width(value)) - 1 - kSubBucketBits;
  const std::uint64_t sub_bucket = (value >> exponent) - kSubBuckets;
  return (exponent + 1) * kSubBuckets + sub_bucket;
}

std::uint64_t LatencyHistogram::highestOf(std::size_t bucket) {
  if (bucket < kSubBuckets) return bucket;
  const std::size_t exponent = bucket / kSubBuckets - 1;
  const std::uint64_t lowest = (kSubBuckets + bucket % kSubBuckets) << exponent;
  return lowest + (std::uint64_t{1} << exponent) - 1;
}

void LatencyHistogram::record(Duration latency) {
  const Duration value = std::max(latency, Duration::zero());
  ++buckets_[bucketOf(static_cast<std::uint64_t>(value.count()))];
  ++count_;
  max_ = std::max(max_, value);
}

void LatencyHistogram::merge(const LatencyHistogram& other) {
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    buckets_[bucket] += other.buckets_[bucket];
  }
  count_ += other.count_;
  max_ = std::max(max_, other.max_);
}

Duration LatencyHistogram::percentile(double quantile) const {
  const auto wanted = static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(count_)));
  std::uint64_t seen = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    seen += buckets_[bucket];
    if (seen >= std::max<std::uint64_t>(1, wanted)) {
      return std::min(max_, Duration(static_cast<std::int64_t>(highestOf(bucket))));
    }
  }
  return max_;
}

}  // namespace coursepond::load
