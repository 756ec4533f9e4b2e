#pragma once

/// Executes a fault schedule.

#include <map>
#include <vector>

#include "backend_fleet.h"
#include "calm.h"
#include "fault.h"
#include "mesh.h"
#include "operators.h"

namespace coursepond::simulation {

/// Objects that the faults act on.
struct FaultTargets {
  VirtualTime& time;
  Network& network;
  PlatformModel& platform;
  Mesh& mesh;
  BackendFleet& fleet;
  Operators& operators;
  RequestChecks& request_checks;
  ConfigurationChecks& configuration_checks;
  Trace& trace;
  const Deployment& deployment;
  Calm& mesh_calm;      ///< Disturbances of processes and the links between them.
  Calm& platform_calm;  ///< Disturbances of the platform and its machine list.
};

class FaultInjector {
 public:
  FaultInjector(FaultTargets targets, std::uint64_t seed) : targets_(targets), random_(seed) {}

  /// Schedules every fault and its end.
  void schedule(const std::vector<Fault>& faults);
  /// Whether zone cuts are the only active faults of the mesh.
  bool onlyZoneCutsActive() const { return zone_cuts_ > 0 && other_mesh_faults_ == 0; }
  /// Time since the set of active zone cuts last changed.
  Duration cutsUnchangedFor() const { return targets_.time.now() - cuts_changed_; }

 private:
  void begin(const Fault& fault);
  void end(std::function<void()> action, Duration delay);

  void crash(const Fault& fault, bool new_machine);
  void killHerd(const Fault& fault);
  void loseAll(const Fault& fault);
  void pause(std::size_t machine, Duration length);
  void pauseReader(const Fault& fault);
  void cut(const std::vector<ZoneLink>& links, Duration length);
  std::vector<ZoneLink> linksOfZone(std::size_t zone) const;
  std::vector<ZoneLink> linksBetweenHalves(std::size_t first) const;
  void degrade(double NetworkQuality::*field, double value, Duration length);
  void setPlatform(PlatformCondition condition, Duration length);
  /// Polls until the server has requests in progress (at most `tries` times), then crashes it.
  void crashWhenBusy(std::size_t place, int tries, Duration length);
  void misbehave(const Fault& fault);
  void limit(std::size_t place, const Fault& fault);
  void disturbMesh(Duration length);

  FaultTargets targets_;
  RandomSource random_;
  int zone_cuts_ = 0;
  int other_mesh_faults_ = 0;
  int platform_faults_ = 0;
  TimePoint cuts_changed_{};
  std::map<std::size_t, std::uint64_t> limits_set_;  ///< Number of limits set, by place.
};

}  // namespace coursepond::simulation
