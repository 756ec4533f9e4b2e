// Measures the CPU cost per request of the data path's decisions, without I/O: routing, admission,
// server selection, the deadline and processing of the answer. See docs/MEASUREMENTS.md.

#include <benchmark/benchmark.h>

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "proxy/proxy_state.h"
#include "proxy/request_flow.h"

namespace coursepond::proxy {
namespace {

/// Uses the real clock. Timers never fire, because no request here gets near its deadline.
class BenchmarkEnvironment final : public Environment {
 public:
  TimePoint now() const override { return BootClock::now(); }
  TimerId schedule(Duration, std::function<void()>) override { return ++last_timer_; }
  void cancel(TimerId) override {}
  std::uint64_t random(std::uint64_t bound) override { return engine_() % bound; }

 private:
  TimerId last_timer_ = 0;
  std::mt19937_64 engine_{1};
};

/// Performs no I/O; only keeps the compiler from optimizing the decisions away.
class BenchmarkIo final : public RequestIo {
 public:
  void startAttempt(const AttemptPlan& plan) override {
    attempt = plan.id;
    benchmark::DoNotOptimize(plan.endpoint.address.port);
  }
  void cancelAttempt(AttemptId) override {}
  void discardAnswer(AttemptId) override {}
  void forwardAnswer(AttemptId) override {}
  void answerLocally(const LocalAnswer& answer) override {
    benchmark::DoNotOptimize(answer.status);
  }
  AttemptId attempt = 0;
};

struct InFlight {
  InFlight(RequestHead head, ProxyState& state, Environment& environment)
      : flow(std::move(head), state, environment, io) {}
  BenchmarkIo io;
  RequestFlow flow;
};

model::SnapshotPointer makeSnapshot(int routes, std::uint32_t slots) {
  auto snapshot = std::make_shared<model::Snapshot>();
  snapshot->version = Version(1);
  model::Service service;
  service.name = ServiceName("corridor");
  service.slots_per_server = slots;
  snapshot->services[service.name] = service;
  for (int number = 0; number < routes; ++number) {
    model::Route route;
    route.name = RouteName("route-" + std::to_string(number));
    route.match.host = "freight.example";
    route.match.path_prefix = "/corridors/" + std::to_string(number);
    route.service = service.name;
    snapshot->routes.push_back(route);
  }
  return snapshot;
}

model::EndpointSet makeServers(int count) {
  model::EndpointSet set{ServiceName("corridor"), ZoneId("a"), Generation(1), {}};
  for (int number = 0; number < count; ++number) {
    set.endpoints.push_back({EndpointId("corridor-" + std::to_string(number)),
                             Address{"127.10.1.10", 9000}, ZoneId("a"),
                             model::MachineState::kLive});
  }
  return set;
}

RequestHead makeHead() {
  RequestHead head;
  head.request_id = "0123456789abcdef0123";
  head.method = "GET";
  head.host = "freight.example";
  head.path = "/corridors/7/sections/12";
  head.headers = {{"Accept", "application/json"}, {"User-Agent", "bench"}, {"X-Tier", "gold"}};
  return head;
}

struct Node {
  Node(int routes, int servers, std::uint32_t slots) : state(ZoneId("a"), Settings(), environment) {
    state.apply(makeSnapshot(routes, slots));
    state.updateEndpoints(makeServers(servers));
  }

  std::unique_ptr<InFlight> begin() {
    auto request = std::make_unique<InFlight>(makeHead(), state, environment);
    request->flow.start();
    return request;
  }

  BenchmarkEnvironment environment;
  ProxyState state;
};

AnswerHead okAnswer() {
  AnswerHead head;
  head.status = 200;
  head.load = 0.5;
  return head;
}

AnswerHead refusal() {
  AnswerHead head;
  head.status = 503;
  head.not_run = true;
  return head;
}

/// Measures a request that its first server answers while `range(2)` others are in flight.
void servedRequest(benchmark::State& benchmark_state) {
  Node node(static_cast<int>(benchmark_state.range(0)), static_cast<int>(benchmark_state.range(1)),
            1000);
  std::deque<std::unique_ptr<InFlight>> in_flight;
  for (int number = 0; number < benchmark_state.range(2); ++number) {
    in_flight.push_back(node.begin());
  }
  while (benchmark_state.KeepRunning()) {
    in_flight.push_back(node.begin());
    InFlight& oldest = *in_flight.front();
    oldest.flow.onAnswerHead(oldest.io.attempt, okAnswer());
    oldest.flow.onAnswerComplete(oldest.io.attempt);
    in_flight.pop_front();
  }
  benchmark_state.SetItemsProcessed(benchmark_state.iterations());
}
BENCHMARK(servedRequest)
    ->ArgNames({"routes", "servers", "in_flight"})
    ->Args({10, 4, 16})
    ->Args({10, 4, 200})
    ->Args({1000, 100, 200});

/// Measures requests with all slots in use: each waits in the queue until the oldest one ends.
void queuedRequest(benchmark::State& benchmark_state) {
  Node node(10, static_cast<int>(benchmark_state.range(0)), 10);
  std::deque<std::unique_ptr<InFlight>> in_flight;
  const auto slots = 10 * benchmark_state.range(0);
  for (std::int64_t number = 0; number < slots + 100; ++number) in_flight.push_back(node.begin());
  while (benchmark_state.KeepRunning()) {
    in_flight.push_back(node.begin());
    InFlight& oldest = *in_flight.front();
    oldest.flow.onAnswerHead(oldest.io.attempt, okAnswer());
    oldest.flow.onAnswerComplete(oldest.io.attempt);
    in_flight.pop_front();
  }
  if (node.state.statistics().queued < static_cast<std::uint64_t>(benchmark_state.iterations())) {
    benchmark_state.SkipWithError("requests did not wait");
  }
  benchmark_state.SetItemsProcessed(benchmark_state.iterations());
}
BENCHMARK(queuedRequest)->ArgName("servers")->Arg(4)->Arg(100);

/// Measures the cost of a refusal in overload, when the queue is full.
void refusedRequest(benchmark::State& benchmark_state) {
  Node node(10, 4, 10);
  constexpr int kEnoughToFillTheQueue = 400;
  std::vector<std::unique_ptr<InFlight>> in_flight;
  in_flight.reserve(kEnoughToFillTheQueue);
  for (int number = 0; number < kEnoughToFillTheQueue; ++number) in_flight.push_back(node.begin());
  while (benchmark_state.KeepRunning()) node.begin();
  benchmark_state.SetItemsProcessed(benchmark_state.iterations());
}
BENCHMARK(refusedRequest);

/// Measures a request that the first server refuses and the second one answers.
void retriedRequest(benchmark::State& benchmark_state) {
  Node node(10, 8, 1000);
  std::uint64_t retried = 0;
  while (benchmark_state.KeepRunning()) {
    const auto request = node.begin();
    request->flow.onAnswerHead(request->io.attempt, refusal());
    if (request->io.attempt == 2) ++retried;
    request->flow.onAnswerHead(request->io.attempt, okAnswer());
    request->flow.onAnswerComplete(request->io.attempt);
  }
  benchmark_state.counters["retried_part"] =
      static_cast<double>(retried) / static_cast<double>(benchmark_state.iterations());
}
BENCHMARK(retriedRequest);

}  // namespace
}  // namespace coursepond::proxy

BENCHMARK_MAIN();
