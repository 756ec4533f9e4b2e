#pragma once

/// Carries out a schedule of faults.

#include <vector>

#include "backend_fleet.h"
#include "calm.h"
#include "fault.h"
#include "mesh.h"
#include "operators.h"

namespace coursepond::simulation {

/// What faults act on.
struct FaultTargets {
  VirtualTime& time;
  Network& network;
  PlatformModel& platform;
  Mesh& mesh;
  BackendFleet& fleet;
  Operators& operators;
  Trace& trace;
  const Deployment& deployment;
  Calm& mesh_calm;      ///< Processes and the links between them.
  Calm& platform_calm;  ///< The platform, its list and the operators' news.
};

class FaultInjector {
 public:
  FaultInjector(FaultTargets targets, std::uint64_t seed) : at_(targets), random_(seed) {}

  /// Schedules every fault and its end.
  void schedule(const std::vector<Fault>& faults);
  /// Zone cuts in force, and since when the set of them has not changed.
  bool onlyZoneCutsActive() const { return zone_cuts_ > 0 && other_mesh_faults_ == 0; }
  Duration cutsUnchangedFor() const { return at_.time.now() - cuts_changed_; }

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
  /// Waits a little for a moment at which requests are under way.
  void crashWhenBusy(std::size_t place, int tries, Duration length);
  void misbehave(const Fault& fault);
  void hinderMesh(Duration length);

  FaultTargets at_;
  RandomSource random_;
  int zone_cuts_ = 0;
  int other_mesh_faults_ = 0;
  int platform_faults_ = 0;
  TimePoint cuts_changed_{};
};

}  // namespace coursepond::simulation
