#pragma once

/// Client of the baseline systems that polls the platform once per second.

#include <functional>
#include <string>

#include "core/ids.h"
#include "counting_client.h"
#include "platform_model.h"
#include "process_environment.h"

namespace coursepond::bench {

/// Polls the newest version number and the machine list with conditional requests. Downloads the
/// full document of each newer version.
class PlatformPoller {
 public:
  struct Events {
    std::function<void(Version version, const std::string& document)> on_configuration;
    std::function<void(Generation generation, const std::string& list)> on_machines;
  };

  PlatformPoller(const NodeId& node, simulation::VirtualTime& time,
                 simulation::PlatformModel& platform, PlatformTraffic& traffic, std::uint64_t seed,
                 Events events);

  /// Starts polling after a random part of the interval.
  void start();

 private:
  void poll();
  void onNewest(const Result<source::PlatformAnswer>& answer);
  void onMachines(const Result<source::PlatformAnswer>& answer);

  simulation::ProcessEnvironment environment_;
  CountingClient client_;
  Events events_;
  std::string newest_tag_;
  std::string machines_tag_;
  Version version_;
};

}  // namespace coursepond::bench
