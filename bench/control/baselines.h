#pragma once

/// Two simple baseline systems that distribute configuration, run on the same workload as
/// coursepond. All simplifications favour the baselines: no loss, no limits on bandwidth or on the
/// source, no acceptance step, and everything they send is compressed.

#include <memory>
#include <vector>

#include "baseline_process.h"
#include "distribution_system.h"
#include "random_source.h"
#include "recorder.h"
#include "workload.h"

namespace coursepond::bench {

/// Baseline in which every proxy polls the platform once per second.
class PollingSystem final : public DistributionSystem {
 public:
  PollingSystem(const MeshShape& shape, simulation::VirtualTime& time,
                simulation::PlatformModel& platform, Recorder& recorder, std::uint64_t seed);

  std::string name() const override { return "every proxy polls"; }
  void start() override;
  bool publicationIsAcceptance() const override { return true; }
  void confirm(Version) override {}
  PhaseBytes bytes() const override;
  std::vector<double> bytesByNode() const override;
  double crossingBytes() const override;
  std::uint64_t sourceReads() const override;

 private:
  struct Proxy {
    PlatformTraffic traffic;
    bool in_platform_zone = false;  ///< The platform is assumed to be in the first zone.
    std::unique_ptr<PlatformPoller> poller;
  };
  std::vector<std::unique_ptr<Proxy>> proxies_;
};

/// Baseline in which one server polls the platform and pushes the whole state (configuration,
/// secrets, machines) to every proxy on each change. Server and proxies exchange a small heartbeat
/// every second.
class PushingSystem final : public DistributionSystem {
 public:
  PushingSystem(const MeshShape& shape, simulation::VirtualTime& time,
                simulation::PlatformModel& platform, Recorder& recorder, std::uint64_t seed);

  std::string name() const override { return "one server pushes all"; }
  void start() override;
  bool publicationIsAcceptance() const override { return true; }
  void confirm(Version) override {}
  PhaseBytes bytes() const override;
  std::vector<double> bytesByNode() const override;
  double crossingBytes() const override { return crossing_bytes_; }
  std::uint64_t sourceReads() const override { return traffic_.reads; }

 private:
  void pushAll();
  void exchangeHeartbeats();
  void deliver(std::uint32_t node);

  const MeshShape& shape_;
  simulation::VirtualTime& time_;
  Recorder& recorder_;
  simulation::RandomSource random_;
  PlatformTraffic traffic_;
  PlatformPoller poller_;
  Version version_;
  Generation generation_;
  std::string document_;
  std::string machines_;
  double server_bytes_ = 0;
  double proxy_bytes_ = 0;  ///< Bytes sent by each proxy.
  double crossing_bytes_ = 0;
};

}  // namespace coursepond::bench
