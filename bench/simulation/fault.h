#pragma once

/// Faults and fault schedules. A schedule is plain data: drawn from a seed, or generated and shrunk
/// by RapidCheck.

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"
#include "random_source.h"

namespace coursepond::simulation {

enum class FaultKind {
  kCrashNode,    ///< Replaced by an empty process of the same id.
  kReplaceNode,  ///< Replaced by a machine with a new id.
  kHerd,         ///< Most nodes crash at once and restart together.
  kLoseAll,      ///< Every node crashes at once; the platform stays healthy.
  kPauseNode,    ///< Process paused, then resumed at the end.
  kPauseReader,  ///< The same for a node that reads the platform.
  kCutZone,      ///< One zone is cut off in both directions.
  kCutOneWay,    ///< One zone cannot reach the next one, which still reaches it.
  kSplit,        ///< The zones are partitioned into two halves.
  kLoss,         ///< Some control messages are lost.
  kCrossing,     ///< Control messages are duplicated and reordered.
  kPlatformDown,
  kPlatformSilent,
  kPlatformStale,
  kPlatformMalformed,
  kBrokenVersion,  ///< The platform publishes an invalid version.
  kMachineLag,     ///< The list of machines lags far behind.
  kStopNode,       ///< A planned stop; the machine is replaced.
  kCrashBackend,
  kLeaveBackend,  ///< A planned shutdown; a cold server takes its place.
  kSlowBackend,
  kShedBackend,
  kLyingBackend,
  kLimitBackend,     ///< A server reports a limit in its answers.
  kLimitService,     ///< All servers of a service do.
  kAnnounceLeaving,  ///< A server says only in its answers that it leaves, until it ends.
};

/// Name of the fault in reports, such as "crash-node".
const char* kindName(FaultKind kind);

struct Fault {
  FaultKind kind = FaultKind::kCrashNode;
  Duration start{};          ///< Since the start of the run.
  Duration length{};         ///< Duration of the fault, if it has one.
  std::uint32_t target = 0;  ///< Which node, zone or back end, modulo how many there are.
  friend bool operator==(const Fault&, const Fault&) = default;
};

/// Time span in which faults may begin and by whose end all of them have ended.
struct FaultWindow {
  Duration begin{};
  Duration end{};
};

/// Draws between one and `most` faults of `kinds`, sorted by start. Some begin together with
/// another one, some are repeated.
std::vector<Fault> drawFaults(RandomSource& random, const std::vector<FaultKind>& kinds,
                              std::size_t most, FaultWindow window);

std::string describe(const Fault& fault);

}  // namespace coursepond::simulation
