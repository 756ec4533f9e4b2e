#pragma once

#include <vector>

namespace coursepond::bench {

/// Latencies of one kind of request, in microseconds.
class Latencies {
 public:
  void add(double microseconds) { samples_.push_back(microseconds); }
  std::size_t size() const { return samples_.size(); }
  /// Returns the quantile for `part` (from 0 to 1); 0 if there are no samples.
  double quantile(double part) const;

 private:
  std::vector<double> samples_;
};

}  // namespace coursepond::bench
