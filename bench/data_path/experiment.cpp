#include "experiment.h"

#include <algorithm>

#include "loaded_node.h"

namespace coursepond::data_path {
namespace {

constexpr Duration kWarmUp = std::chrono::seconds(5);
constexpr Duration kMeasured = std::chrono::seconds(15);
/// Time for the answers to the last measured requests to arrive.
constexpr Duration kTail = std::chrono::seconds(2);
constexpr std::uint64_t kSeedsPerRun = 1000;

model::SnapshotPointer makeSnapshot(const Scenario& scenario) {
  auto snapshot = std::make_shared<model::Snapshot>();
  snapshot->version = Version(1);
  model::Service service;
  service.name = ServiceName("corridor");
  service.slots_per_server = ServerShape().slots;
  service.connections_per_server = 120;
  service.retry_budget_percent = scenario.retry_budget_percent;
  snapshot->services[service.name] = service;
  model::Route route;
  route.name = RouteName("lookup");
  route.service = service.name;
  snapshot->routes.push_back(route);
  return snapshot;
}

double capacityPerSecond(const Scenario& scenario) {
  const ServerShape shape;
  // After an answer, a slot stays idle for one round trip until the next request arrives.
  const Duration mean = shape.min_service_time + shape.mean_extra_time + kRoundTrip;
  const double per_slot = 1.0 / std::chrono::duration<double>(mean).count();
  return per_slot * shape.slots * static_cast<double>(scenario.servers);
}

double loadFraction(const Scenario& scenario, std::size_t node) {
  if (scenario.busiest_node_fraction <= 0) return 1.0 / static_cast<double>(scenario.nodes);
  if (node == 0) return scenario.busiest_node_fraction;
  return (1.0 - scenario.busiest_node_fraction) / static_cast<double>(scenario.nodes - 1);
}

double quantileMs(const std::vector<Duration>& sorted, double quantile) {
  if (sorted.empty()) return 0;
  const auto index = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
  return static_cast<double>(sorted[index].count()) / 1000.0;
}

struct Totals {
  CallerView view;
  std::uint64_t requests = 0;
  std::uint64_t attempts = 0;
  std::uint64_t refusals = 0;

  void add(const LoadedNode& node) {
    const CallerView& seen = node.view();
    view.sent += seen.sent;
    view.answered += seen.answered;
    view.not_run += seen.not_run;
    view.unknown += seen.unknown;
    view.latencies.insert(view.latencies.end(), seen.latencies.begin(), seen.latencies.end());
    auto& seconds = view.answered_per_second;
    seconds.resize(std::max(seconds.size(), seen.answered_per_second.size()));
    for (std::size_t second = 0; second < seen.answered_per_second.size(); ++second) {
      seconds[second] += seen.answered_per_second[second];
    }
    requests += node.statistics().requests;
    attempts += node.statistics().attempts;
    refusals += node.statistics().server_refusals;
  }
};

double worstSecond(const CallerView& view) {
  const std::size_t first = kWarmUp / std::chrono::seconds(1);
  const std::size_t last = (kWarmUp + kMeasured) / std::chrono::seconds(1);
  if (view.answered_per_second.size() < last) return 0;
  const auto begin = view.answered_per_second.begin();
  return static_cast<double>(*std::min_element(begin + static_cast<std::ptrdiff_t>(first),
                                               begin + static_cast<std::ptrdiff_t>(last)));
}

Outcome summarize(Totals totals) {
  CallerView& view = totals.view;
  std::sort(view.latencies.begin(), view.latencies.end());
  const double seconds = std::chrono::duration<double>(kMeasured).count();
  const auto part = [](std::uint64_t number, std::uint64_t of) {
    return of == 0 ? 0.0 : static_cast<double>(number) / static_cast<double>(of);
  };
  Outcome outcome;
  outcome.p50_ms = quantileMs(view.latencies, 0.5);
  outcome.p99_ms = quantileMs(view.latencies, 0.99);
  outcome.goodput = static_cast<double>(view.answered) / seconds;
  outcome.offered = static_cast<double>(view.sent) / seconds;
  outcome.not_run = part(view.not_run, view.sent);
  outcome.unknown = part(view.unknown, view.sent);
  outcome.attempts = part(totals.attempts, totals.requests);
  outcome.refusals = part(totals.refusals, totals.requests);
  outcome.worst_second = worstSecond(view);
  return outcome;
}

}  // namespace

Outcome runExperiment(const Scenario& scenario, const Policy& policy, std::uint64_t seed) {
  simulation::VirtualTime time;
  const std::uint64_t first_seed = seed * kSeedsPerRun;
  Servers servers;
  for (std::size_t index = 0; index < scenario.servers; ++index) {
    servers.push_back(std::make_unique<SharedServer>(time, first_seed + index));
  }
  for (const ServerChange& change : scenario.changes) {
    time.schedule(change.at, [&servers, &change] { change.apply(servers); });
  }

  const model::SnapshotPointer snapshot = makeSnapshot(scenario);
  std::vector<std::unique_ptr<LoadedNode>> nodes;
  for (std::size_t index = 0; index < scenario.nodes; ++index) {
    nodes.push_back(std::make_unique<LoadedNode>(
        time, first_seed + 100 + 10 * index, policy.settings, snapshot, scenario.nodes, servers));
    const double rate = scenario.load * capacityPerSecond(scenario) * loadFraction(scenario, index);
    nodes.back()->beginLoad(rate, scenario.deadline);
  }

  time.runUntil(kWarmUp);
  for (const auto& node : nodes) node->beginMeasuring();
  time.runUntil(kWarmUp + kMeasured);
  // The load continues, so that the last measured requests compete with as many others.
  for (const auto& node : nodes) node->endMeasuring();
  time.runUntil(kWarmUp + kMeasured + kTail);

  Totals totals;
  for (const auto& node : nodes) totals.add(*node);
  return summarize(std::move(totals));
}

Outcome meanOutcome(const Scenario& scenario, const Policy& policy, std::uint64_t seeds) {
  constexpr double Outcome::*kFigures[] = {
      &Outcome::p50_ms,   &Outcome::p99_ms,   &Outcome::goodput,
      &Outcome::offered,  &Outcome::not_run,  &Outcome::unknown,
      &Outcome::attempts, &Outcome::refusals, &Outcome::worst_second};
  Outcome mean;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const Outcome outcome = runExperiment(scenario, policy, seed);
    for (double Outcome::*figure : kFigures) {
      mean.*figure += outcome.*figure / static_cast<double>(seeds);
    }
  }
  return mean;
}

}  // namespace coursepond::data_path
