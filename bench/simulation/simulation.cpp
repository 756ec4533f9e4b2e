#include "simulation.h"

#include <algorithm>
#include <deque>

#include "fault_injector.h"
#include "traffic.h"

namespace coursepond::simulation {
namespace {

constexpr Duration kWatchInterval = std::chrono::milliseconds(250);
/// Time after the last fault until roles are stable.
constexpr Duration kRolesSettleTime = std::chrono::seconds(12);
/// Time after which each part of a partitioned mesh must have converged.
constexpr Duration kPartSettleTime = std::chrono::seconds(10);
constexpr Duration kReadWindow = std::chrono::seconds(5);

NetworkQuality qualityOf(const Deployment& deployment) {
  NetworkQuality quality;
  quality.zone_latency = deployment.zone_latency;
  return quality;
}

class Simulation {
 public:
  explicit Simulation(const RunOptions& options)
      : options_(options),
        deployment_(deploymentOf(options.scenario, options.seed)),
        random_(options.seed),
        network_(time_, draw(), qualityOf(deployment_)),
        platform_(time_, draw()),
        violations_(time_, trace_),
        request_checks_(time_, violations_),
        memory_checks_(time_, violations_, [this] { return mesh_.recordHolders(); }),
        configuration_checks_(time_, violations_, memory_checks_),
        fleet_(time_, network_, request_checks_, deployment_, draw(), [this] { listMachines(); }),
        mesh_(context(), deployment_, draw(), mesh_calm_, [this] { listMachines(); }),
        operators_(time_, mesh_, platform_, configuration_checks_, trace_, deployment_, draw(),
                   options.without),
        traffic_(time_, mesh_, request_checks_, deployment_, draw()),
        injector_({time_, network_, platform_, mesh_, fleet_, operators_, request_checks_,
                   configuration_checks_, trace_, deployment_, mesh_calm_, platform_calm_},
                  draw()) {}

  RunReport run() {
    begin();
    time_.runUntil(phases::kEnd);
    return report();
  }

 private:
  std::uint64_t draw() { return random_.below(1ULL << 62U); }

  SimulationContext context() {
    return {time_,
            network_,
            platform_,
            request_checks_,
            configuration_checks_,
            memory_checks_,
            violations_,
            trace_,
            options_.without,
            [this](const EndpointId& server) { return fleet_.find(server); },
            [this] { return std::min(mesh_calm_.length(), platform_calm_.length()); }};
  }

  void begin() {
    trace_.printTo(options_.trace_output);
    const Scenario& scenario = options_.scenario;
    faults_ = options_.faults.value_or(
        drawFaults(random_, scenario.faults, scenario.most_faults, phases::kFaults));
    platform_.setReadObserver([this](const NodeId& reader) { onRead(reader); });
    operators_.publish();
    configuration_checks_.onAllLost();  // No record exists yet.
    if (options_.allows_late_adoption) configuration_checks_.allowLateAdoption();
    mesh_.startAll();
    time_.schedule(phases::kWarmUp, [this, &scenario] {
      operators_.start(scenario.operators, phases::kOperatorsEnd);
      traffic_.start(phases::kTrafficEnd);
    });
    injector_.schedule(faults_);
    watch();
  }

  void listMachines() { platform_.setMachines(mesh_.listedNodes(), fleet_.listed()); }

  void onRead(const NodeId& reader) {
    reads_.push_back({reader, time_.now()});
    NodeProcess* process = mesh_.find(reader);
    if (process != nullptr) process->onPlatformRead();
  }

  void watch() {
    time_.schedule(kWatchInterval, [this] {
      checkReaders();
      checkConverged();
      if (!violations_.first()) watch();
    });
  }

  void checkReaders() {
    while (!reads_.empty() && time_.now() - reads_.front().when > kReadWindow) reads_.pop_front();
    if (mesh_calm_.length() < kRolesSettleTime || time_.elapsed() < phases::kWarmUp) return;
    std::set<NodeId> readers;
    for (const Read& read : reads_) readers.insert(read.reader);
    if (readers.size() <= membership::kSourceReaders) return;
    violations_.report(promises::kFewReaders, std::to_string(readers.size()) +
                                                  " nodes read the platform within 5 s, long "
                                                  "after the last fault");
  }

  void checkConverged() {
    std::vector<ProxyStatus> proxies = mesh_.statuses();
    std::erase_if(proxies, [](const ProxyStatus& proxy) { return proxy.paused || proxy.stopping; });
    if (mesh_calm_.length() >= ConfigurationChecks::kConvergenceLimit) {
      configuration_checks_.checkConverged(proxies);
    } else if (injector_.onlyZoneCutsActive() && injector_.cutsUnchangedFor() > kPartSettleTime) {
      checkParts(std::move(proxies));
    }
  }

  /// Splits the zones into parts whose links work in both directions, and checks each part.
  void checkParts(std::vector<ProxyStatus> proxies) {
    // A process that started recently may still be waiting for a record holder outside its part.
    std::erase_if(proxies, [this](const ProxyStatus& proxy) {
      return time_.now() - proxy.started < kPartSettleTime;
    });
    std::set<ZoneId> open(deployment_.zones.begin(), deployment_.zones.end());
    while (!open.empty()) {
      std::vector<ZoneId> part = {*open.begin()};
      open.erase(open.begin());
      for (std::size_t index = 0; index < part.size(); ++index) {
        const ZoneId zone = part[index];
        std::erase_if(open, [&](const ZoneId& other) {
          const bool joined = network_.reachable(zone, other);
          if (joined) part.push_back(other);
          return joined;
        });
      }
      std::vector<ProxyStatus> in_part = proxies;
      std::erase_if(in_part, [&part](const ProxyStatus& proxy) {
        return std::find(part.begin(), part.end(), proxy.zone) == part.end();
      });
      configuration_checks_.checkPartConverged(in_part);
    }
  }

  RunReport report() {
    RunReport report;
    report.seed = options_.seed;
    report.deployment = deployment_.name;
    report.trace_hash = trace_.hash();
    report.events = time_.eventCount();
    report.violation = violations_.first();
    report.last_events.assign(trace_.lastEvents().begin(), trace_.lastEvents().end());
    report.faults = faults_;
    std::vector<Duration> since_accepted;
    for (const ConvergenceSample& sample : configuration_checks_.convergence()) {
      report.convergence_samples.push_back(sample.since_confirm);
      since_accepted.push_back(sample.since_accepted);
    }
    report.convergence.since_confirm = percentilesOf(report.convergence_samples);
    report.convergence.since_accepted = percentilesOf(std::move(since_accepted));
    report.control_bytes_per_node =
        static_cast<double>(network_.statistics().bytes()) / mesh_.machineCount();
    report.control_bytes_per_node_second =
        report.control_bytes_per_node / (static_cast<double>(time_.elapsed().count()) / 1e6);
    report.requests = request_checks_.statistics();
    report.operators = operators_.statistics();
    report.memory_losses = memory_checks_.losses();
    report.accepted = configuration_checks_.newestAccepted();
    return report;
  }

  struct Read {
    NodeId reader;
    TimePoint when;
  };

  RunOptions options_;
  Deployment deployment_;
  RandomSource random_;
  VirtualTime time_;
  Trace trace_;
  Calm mesh_calm_{time_};
  Calm platform_calm_{time_};
  Network network_;
  PlatformModel platform_;
  Violations violations_;
  RequestChecks request_checks_;
  MemoryChecks memory_checks_;
  ConfigurationChecks configuration_checks_;
  BackendFleet fleet_;
  Mesh mesh_;
  Operators operators_;
  Traffic traffic_;
  FaultInjector injector_;
  std::vector<Fault> faults_;
  std::deque<Read> reads_;
};

}  // namespace

Percentiles percentilesOf(std::vector<Duration> samples) {
  Percentiles percentiles;
  percentiles.samples = samples.size();
  if (samples.empty()) return percentiles;
  std::sort(samples.begin(), samples.end());
  percentiles.p50 = samples[samples.size() / 2];
  percentiles.p99 = samples[samples.size() * 99 / 100];
  percentiles.longest = samples.back();
  return percentiles;
}

RunReport run(const RunOptions& options) { return Simulation(options).run(); }

}  // namespace coursepond::simulation
