#pragma once

/// What happens in a soak and when: follows from the seed alone.

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace coursepond::soak {

enum class EventKind {
  kTerminate,
  kKill,
  kFreeze,
  kHangUp,
  kLinkDelay,
  kLinkNarrow,
  kLinkReset,
  kLinkSilentIn,
  kLinkSilentOut,
  kServerDrain,
  kServerGoes,
  kServerCrash,
  kServerSlow,
  kEntryLapse,
  kStoreSlow,
  kStoreDown,
  kStoreSilent,
  kStoreThrottled,
  kStoreReset,
  kStoreForgets,
  kStoreRestored,  ///< Away for a moment, then back from a copy.
  kVersion,
  kCrashingRequest,  ///< Callers send a request that crashes each server that runs it.
  kSuspend,          ///< A machine stands still, and its steady clock with it.
};

struct Event {
  Duration at{};  ///< Since the first version.
  EventKind kind = EventKind::kVersion;
  std::size_t machine = 0;
  Duration length{};         ///< Of the trouble, or how long a process stays away.
  Duration second_length{};  ///< How long a server stays away.
  /// Bytes a second, microseconds of delay or of a copy's age, routes added, or the number of a
  /// crashing request.
  std::uint64_t amount = 0;
  std::uint64_t removed = 0;  ///< Routes.
};

struct ScheduleSettings {
  std::uint64_t seed = 1;
  std::size_t machines = 6;
  Duration length = std::chrono::seconds(45);
  std::size_t most_routes = 800;  ///< Of one version.
  std::size_t most_added = 400;   ///< At once.
  bool only_versions = false;     ///< And servers that leave; no trouble.
};

/// In the order of time. Series of troubles overlap; each period has machines that none of them
/// hits, so that calm ones are there to be judged.
std::vector<Event> makeSchedule(const ScheduleSettings& settings);

/// One line: what, where, for how long.
std::string describeEvent(const Event& event);

}  // namespace coursepond::soak
