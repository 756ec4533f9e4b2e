/// Measures the data path of one node over loopback: added latency, throughput on one core, CPU
/// time per request and memory under churn. Node, back end and load generator run on three threads
/// of this process.

#include <cstdio>
#include <cxxopts.hpp>

#include "light_backend.h"
#include "runs.h"

namespace {

using namespace coursepond;
using namespace coursepond::bench;

constexpr double kTargetAddedMicroseconds = 480;
constexpr double kTargetRequestsPerSecond = 20000;

void printLatency(BenchNode& node, const Address& backend, const LatencyRunSettings& settings) {
  const LatencyRun run = measureLatency(node, backend, settings);
  std::printf("latency at %.0f requests/s, %zu direct and %zu through the node, %llu failures\n",
              settings.requests_per_second, run.direct.size(), run.through_node.size(),
              static_cast<unsigned long long>(run.failures));
  std::printf("  %-8s %12s %12s %12s\n", "", "direct us", "node us", "added us");
  for (const auto& [name, part] : {std::pair{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}}) {
    const double direct = run.direct.quantile(part);
    const double through_node = run.through_node.quantile(part);
    std::printf("  %-8s %12.0f %12.0f %12.0f\n", name, direct, through_node, through_node - direct);
  }
  const double added = run.through_node.quantile(0.99) - run.direct.quantile(0.99);
  std::printf("  node CPU %.1f us per request; aim p99 added < %.0f us: %s\n",
              run.node_cpu_seconds * 1e6 / static_cast<double>(run.through_node.size()),
              kTargetAddedMicroseconds, added < kTargetAddedMicroseconds ? "met" : "NOT met");
}

void printThroughput(BenchNode& node, double seconds, std::size_t connections,
                     std::size_t body_bytes) {
  const ThroughputRun run = measureThroughput(node, seconds, connections, body_bytes);
  const double rate = static_cast<double>(run.answers) / run.seconds;
  std::printf(
      "throughput, %zu connections: %.0f requests/s, %llu failures, node thread %.0f%% busy, "
      "CPU %.1f us per request; aim > %.0f: %s\n",
      connections, rate, static_cast<unsigned long long>(run.failures),
      100 * run.node_cpu_seconds / run.seconds,
      run.node_cpu_seconds * 1e6 / static_cast<double>(run.answers), kTargetRequestsPerSecond,
      rate > kTargetRequestsPerSecond ? "met" : "NOT met");
}

void printChurn(BenchNode& node, const Address& backend, std::uint64_t rounds,
                std::size_t body_bytes) {
  const ChurnRun run = measureChurn(node, backend, rounds, body_bytes);
  std::printf(
      "churn: %llu answers, %llu callers came and left, %llu endpoint updates; resident memory "
      "%.2f MB after a quarter, %.2f MB at the end\n",
      static_cast<unsigned long long>(run.answers), static_cast<unsigned long long>(run.callers),
      static_cast<unsigned long long>(run.endpoint_updates),
      static_cast<double>(run.resident_after_warm_up) / 1e6,
      static_cast<double>(run.resident_at_end) / 1e6);
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("coursepond-bench-proxy", "Measures the data path of one node");
  options.add_options()  //
      ("rate", "Requests per second of the latency run",
       cxxopts::value<double>()->default_value("2000"))(
          "pairs", "Window pairs of the latency run; 0 leaves it out",
          cxxopts::value<int>()->default_value("40"))(
          "seconds", "Length of the throughput run; 0 leaves it out",
          cxxopts::value<double>()->default_value("5"))(
          "connections", "Callers of the throughput run",
          cxxopts::value<std::size_t>()->default_value("64"))(
          "body", "Bytes of an answer's body",
          cxxopts::value<std::size_t>()->default_value("1024"))(
          "churn", "Rounds of the churn run; 0 leaves it out",
          cxxopts::value<std::uint64_t>()->default_value("2000"))("help", "Print this");
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::puts(options.help().c_str());
    return 0;
  }
  const auto body_bytes = arguments["body"].as<std::size_t>();
  EventThread backend_thread("backend");
  std::unique_ptr<LightBackend> backend;
  backend_thread.run(
      [&] { backend = std::make_unique<LightBackend>(backend_thread.context(), body_bytes); });
  {
    BenchNode node(backend->address());
    LatencyRunSettings settings;
    settings.requests_per_second = arguments["rate"].as<double>();
    settings.window_pairs = arguments["pairs"].as<int>();
    settings.body_bytes = body_bytes;
    if (settings.window_pairs > 0) printLatency(node, backend->address(), settings);
    const double seconds = arguments["seconds"].as<double>();
    const auto connections = arguments["connections"].as<std::size_t>();
    if (seconds > 0) printThroughput(node, seconds, connections, body_bytes);
    const auto rounds = arguments["churn"].as<std::uint64_t>();
    if (rounds > 0) printChurn(node, backend->address(), rounds, body_bytes);
    std::printf("counters: %s\n", node.counters().c_str());
  }
  backend_thread.run([&] { backend.reset(); });
  return 0;
}
