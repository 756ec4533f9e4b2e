#include "runs.h"

#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <chrono>
#include <deque>
#include <fstream>
#include <memory>
#include <vector>

#include "load_connection.h"

namespace coursepond::bench {
namespace {

using Clock = std::chrono::steady_clock;

double microsecondsSince(Clock::time_point start) {
  return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
}

Clock::duration seconds(double value) {
  return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(value));
}

/// Sends requests at planned times over keep-alive connections to one address.
class OpenLoop {
 public:
  OpenLoop(boost::asio::io_context& context, const Address& address,
           const LatencyRunSettings& settings, Latencies& latencies, std::uint64_t& failures)
      : latencies_(latencies), failures_(failures) {
    planned_.resize(settings.connections);
    for (std::size_t index = 0; index < settings.connections; ++index) {
      connections_.push_back(std::make_unique<LoadConnection>(
          context, address, settings.body_bytes, [this, index](bool ok) { onAnswer(index, ok); }));
      free_.push_back(index);
    }
  }

  void add(Clock::time_point planned) {
    waiting_.push_back(planned);
    sendWaiting();
  }
  bool idle() const { return waiting_.empty() && free_.size() == connections_.size(); }

 private:
  void sendWaiting() {
    while (!waiting_.empty() && !free_.empty()) {
      const std::size_t index = free_.back();
      free_.pop_back();
      planned_[index] = waiting_.front();
      waiting_.pop_front();
      connections_[index]->send();
    }
  }

  void onAnswer(std::size_t index, bool ok) {
    if (ok) {
      latencies_.add(microsecondsSince(planned_[index]));
    } else {
      ++failures_;
    }
    free_.push_back(index);
    sendWaiting();
  }

  Latencies& latencies_;
  std::uint64_t& failures_;
  std::vector<std::unique_ptr<LoadConnection>> connections_;
  std::vector<Clock::time_point> planned_;
  std::vector<std::size_t> free_;
  std::deque<Clock::time_point> waiting_;
};

/// Sends the planned requests of one window and waits until all are answered.
void runWindow(boost::asio::io_context& context, OpenLoop& loop,
               const LatencyRunSettings& settings) {
  const Clock::time_point start = Clock::now();
  const Clock::time_point end = start + seconds(settings.window_seconds);
  const Clock::duration step = seconds(1 / settings.requests_per_second);
  for (Clock::time_point planned = start; planned < end; planned += step) {
    while (Clock::now() < planned) context.poll();
    loop.add(planned);
  }
  while (!loop.idle()) context.poll();
}

std::uint64_t residentBytes() {
  std::ifstream file("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

/// Runs one caller of the churn run: it sends a few requests and disconnects. Every third caller
/// disconnects during a request.
std::uint64_t runChurnCaller(boost::asio::io_context& context, const Address& node,
                             std::size_t body_bytes, std::uint64_t number) {
  constexpr std::uint64_t kRequestsPerCaller = 5;
  std::uint64_t answers = 0;
  bool lost = false;
  LoadConnection connection(context, node, body_bytes, [&](bool ok) {
    answers += ok ? 1 : 0;
    lost = lost || !ok;
  });
  for (std::uint64_t request = 0; request < kRequestsPerCaller && !lost; ++request) {
    connection.send();
    while (connection.busy()) context.run_one();
  }
  if (number % 3 == 0) connection.send();
  return answers;
}

}  // namespace

LatencyRun measureLatency(BenchNode& node, const Address& backend,
                          const LatencyRunSettings& settings) {
  LatencyRun run;
  Latencies warm_up;
  boost::asio::io_context context(1);
  const auto work = boost::asio::make_work_guard(context);
  {
    OpenLoop direct(context, backend, settings, warm_up, run.failures);
    OpenLoop through_node(context, node.address(), settings, warm_up, run.failures);
    runWindow(context, direct, settings);
    runWindow(context, through_node, settings);
  }
  context.poll();
  OpenLoop direct(context, backend, settings, run.direct, run.failures);
  OpenLoop through_node(context, node.address(), settings, run.through_node, run.failures);
  for (int pair = 0; pair < settings.window_pairs; ++pair) {
    runWindow(context, direct, settings);
    const double before = node.cpuSeconds();
    runWindow(context, through_node, settings);
    run.node_cpu_seconds += node.cpuSeconds() - before;
  }
  return run;
}

ThroughputRun measureThroughput(BenchNode& node, double seconds_to_run, std::size_t connections,
                                std::size_t body_bytes) {
  ThroughputRun run;
  boost::asio::io_context context(1);
  std::vector<std::unique_ptr<LoadConnection>> callers;
  for (std::size_t index = 0; index < connections; ++index) {
    callers.push_back(std::make_unique<LoadConnection>(context, node.address(), body_bytes,
                                                       [&run, &callers, index](bool ok) {
                                                         ++(ok ? run.answers : run.failures);
                                                         if (ok) callers[index]->send();
                                                       }));
  }
  for (const auto& caller : callers) caller->send();
  context.run_for(std::chrono::milliseconds(300));

  run = {};
  const double cpu_before = node.cpuSeconds();
  const Clock::time_point start = Clock::now();
  context.run_for(seconds(seconds_to_run));
  run.seconds = microsecondsSince(start) / 1e6;
  run.node_cpu_seconds = node.cpuSeconds() - cpu_before;
  return run;
}

ChurnRun measureChurn(BenchNode& node, const Address& backend, std::uint64_t rounds,
                      std::size_t body_bytes) {
  constexpr std::uint64_t kCallersPerRound = 10;
  ChurnRun run;
  boost::asio::io_context context(1);
  const auto work = boost::asio::make_work_guard(context);
  for (std::uint64_t round = 0; round < rounds; ++round) {
    for (std::uint64_t caller = 0; caller < kCallersPerRound; ++caller) {
      run.answers += runChurnCaller(context, node.address(), body_bytes, run.callers++);
      context.poll();
    }
    node.replaceEndpoints(backend, "e" + std::to_string(round % 7));
    ++run.endpoint_updates;
    if (round == rounds / 4) run.resident_after_warm_up = residentBytes();
  }
  run.resident_at_end = residentBytes();
  return run;
}

}  // namespace coursepond::bench
