#pragma once

/// Splits a route's requests among services by weight with smooth weighted round robin. In every
/// sequence of requests, each service gets its share with an error of at most one request.

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "model/configuration.h"

namespace coursepond::egress {

class TrafficSplit {
 public:
  /// `start` is an arbitrary number that makes the first choices differ between nodes.
  explicit TrafficSplit(std::uint64_t start) : start_(start) {}

  /// Returns the service for the next request of `route`.
  const ServiceName& next(const model::Route& route);

 private:
  struct RouteState {
    std::vector<model::WeightedService> split;  ///< The split that `current` belongs to.
    std::vector<std::int64_t> current;          ///< Current weight of each service.
  };
  void restart(RouteState& state, const model::Route& route) const;
  static std::size_t step(RouteState& state);

  std::uint64_t start_;
  std::unordered_map<RouteName, RouteState> route_states_;
};

}  // namespace coursepond::egress
