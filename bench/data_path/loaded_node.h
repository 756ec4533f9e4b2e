#pragma once

/// One node of the experiment: the production ProxyState under an open-loop load (arrivals don't
/// wait for answers).

#include <list>
#include <memory>
#include <vector>

#include "proxy/proxy_state.h"
#include "proxy/request_flow.h"
#include "random_source.h"
#include "shared_server.h"
#include "virtual_time.h"

namespace coursepond::data_path {

/// Network round trip time between a node and a server.
inline constexpr Duration kRoundTrip = std::chrono::milliseconds(1);

/// Outcome of the requests of the measured part of a run, as seen by callers.
struct CallerView {
  std::vector<Duration> latencies;  ///< Latencies of successful answers.
  std::uint64_t sent = 0;           ///< Requests.
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  /// Answers in the whole run, by the second of the answer.
  std::vector<std::uint64_t> answered_per_second;
};

/// The Environment of one simulated node.
class NodeEnvironment final : public Environment {
 public:
  NodeEnvironment(simulation::VirtualTime& time, std::uint64_t seed) : time_(time), random_(seed) {}
  TimePoint now() const override { return time_.now(); }
  TimerId schedule(Duration delay, std::function<void()> callback) override {
    return time_.schedule(delay, std::move(callback));
  }
  void cancel(TimerId timer) override { time_.cancel(timer); }
  std::uint64_t random(std::uint64_t bound) override { return random_.below(bound); }

 private:
  simulation::VirtualTime& time_;
  simulation::RandomSource random_;
};

class LoadedNode {
 public:
  LoadedNode(simulation::VirtualTime& time, std::uint64_t seed, const proxy::Settings& settings,
             const model::SnapshotPointer& snapshot, std::size_t nodes, Servers& servers);
  ~LoadedNode();

  /// Starts a Poisson arrival process with this mean rate.
  void beginLoad(double requests_per_second, Duration deadline);
  /// Includes requests that arrive from now on in view().
  void beginMeasuring() { measuring_ = true; }
  /// Excludes requests that arrive from now on from view().
  void endMeasuring() { measuring_ = false; }

  const CallerView& view() const { return view_; }
  const proxy::ProxyStatistics& statistics() const { return state_.statistics(); }

 private:
  class Exchange;

  void arrive();
  void scheduleArrival();
  void sweep();

  simulation::VirtualTime& time_;
  simulation::RandomSource random_;
  NodeEnvironment environment_;
  proxy::ProxyState state_;
  Servers& servers_;
  double requests_per_second_ = 0;
  Duration deadline_{};
  bool measuring_ = false;
  CallerView view_;
  std::list<std::unique_ptr<Exchange>> exchanges_;
};

}  // namespace coursepond::data_path
