// Measures what a new configuration version costs a node, for each step and without I/O: the
// closure check, the snapshot, the routing table, the state kept for other nodes, deltas between
// nodes and the complete state. See docs/MEASUREMENTS.md.

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

#include "egress/egress_state.h"
#include "model/delta.h"
#include "model/document.h"
#include "model/snapshot.h"
#include "source/held_state.h"
#include "source/state_update.h"

namespace coursepond {
namespace {

constexpr int kRoutesPerService = 8;
/// Number of routes that each version adds in a burst of changes.
constexpr int kAddedRoutes = 1400;

std::string serviceOf(int route) { return "service-" + std::to_string(route / kRoutesPerService); }

model::Route makeRoute(int number) {
  model::Route route;
  route.name = RouteName("route-" + std::to_string(number) + "-of-corridor");
  route.match.host = "tenant-" + std::to_string(number % 40) + ".freight.example";
  route.match.path_prefix = "/corridors/" + std::to_string(number) + "/sections";
  route.service = ServiceName(serviceOf(number));
  route.repeatability = number % 3 == 0 ? model::Repeatability::kNever  //
                                        : model::Repeatability::kAlways;
  route.longest_hold = std::chrono::milliseconds(2500);
  route.target_latency = std::chrono::milliseconds(800);
  route.rank = static_cast<std::uint32_t>(number % 3);
  route.max_attempts = 2;
  if (number % 20 == 0) route.split = {{route.service, 90}, {ServiceName(serviceOf(0)), 10}};
  return route;
}

model::Configuration makeConfiguration(std::uint64_t version, int routes) {
  model::Configuration configuration;
  configuration.version = Version(version);
  for (int number = 0; number < routes; ++number) {
    model::Route route = makeRoute(number);
    configuration.services[route.service].name = route.service;
    configuration.routes.emplace(route.name, std::move(route));
  }
  return configuration;
}

/// Returns the next version, with `added` more routes or, if `added` is zero, the first route
/// changed.
model::Configuration makeNext(const model::Configuration& base, int added) {
  const int routes = static_cast<int>(base.routes.size());
  model::Configuration next = makeConfiguration(base.version.value() + 1, routes + added);
  if (added == 0) next.routes.begin()->second.rank += 1;
  return next;
}

/// Returns the value; exits on an error, which cannot occur with the inputs of this benchmark.
template <typename Value>
Value require(Result<Value> result) {
  if (result) return std::move(*result);
  std::cerr << describe(result.error()) << '\n';
  std::exit(EXIT_FAILURE);
}

model::SnapshotPointer makeSnapshot(const model::Configuration& configuration) {
  return require(model::buildSnapshot(configuration, {}, ZoneId("a"), Digest()));
}

/// Returns a configuration whose number of routes is the benchmark's first argument.
model::Configuration configurationOf(const benchmark::State& state) {
  return makeConfiguration(1, static_cast<int>(state.range(0)));
}

void checkClosure(benchmark::State& state) {
  const model::Configuration configuration = configurationOf(state);
  while (state.KeepRunning()) benchmark::DoNotOptimize(model::checkClosure(configuration));
}

void digestContent(benchmark::State& state) {
  const model::Configuration configuration = configurationOf(state);
  while (state.KeepRunning()) benchmark::DoNotOptimize(model::contentDigest(configuration));
}

void copyConfiguration(benchmark::State& state) {
  const model::Configuration configuration = configurationOf(state);
  while (state.KeepRunning()) {
    auto copy = std::make_shared<const model::Configuration>(configuration);
    benchmark::DoNotOptimize(copy);
  }
}

void buildSnapshot(benchmark::State& state) {
  const model::Configuration configuration = configurationOf(state);
  while (state.KeepRunning()) benchmark::DoNotOptimize(makeSnapshot(configuration));
}

void buildRoutingTable(benchmark::State& state) {
  const model::SnapshotPointer snapshot = makeSnapshot(configurationOf(state));
  while (state.KeepRunning()) {
    const egress::RoutingTable table(snapshot, TimePoint());
    benchmark::DoNotOptimize(&table);
  }
}

void holdVersion(benchmark::State& state) {
  source::WatchBatch batch;
  batch.configurations.push_back(
      std::make_shared<const model::Configuration>(configurationOf(state)));
  while (state.KeepRunning()) {
    source::HeldState held;
    benchmark::DoNotOptimize(held.updateConfiguration(batch));
  }
}

/// Two successive versions: the target has `range(1)` more routes or, if that is zero, one changed
/// route.
struct Step {
  explicit Step(const benchmark::State& state)
      : base(configurationOf(state)), target(makeNext(base, static_cast<int>(state.range(1)))) {}
  model::Delta delta() const {
    return model::makeDelta(base, target, model::DeltaCheck::kVersions);
  }
  model::Configuration base;
  model::Configuration target;
};

void makeDelta(benchmark::State& state) {
  const Step step(state);
  while (state.KeepRunning()) benchmark::DoNotOptimize(step.delta());
}

void encodeDelta(benchmark::State& state) {
  source::StateUpdate update;
  update.delta = Step(state).delta();
  std::size_t bytes = 0;
  while (state.KeepRunning()) bytes = source::encodeStateUpdate(update).size();
  state.counters["bytes"] = static_cast<double>(bytes);
}

void decodeDelta(benchmark::State& state) {
  source::StateUpdate update;
  update.delta = Step(state).delta();
  const std::string bytes = source::encodeStateUpdate(update);
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(require(source::decodeStateUpdate(bytes)));
  }
}

void applyDelta(benchmark::State& state) {
  const Step step(state);
  const model::Delta delta = step.delta();
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(
        require(model::applyDelta(step.base, delta, model::DeltaCheck::kVersions)));
  }
}

source::StateUpdate wholeState(const benchmark::State& state) {
  source::StateUpdate update;
  update.configuration = std::make_shared<const model::Configuration>(configurationOf(state));
  return update;
}

void encodeWhole(benchmark::State& state) {
  const source::StateUpdate update = wholeState(state);
  std::size_t bytes = 0;
  while (state.KeepRunning()) bytes = source::encodeStateUpdate(update).size();
  state.counters["bytes"] = static_cast<double>(bytes);
}

void decodeWhole(benchmark::State& state) {
  const std::string bytes = source::encodeStateUpdate(wholeState(state));
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(require(source::decodeStateUpdate(bytes)));
  }
}

void takeInWhole(benchmark::State& state) {
  const source::StateUpdate update = wholeState(state);
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(require(source::toBatch(update, nullptr)));
  }
}

void routes(benchmark::internal::Benchmark* benchmark) {
  benchmark->ArgName("routes")->Arg(800)->Arg(2200)->Arg(5000)->Unit(benchmark::kMillisecond);
}

void steps(benchmark::internal::Benchmark* benchmark) {
  benchmark->ArgNames({"routes", "added"})->Unit(benchmark::kMillisecond);
  benchmark->ArgsProduct({{800, 2200, 5000}, {0, kAddedRoutes}});
}

BENCHMARK(checkClosure)->Apply(routes);
BENCHMARK(digestContent)->Apply(routes);
BENCHMARK(copyConfiguration)->Apply(routes);
BENCHMARK(buildSnapshot)->Apply(routes);
BENCHMARK(buildRoutingTable)->Apply(routes);
BENCHMARK(holdVersion)->Apply(routes);
BENCHMARK(makeDelta)->Apply(steps);
BENCHMARK(encodeDelta)->Apply(steps);
BENCHMARK(decodeDelta)->Apply(steps);
BENCHMARK(applyDelta)->Apply(steps);
BENCHMARK(encodeWhole)->Apply(routes);
BENCHMARK(decodeWhole)->Apply(routes);
BENCHMARK(takeInWhole)->Apply(routes);

}  // namespace
}  // namespace coursepond

BENCHMARK_MAIN();
