#pragma once

/// The longest latency among the recent requests to a service: an estimate of how long the next one
/// may take.

#include <optional>

#include "core/time.h"

namespace coursepond::egress {

class LongestLatency {
 public:
  void add(Duration latency, TimePoint now);
  /// Returns the maximum of the last one to two windows; empty if there was no sample.
  std::optional<Duration> value(TimePoint now) const;

 private:
  struct Window {
    TimePoint begin;
    std::optional<Duration> longest;
  };
  Window current_;
  Window previous_;
};

}  // namespace coursepond::egress
