#include "fault.h"

#include <algorithm>

namespace coursepond::simulation {
namespace {

constexpr Duration kShortestFault = std::chrono::milliseconds(300);
constexpr Duration kLongestFault = std::chrono::seconds(15);
/// Probability that a fault begins together with the previous one.
constexpr double kSameStartProbability = 0.3;
/// Probability that a fault is repeated shortly afterwards.
constexpr double kRepeatProbability = 0.2;

Fault drawFault(RandomSource& random, const std::vector<FaultKind>& kinds, FaultWindow window) {
  Fault fault;
  fault.kind = kinds[random.below(kinds.size())];
  fault.start = random.between(window.begin, window.end - kShortestFault);
  fault.length = random.between(kShortestFault, std::min(kLongestFault, window.end - fault.start));
  fault.target = static_cast<std::uint32_t>(random.below(1U << 16U));
  return fault;
}

}  // namespace

const char* kindName(FaultKind kind) {
  switch (kind) {
    case FaultKind::kCrashNode:
      return "crash-node";
    case FaultKind::kReplaceNode:
      return "replace-node";
    case FaultKind::kHerd:
      return "herd";
    case FaultKind::kLoseAll:
      return "lose-all";
    case FaultKind::kPauseNode:
      return "pause-node";
    case FaultKind::kPauseReader:
      return "pause-reader";
    case FaultKind::kCutZone:
      return "cut-zone";
    case FaultKind::kCutOneWay:
      return "cut-one-way";
    case FaultKind::kSplit:
      return "split";
    case FaultKind::kLoss:
      return "loss";
    case FaultKind::kCrossing:
      return "crossing";
    case FaultKind::kPlatformDown:
      return "platform-down";
    case FaultKind::kPlatformSilent:
      return "platform-silent";
    case FaultKind::kPlatformStale:
      return "platform-stale";
    case FaultKind::kPlatformMalformed:
      return "platform-malformed";
    case FaultKind::kBrokenVersion:
      return "broken-version";
    case FaultKind::kMachineLag:
      return "machine-lag";
    case FaultKind::kStopNode:
      return "stop-node";
    case FaultKind::kCrashBackend:
      return "crash-backend";
    case FaultKind::kLeaveBackend:
      return "leave-backend";
    case FaultKind::kSlowBackend:
      return "slow-backend";
    case FaultKind::kShedBackend:
      return "shed-backend";
    case FaultKind::kLyingBackend:
      return "lying-backend";
    case FaultKind::kLimitBackend:
      return "limit-backend";
    case FaultKind::kLimitService:
      return "limit-service";
    case FaultKind::kAnnounceLeaving:
      return "announce-leaving";
  }
  return "unknown";
}

std::vector<Fault> drawFaults(RandomSource& random, const std::vector<FaultKind>& kinds,
                              std::size_t most, FaultWindow window) {
  std::vector<Fault> faults;
  if (kinds.empty()) return faults;
  const std::size_t count = 1 + random.below(most);
  while (faults.size() < count) {
    Fault fault = drawFault(random, kinds, window);
    if (!faults.empty() && random.chance(kSameStartProbability)) {
      fault.start = faults.back().start;
      fault.length = std::min(fault.length, window.end - fault.start);
    }
    faults.push_back(fault);
    if (!random.chance(kRepeatProbability)) continue;
    Fault again = fault;
    again.start = std::min(again.start + again.length, window.end - kShortestFault);
    again.length = std::min(again.length, window.end - again.start);
    faults.push_back(again);
  }
  std::stable_sort(faults.begin(), faults.end(),
                   [](const Fault& left, const Fault& right) { return left.start < right.start; });
  return faults;
}

std::string describe(const Fault& fault) {
  return std::string(kindName(fault.kind)) + " at " + std::to_string(toMilliseconds(fault.start)) +
         " ms for " + std::to_string(toMilliseconds(fault.length)) + " ms, target " +
         std::to_string(fault.target);
}

}  // namespace coursepond::simulation
