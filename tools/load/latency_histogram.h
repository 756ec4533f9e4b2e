#pragma once

/// Records latencies in log-linear buckets: each power of two of microseconds is divided into 64
/// equal buckets, so a percentile is at most 1.6 % above the true value. Memory use is constant.

#include <array>
#include <cstdint>

#include "core/time.h"

namespace coursepond::load {

class LatencyHistogram {
 public:
  /// Negative latencies count as zero.
  void record(Duration latency);
  void merge(const LatencyHistogram& other);

  std::uint64_t count() const { return count_; }
  Duration max() const { return max_; }
  /// Returns the upper bound of the first bucket at or below which at least `quantile` (0 to 1) of
  /// all values lie, at most max(). Returns zero when nothing was recorded.
  Duration percentile(double quantile) const;

 private:
  static constexpr unsigned kSubBucketBits = 6;
  static constexpr std::uint64_t kSubBuckets = 1U << kSubBucketBits;
  static constexpr std::size_t kBuckets = (64 - kSubBucketBits + 1) * kSubBuckets;

  static std::size_t bucketOf(std::uint64_t value);
  static std::uint64_t highestOf(std::size_t bucket);

  std::array<std::uint64_t, kBuckets> buckets_{};
  std::uint64_t count_ = 0;
  Duration max_{};
};

}  // namespace coursepond::load
