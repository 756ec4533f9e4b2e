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
  Turn& turn = turns_[route.name];
  if (turn.split != route.split) restart(turn, route);
  return route.split[step(turn)].service;
}

void TrafficSplit::restart(Turn& turn, const model::Route& route) const {
  turn.split = route.split;
  turn.current.assign(route.split.size(), 0);
  const std::int64_t sum = weightSum(route.split);
  // Nodes that begin together would otherwise all begin with the same part.
  const std::uint64_t skipped = sum > 0 ? start_ % static_cast<std::uint64_t>(sum) : 0;
  for (std::uint64_t turns = 0; turns < skipped; ++turns) step(turn);
}

std::size_t TrafficSplit::step(Turn& turn) {
  std::size_t best = 0;
  for (std::size_t part = 0; part < turn.split.size(); ++part) {
    turn.current[part] += turn.split[part].weight;
    if (turn.current[part] > turn.current[best]) best = part;
  }
  turn.current[best] -= weightSum(turn.split);
  return best;
}

}  // namespace coursepond::egress
