#include "fault_injector.h"

#include <algorithm>

namespace coursepond::simulation {
namespace {

constexpr double kLoss = 0.3;
constexpr double kDuplication = 0.2;
constexpr double kReordering = 0.3;
constexpr double kHerdPart = 0.75;
constexpr Duration kHerdReturn = std::chrono::milliseconds(300);
/// Without any witness the newest published version is adopted within this; see cold start.
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
    at_.time.schedule(fault.start, [this, fault] {
      at_.trace.note(at_.time.elapsed(), "fault", describe(fault));
      begin(fault);
    });
  }
}

void FaultInjector::end(std::function<void()> action, Duration delay) {
  at_.time.schedule(delay, std::move(action));
}

void FaultInjector::begin(const Fault& fault) {
  const std::size_t machine = fault.target % at_.mesh.machineCount();
  const std::size_t zone = fault.target % at_.deployment.zones.size();
  const std::size_t next_zone = (zone + 1) % at_.deployment.zones.size();
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
      return cut({{at_.deployment.zones[zone], at_.deployment.zones[next_zone]}}, fault.length);
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
      return at_.operators.publishBroken();
    case FaultKind::kMachineLag:
      at_.platform_calm.begin();
      at_.platform.setMachineLag(kLaggingList);
      return end(
          [this] {
            at_.platform.setMachineLag(kUsualLag);
            at_.platform_calm.end();
          },
          fault.length);
    case FaultKind::kStopNode:
      if (at_.mesh.mayLose({machine})) at_.mesh.stopAndReplace(machine);
      return;
    default:
      return misbehave(fault);
  }
}

void FaultInjector::hinderMesh(Duration length) {
  at_.mesh_calm.begin();
  ++other_mesh_faults_;
  end(
      [this] {
        --other_mesh_faults_;
        at_.mesh_calm.end();
      },
      length);
}

void FaultInjector::crash(const Fault& fault, bool new_machine) {
  const std::size_t machine = fault.target % at_.mesh.machineCount();
  if (!at_.mesh.mayLose({machine})) return;
  hinderMesh(fault.length);
  at_.mesh.crash(machine);
  end([this, machine, new_machine] { at_.mesh.restart(machine, new_machine); }, fault.length);
}

void FaultInjector::killHerd(const Fault& fault) {
  std::vector<std::size_t> herd;
  for (std::size_t machine = 0; machine < at_.mesh.machineCount(); ++machine) {
    if (random_.chance(kHerdPart)) herd.push_back(machine);
  }
  while (!herd.empty() && !at_.mesh.mayLose(herd)) herd.pop_back();
  hinderMesh(fault.length + kHerdReturn);
  for (const std::size_t machine : herd) {
    at_.mesh.crash(machine);
    const Duration back = fault.length + random_.between(Duration(0), kHerdReturn);
    end([this, machine] { at_.mesh.restart(machine, false); }, back);
  }
}

void FaultInjector::loseAll(const Fault& fault) {
  hinderMesh(fault.length + kHerdReturn + kAdoptionTime);
  for (std::size_t machine = 0; machine < at_.mesh.machineCount(); ++machine) {
    at_.mesh.crash(machine);
    const Duration back = fault.length + random_.between(Duration(0), kHerdReturn);
    end([this, machine] { at_.mesh.restart(machine, false); }, back);
  }
}

void FaultInjector::pause(std::size_t machine, Duration length) {
  NodeProcess* process = at_.mesh.process(machine);
  if (process == nullptr || process->status().paused || !at_.mesh.mayLose({machine})) return;
  hinderMesh(length);
  at_.mesh.pause(machine);
  const ProcessLife life = process->status().process;
  end(
      [this, machine, life] {
        NodeProcess* woken = at_.mesh.process(machine);
        if (woken != nullptr && woken->status().process == life) at_.mesh.resume(machine);
      },
      length);
}

void FaultInjector::pauseReader(const Fault& fault) {
  for (std::size_t machine = 0; machine < at_.mesh.machineCount(); ++machine) {
    NodeProcess* process = at_.mesh.process(machine);
    if (process == nullptr || process->status().paused) continue;
    if (process->control().roles().source_reader) return pause(machine, fault.length);
  }
}

void FaultInjector::cut(const std::vector<ZoneLink>& links, Duration length) {
  at_.mesh_calm.begin();
  ++zone_cuts_;
  cuts_changed_ = at_.time.now();
  for (const ZoneLink& link : links) at_.network.cut(link);
  end(
      [this, links] {
        for (const ZoneLink& link : links) at_.network.heal(link);
        --zone_cuts_;
        cuts_changed_ = at_.time.now();
        at_.mesh_calm.end();
      },
      length);
}

std::vector<ZoneLink> FaultInjector::linksOfZone(std::size_t zone) const {
  std::vector<ZoneLink> links;
  const ZoneId& alone = at_.deployment.zones[zone];
  for (const ZoneId& other : at_.deployment.zones) {
    if (other == alone) continue;
    links.push_back({alone, other});
    links.push_back({other, alone});
  }
  return links;
}

std::vector<ZoneLink> FaultInjector::linksBetweenHalves(std::size_t first) const {
  std::vector<ZoneId> zones = at_.deployment.zones;
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
  hinderMesh(length);
  at_.network.quality().*field += value;
  end([this, field, value] { at_.network.quality().*field -= value; }, length);
}

void FaultInjector::setPlatform(PlatformCondition condition, Duration length) {
  at_.platform_calm.begin();
  ++platform_faults_;
  at_.platform.setCondition(condition);
  end(
      [this] {
        if (--platform_faults_ == 0) at_.platform.setCondition(PlatformCondition::kHealthy);
        at_.platform_calm.end();
      },
      length);
}

void FaultInjector::crashWhenBusy(std::size_t place, int tries, Duration length) {
  if (tries > 0 && !at_.fleet.current(place).busy()) {
    return end([this, place, tries, length] { crashWhenBusy(place, tries - 1, length); },
               kBusyPoll);
  }
  // Some of these moments fall into an answer that is being streamed.
  end(
      [this, place, length] {
        if (!at_.fleet.current(place).running()) return;
        at_.fleet.crash(place);
        end([this, place] { at_.fleet.replace(place); }, length);
      },
      random_.between(Duration(0), kBusySpread));
}

void FaultInjector::misbehave(const Fault& fault) {
  const std::size_t place = fault.target % at_.fleet.placeCount();
  BackendModel& server = at_.fleet.current(place);
  switch (fault.kind) {
    case FaultKind::kCrashBackend:
      return crashWhenBusy(place, kBusyTries, fault.length);
    case FaultKind::kLeaveBackend:
      server.behaviour().announces_leaving = random_.chance(0.5);
      return at_.fleet.leave(place);
    case FaultKind::kSlowBackend:
      server.behaviour().slowness = kSlowness;
      return end([&server] { server.behaviour().slowness = 1; }, fault.length);
    case FaultKind::kShedBackend:
      server.behaviour().sheds = true;
      return end([&server] { server.behaviour().sheds = false; }, fault.length);
    default:
      server.behaviour().lies = true;
      return end([&server] { server.behaviour().lies = false; }, fault.length);
  }
}

}  // namespace coursepond::simulation
