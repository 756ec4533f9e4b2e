#include "fault_injector.h"

#include <algorithm>
#include <array>
#include <optional>

namespace coursepond::simulation {
namespace {

constexpr double kLoss = 0.3;
constexpr double kDuplication = 0.2;
constexpr double kReordering = 0.3;
constexpr double kHerdFraction = 0.75;
constexpr Duration kHerdReturn = std::chrono::milliseconds(300);
/// If no process holds an acceptance record, the newest published version is adopted within this
/// time; see docs/design/COLD-START.md.
constexpr Duration kAdoptionTime = std::chrono::seconds(14);
constexpr Duration kLaggingList = std::chrono::seconds(6);
constexpr Duration kUsualLag = std::chrono::milliseconds(500);
constexpr int kBusyTries = 1000;
constexpr Duration kBusyPoll = std::chrono::milliseconds(1);
constexpr Duration kBusySpread = std::chrono::milliseconds(20);
constexpr std::uint32_t kSlowness = 40;

}  // namespace

void FaultInjector::schedule(const std::vector<Fault>& faults) {
  for (const Fault& fault : faults) {
    targets_.time.schedule(fault.start, [this, fault] {
      targets_.trace.note(targets_.time.elapsed(), "fault", describe(fault));
      begin(fault);
    });
  }
}

void FaultInjector::end(std::function<void()> action, Duration delay) {
  targets_.time.schedule(delay, std::move(action));
}

void FaultInjector::begin(const Fault& fault) {
  const std::size_t machine = fault.target % targets_.mesh.machineCount();
  const std::size_t zone = fault.target % targets_.deployment.zones.size();
  const std::size_t next_zone = (zone + 1) % targets_.deployment.zones.size();
  switch (fault.kind) {
    case FaultKind::kCrashNode:
      return crash(fault, false);
    case FaultKind::kReplaceNode:
      return crash(fault, true);
    case FaultKind::kHerd:
      return killHerd(fault);
    case FaultKind::kLoseAll:
      return loseAll(fault);
    case FaultKind::kPauseNode:
      return pause(machine, fault.length);
    case FaultKind::kPauseReader:
      return pauseReader(fault);
    case FaultKind::kCutZone:
      return cut(linksOfZone(zone), fault.length);
    case FaultKind::kCutOneWay:
      return cut({{targets_.deployment.zones[zone], targets_.deployment.zones[next_zone]}},
                 fault.length);
    case FaultKind::kSplit:
      return cut(linksBetweenHalves(zone), fault.length);
    case FaultKind::kLoss:
      return degrade(&NetworkQuality::loss, kLoss, fault.length);
    case FaultKind::kCrossing:
      degrade(&NetworkQuality::duplication, kDuplication, fault.length);
      return degrade(&NetworkQuality::reordering, kReordering, fault.length);
    case FaultKind::kPlatformDown:
      return setPlatform(PlatformCondition::kDown, fault.length);
    case FaultKind::kPlatformSilent:
      return setPlatform(PlatformCondition::kSilent, fault.length);
    case FaultKind::kPlatformStale:
      return setPlatform(PlatformCondition::kStale, fault.length);
    case FaultKind::kPlatformMalformed:
      return setPlatform(PlatformCondition::kMalformed, fault.length);
    case FaultKind::kBrokenVersion:
      return targets_.operators.publishBroken();
    case FaultKind::kMachineLag:
      targets_.platform_calm.begin();
      targets_.platform.setMachineLag(kLaggingList);
      return end(
          [this] {
            targets_.platform.setMachineLag(kUsualLag);
            targets_.platform_calm.end();
          },
          fault.length);
    case FaultKind::kStopNode:
      if (targets_.mesh.recordSurvivesLossOf({machine})) targets_.mesh.stopAndReplace(machine);
      return;
    default:
      return misbehave(fault);
  }
}

void FaultInjector::disturbMesh(Duration length) {
  targets_.mesh_calm.begin();
  ++other_mesh_faults_;
  end(
      [this] {
        --other_mesh_faults_;
        targets_.mesh_calm.end();
      },
      length);
}

void FaultInjector::crash(const Fault& fault, bool new_machine) {
  const std::size_t machine = fault.target % targets_.mesh.machineCount();
  if (!targets_.mesh.recordSurvivesLossOf({machine})) return;
  disturbMesh(fault.length);
  targets_.mesh.crash(machine);
  end([this, machine, new_machine] { targets_.mesh.restart(machine, new_machine); }, fault.length);
}

void FaultInjector::killHerd(const Fault& fault) {
  std::vector<std::size_t> herd;
  for (std::size_t machine = 0; machine < targets_.mesh.machineCount(); ++machine) {
    if (random_.chance(kHerdFraction)) herd.push_back(machine);
  }
  while (!herd.empty() && !targets_.mesh.recordSurvivesLossOf(herd)) herd.pop_back();
  disturbMesh(fault.length + kHerdReturn);
  targets_.request_checks.onMeshDisturbed(fault.length + kHerdReturn);
  for (const std::size_t machine : herd) {
    targets_.mesh.crash(machine);
    const Duration back = fault.length + random_.between(Duration(0), kHerdReturn);
    end([this, machine] { targets_.mesh.restart(machine, false); }, back);
  }
}

void FaultInjector::loseAll(const Fault& fault) {
  disturbMesh(fault.length + kHerdReturn + kAdoptionTime);
  targets_.request_checks.onMeshDisturbed(fault.length + kHerdReturn);
  targets_.configuration_checks.onAllLost();
  for (std::size_t machine = 0; machine < targets_.mesh.machineCount(); ++machine) {
    targets_.mesh.crash(machine);
    const Duration back = fault.length + random_.between(Duration(0), kHerdReturn);
    end([this, machine] { targets_.mesh.restart(machine, false); }, back);
  }
}

void FaultInjector::pause(std::size_t machine, Duration length) {
  NodeProcess* process = targets_.mesh.process(machine);
  if (process == nullptr || process->status().paused ||
      !targets_.mesh.recordSurvivesLossOf({machine}))
    return;
  disturbMesh(length);
  targets_.mesh.pause(machine);
  const ProcessId process_id = process->status().process;
  end(
      [this, machine, process_id] {
        NodeProcess* resumed = targets_.mesh.process(machine);
        if (resumed != nullptr && resumed->status().process == process_id)
          targets_.mesh.resume(machine);
      },
      length);
}

void FaultInjector::pauseReader(const Fault& fault) {
  for (std::size_t machine = 0; machine < targets_.mesh.machineCount(); ++machine) {
    NodeProcess* process = targets_.mesh.process(machine);
    if (process == nullptr || process->status().paused) continue;
    if (process->control().roles().source_reader) return pause(machine, fault.length);
  }
}

void FaultInjector::cut(const std::vector<ZoneLink>& links, Duration length) {
  targets_.mesh_calm.begin();
  targets_.request_checks.onMeshDisturbed(length);
  ++zone_cuts_;
  cuts_changed_ = targets_.time.now();
  for (const ZoneLink& link : links) targets_.network.cut(link);
  end(
      [this, links] {
        for (const ZoneLink& link : links) targets_.network.heal(link);
        --zone_cuts_;
        cuts_changed_ = targets_.time.now();
        targets_.mesh_calm.end();
      },
      length);
}

std::vector<ZoneLink> FaultInjector::linksOfZone(std::size_t zone) const {
  std::vector<ZoneLink> links;
  const ZoneId& alone = targets_.deployment.zones[zone];
  for (const ZoneId& other : targets_.deployment.zones) {
    if (other == alone) continue;
    links.push_back({alone, other});
    links.push_back({other, alone});
  }
  return links;
}

std::vector<ZoneLink> FaultInjector::linksBetweenHalves(std::size_t first) const {
  std::vector<ZoneId> zones = targets_.deployment.zones;
  std::rotate(zones.begin(), zones.begin() + static_cast<std::ptrdiff_t>(first), zones.end());
  const std::size_t half = zones.size() / 2;
  std::vector<ZoneLink> links;
  for (std::size_t left = 0; left < half; ++left) {
    for (std::size_t right = half; right < zones.size(); ++right) {
      links.push_back({zones[left], zones[right]});
      links.push_back({zones[right], zones[left]});
    }
  }
  return links;
}

void FaultInjector::degrade(double NetworkQuality::*field, double value, Duration length) {
  disturbMesh(length);
  targets_.request_checks.onMeshDisturbed(length);
  targets_.network.quality().*field += value;
  end([this, field, value] { targets_.network.quality().*field -= value; }, length);
}

void FaultInjector::setPlatform(PlatformCondition condition, Duration length) {
  targets_.platform_calm.begin();
  ++platform_faults_;
  targets_.platform.setCondition(condition);
  end(
      [this] {
        if (--platform_faults_ == 0) targets_.platform.setCondition(PlatformCondition::kHealthy);
        targets_.platform_calm.end();
      },
      length);
}

void FaultInjector::crashWhenBusy(std::size_t place, int tries, Duration length) {
  if (tries > 0 && !targets_.fleet.current(place).busy()) {
    return end([this, place, tries, length] { crashWhenBusy(place, tries - 1, length); },
               kBusyPoll);
  }
  // The random delay makes some crashes happen while an answer is being streamed.
  end(
      [this, place, length] {
        if (!targets_.fleet.current(place).running()) return;
        targets_.fleet.crash(place);
        end([this, place] { targets_.fleet.replace(place); }, length);
      },
      random_.between(Duration(0), kBusySpread));
}

/// Makes the server of this place report a limit. A later fault may change it before it ends.
void FaultInjector::limit(std::size_t place, const Fault& fault) {
  constexpr std::array kLimits = {0.0, 0.4, 2.0, 7.5, 30.0};
  BackendModel& server = targets_.fleet.current(place);
  const double per_second = kLimits[fault.target / targets_.fleet.placeCount() % kLimits.size()];
  const auto set = [this, &server](std::optional<double> limit) {
    server.behaviour().limit = limit;
    targets_.request_checks.onLimit(server.endpoint().id, limit);
  };
  set(per_second);
  const std::uint64_t number = ++limits_set_[place];
  end(
      [this, place, number, set] {
        if (limits_set_[place] == number) set(std::nullopt);
      },
      fault.length);
}

void FaultInjector::misbehave(const Fault& fault) {
  const std::size_t place = fault.target % targets_.fleet.placeCount();
  BackendModel& server = targets_.fleet.current(place);
  switch (fault.kind) {
    case FaultKind::kCrashBackend:
      return crashWhenBusy(place, kBusyTries, fault.length);
    case FaultKind::kLeaveBackend:
      server.behaviour().announces_leaving = random_.chance(0.5);
      return targets_.fleet.leave(place);
    case FaultKind::kSlowBackend:
      server.behaviour().slowness = kSlowness;
      return end([&server] { server.behaviour().slowness = 1; }, fault.length);
    case FaultKind::kLimitBackend:
      return limit(place, fault);
    case FaultKind::kLimitService:
      for (std::size_t other = 0; other < targets_.fleet.placeCount(); ++other) {
        if (targets_.fleet.serviceOf(other) == server.service()) limit(other, fault);
      }
      return;
    case FaultKind::kAnnounceLeaving:
      server.behaviour().is_listed_as_live = true;
      return targets_.fleet.leave(place);
    case FaultKind::kShedBackend:
      server.behaviour().sheds = true;
      return end([&server] { server.behaviour().sheds = false; }, fault.length);
    default:
      server.behaviour().lies = true;
      return end([&server] { server.behaviour().lies = false; }, fault.length);
  }
}

}  // namespace coursepond::simulation
