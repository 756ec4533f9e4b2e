#include "runner.h"

#include <algorithm>
#include <memory>

#include "baselines.h"
#include "coursepond_system.h"
#include "distribution_system.h"
#include "recorder.h"

namespace coursepond::bench {
namespace {

PhaseBytes difference(const PhaseBytes& later, const PhaseBytes& earlier) {
  return {0,
          later.membership - earlier.membership,
          later.distribution - earlier.distribution,
          later.acceptance - earlier.acceptance,
          later.admin - earlier.admin,
          later.platform - earlier.platform,
          later.push - earlier.push};
}

std::unique_ptr<DistributionSystem> makeSystem(SystemKind way, const MeshShape& shape,
                                               simulation::VirtualTime& time,
                                               simulation::PlatformModel& platform,
                                               Recorder& recorder, std::uint64_t seed) {
  switch (way) {
    case SystemKind::kCoursepond:
      return std::make_unique<CoursepondSystem>(shape, time, platform, recorder, seed);
    case SystemKind::kPolling:
      return std::make_unique<PollingSystem>(shape, time, platform, recorder, seed);
    case SystemKind::kPushing:
      return std::make_unique<PushingSystem>(shape, time, platform, recorder, seed);
  }
  return nullptr;
}

/// Runs one mesh through the phases of the plan.
class Work {
 public:
  Work(SystemKind way, const MeshShape& shape, const WorkPlan& plan, std::uint64_t seed)
      : shape_(shape),
        plan_(plan),
        platform_(time_, seed),
        recorder_(shape, time_),
        system_(makeSystem(way, shape, time_, platform_, recorder_, seed)) {
    figures_.way = system_->name();
    figures_.shape = shape.name;
    figures_.nodes = shape.nodes;
  }

  Figures run() {
    platform_.setMachineLag(Duration(0));
    platform_.setMachines(makeNodes(shape_), makeBackends(shape_, 0));
    platform_.publish(version_, documentText(shape_, version_));
    system_->start();
    run(plan_.warm_up);
    figures_.started_in_time = recorder_.everywhere(version_);
    idle();
    change();
    churn();
    recorder_.finish(figures_);
    return figures_;
  }

 private:
  void run(Duration duration) { time_.runUntil(time_.elapsed() + duration); }

  /// Runs `phase` and returns the bytes that were sent during it.
  template <typename Phase>
  PhaseBytes measured(Phase phase) {
    const PhaseBytes before = system_->bytes();
    const Duration start = time_.elapsed();
    phase();
    PhaseBytes cost = difference(system_->bytes(), before);
    cost.seconds = static_cast<double>((time_.elapsed() - start).count()) / 1e6;
    return cost;
  }

  void idle() {
    const std::vector<double> before = system_->bytesByNode();
    const std::uint64_t reads = system_->sourceReads();
    figures_.idle = measured([this] { run(plan_.idle); });
    const std::vector<double> after = system_->bytesByNode();
    for (std::size_t node = 0; node < after.size(); ++node) {
      figures_.busiest_node_idle = std::max(figures_.busiest_node_idle,
                                            (after[node] - before[node]) / figures_.idle.seconds);
    }
    figures_.source_reads =
        static_cast<double>(system_->sourceReads() - reads) / figures_.idle.seconds;
  }

  void change() {
    const double crossing = system_->crossingBytes();
    figures_.change_count = plan_.changes;
    figures_.changes = measured([this] {
      for (std::uint32_t i = 0; i < plan_.changes; ++i) {
        version_ = version_.next();
        platform_.publish(version_, documentText(shape_, version_));
        if (system_->publicationIsAcceptance()) recorder_.onAccepted(version_);
        run(plan_.change_interval);
        system_->confirm(version_);
        run(plan_.change_interval);
      }
    });
    figures_.crossing_bytes = system_->crossingBytes() - crossing;
  }

  void churn() {
    const auto steps = static_cast<std::uint32_t>(plan_.churn / std::chrono::seconds(1));
    figures_.churn = measured([this, steps] {
      for (std::uint32_t step = 1; step <= steps; ++step) {
        platform_.setMachines(makeNodes(shape_), makeBackends(shape_, step));
        recorder_.onListChanged(Generation(step + 1), step);
        run(std::chrono::seconds(1));
      }
    });
    run(std::chrono::seconds(3));
  }

  MeshShape shape_;
  WorkPlan plan_;
  simulation::VirtualTime time_;
  simulation::PlatformModel platform_;
  Recorder recorder_;
  Version version_ = Version(1);
  std::unique_ptr<DistributionSystem> system_;
  Figures figures_;
};

}  // namespace

Figures runWork(SystemKind way, const MeshShape& shape, const WorkPlan& plan, std::uint64_t seed) {
  return Work(way, shape, plan, seed).run();
}

}  // namespace coursepond::bench
