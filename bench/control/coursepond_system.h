#pragma once

/// The system under test: the production control plane of every node on the simulated network.

#include <memory>
#include <vector>

#include "counting_client.h"
#include "distribution_system.h"
#include "network.h"
#include "platform_model.h"
#include "recorder.h"
#include "workload.h"

namespace coursepond::bench {

class CoursepondSystem final : public DistributionSystem {
 public:
  CoursepondSystem(const MeshShape& shape, simulation::VirtualTime& time,
                   simulation::PlatformModel& platform, Recorder& recorder, std::uint64_t seed);
  ~CoursepondSystem() override;

  std::string name() const override { return "coursepond"; }
  void start() override;
  bool publicationIsAcceptance() const override { return false; }
  void confirm(Version version) override;
  PhaseBytes bytes() const override;
  std::vector<double> bytesByNode() const override;
  double crossingBytes() const override;
  std::uint64_t sourceReads() const override { return platform_traffic_.reads; }

 private:
  class Node;

  const MeshShape& shape_;
  simulation::VirtualTime& time_;
  Recorder& recorder_;
  simulation::Network network_;
  PlatformTraffic platform_traffic_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::size_t next_operator_ = 0;
};

}  // namespace coursepond::bench
