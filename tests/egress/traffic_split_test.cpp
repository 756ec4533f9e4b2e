#include "egress/traffic_split.h"

#include <doctest/doctest.h>

#include <map>

namespace coursepond::egress {
namespace {

model::Route makeRoute(std::vector<model::WeightedService> split) {
  model::Route route;
  route.name = RouteName("r");
  route.service = ServiceName("only");
  route.split = std::move(split);
  return route;
}

std::map<ServiceName, int> count(TrafficSplit& split, const model::Route& route, int requests) {
  std::map<ServiceName, int> counts;
  for (int request = 0; request < requests; ++request) ++counts[split.next(route)];
  return counts;
}

}  // namespace

TEST_CASE("a route without a split goes to its service") {
  TrafficSplit split(0);
  CHECK(split.next(makeRoute({})) == ServiceName("only"));
}

TEST_CASE("every sequence of requests is split by weight, whatever the start") {
  const model::Route route =
      makeRoute({{ServiceName("new"), 10}, {ServiceName("old"), 90}, {ServiceName("off"), 0}});
  for (const std::uint64_t start : {0ULL, 1ULL, 55ULL, 123456789ULL}) {
    TrafficSplit split(start);
    for (int round = 0; round < 5; ++round) {
      const auto counts = count(split, route, 100);
      CHECK(counts.at(ServiceName("new")) == 10);
      CHECK(counts.at(ServiceName("old")) == 90);
      CHECK_FALSE(counts.contains(ServiceName("off")));
    }
  }
}

TEST_CASE("new weights apply from the next request") {
  TrafficSplit split(7);
  count(split, makeRoute({{ServiceName("new"), 1}, {ServiceName("old"), 99}}), 50);
  const auto counts =
      count(split, makeRoute({{ServiceName("new"), 50}, {ServiceName("old"), 50}}), 100);
  CHECK(counts.at(ServiceName("new")) == 50);
}

}  // namespace coursepond::egress
