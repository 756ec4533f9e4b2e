#include "egress/traffic_split.h"

#include <algorithm>
#include <numeric>

namespace coursepond::egress {
namespace {

std::int64_t weightSum(const std::vector<model::WeightedService>& split) {
  return std::accumulate(
      split.begin(), split.end(), std::int64_t{0},
      [](std::int64_t sum, const model::WeightedService& part) { return sum + part.weight; });
}

}  // namespace

const ServiceName& TrafficSplit::next(const model::Route& route) {
  if (route.split.empty()) return route.service;
  RouteState& state = route_states_[route.name];
  if (state.split != route.split) restart(state, route);
  return route.split[step(state)].service;
}

void TrafficSplit::restart(RouteState& state, const model::Route& route) const {
  state.split = route.split;
  state.current.assign(route.split.size(), 0);
  const std::int64_t sum = weightSum(route.split);
  // Otherwise, nodes that start at the same time would all begin with the same service.
  const std::uint64_t skipped = sum > 0 ? start_ % static_cast<std::uint64_t>(sum) : 0;
  for (std::uint64_t turns = 0; turns < skipped; ++turns) step(state);
}

std::size_t TrafficSplit::step(RouteState& state) {
  std::size_t best = 0;
  for (std::size_t part = 0; part < state.split.size(); ++part) {
    state.current[part] += state.split[part].weight;
    if (state.current[part] > state.current[best]) best = part;
  }
  state.current[best] -= weightSum(state.split);
  return best;
}

}  // namespace coursepond::egress
