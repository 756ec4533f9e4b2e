#pragma once

/// Divides a route's requests among services by weight: smooth weighted round robin, so that every
/// run of requests has the shares it should have, up to one request per part.

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "model/configuration.h"

namespace coursepond::egress {

class TrafficSplit {
 public:
  /// `start` (any number) makes the first choices of several nodes differ.
  explicit TrafficSplit(std::uint64_t start) : start_(start) {}

  /// The service for the next request of `route`.
  const ServiceName& next(const model::Route& route);

 private:
  struct Turn {
    std::vector<model::WeightedService> split;  ///< That `current` belongs to.
    std::vector<std::int64_t> current;
  };
  void restart(Turn& turn, const model::Route& route) const;
  static std::size_t step(Turn& turn);

  std::uint64_t start_;
  std::unordered_map<RouteName, Turn> turns_;
};

}  // namespace coursepond::egress
