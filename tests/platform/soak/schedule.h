#pragma once

/// The events of a soak and their times. They depend only on the settings and their seed.

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace coursepond::soak {

/// Machine N has a server of service N modulo this.
inline constexpr std::size_t kServices = 3;

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
  kStoreRestored,  ///< Unavailable for a short time, then restored from a copy.
  kVersion,
  kCrashingRequest,    ///< Callers send a request that crashes each server that executes it.
  kServerLimit,        ///< A server reports a limit in its answers.
  kServerSaysLeaving,  ///< A server says so in its answers; its entry stays until it ends.
  kSuspend,            ///< A machine and its steady clock stand still.
  kTerminateAgain,     ///< A further SIGTERM during a planned stop.
  /// A server crashes, and its address goes to a server of another service.
  kServerReassigned,
  kFreezeReaders,  ///< All nodes that read the store for the others are stopped.
};

struct Event {
  Duration at{};  ///< Time since the end of the warm-up.
  EventKind kind = EventKind::kVersion;
  std::size_t machine = 0;
  Duration length{};    ///< Length of the fault, or downtime of a node process.
  Duration downtime{};  ///< Downtime of a server.
  /// Depending on the kind: bytes per second, delay or age of a copy in microseconds, slowdown
  /// factor, requests per 1000 s, number of added routes, or number of a crashing request.
  std::uint64_t amount = 0;
  std::uint64_t removed = 0;  ///< Number of removed routes.
};

struct ScheduleSettings {
  std::uint64_t seed = 1;
  std::size_t machines = 6;
  Duration length = std::chrono::seconds(45);
  std::size_t max_routes = 800;  ///< Maximum number of routes of one version.
  std::size_t max_added = 400;   ///< Maximum number of routes that one version adds.
  bool only_versions = false;    ///< Only versions and draining servers, no faults.
  /// Only versions, draining servers and frozen readers, so that all other machines stay in touch.
  bool only_reader_freezes = false;
  bool adds_reader_freezes = false;  ///< Frozen readers besides all other faults.
};

/// Returns the events in the order of time. Series of faults overlap. In a period with series of
/// faults, some machines are not affected by them, so that promises can be checked on fault-free
/// machines.
std::vector<Event> makeSchedule(const ScheduleSettings& settings);

/// Describes the event in one line: kind, machine and length.
std::string describeEvent(const Event& event);

}  // namespace coursepond::soak
