#include "runtime/promises.h"

#include <algorithm>

#include "core/time_arithmetic.h"
#include "runtime/settings.h"

namespace coursepond::runtime {
namespace {

using std::chrono::milliseconds;

/// Kept back from each promise for processing, the network and timers that go off late.
constexpr Duration kReserve = milliseconds(300);
/// The same for a change that is taken in: two hops of a read and its decoding.
constexpr Duration kTakeInReserve = milliseconds(100);

// An answer that comes later than this is not waited for: the source answers within milliseconds.
constexpr Duration kLongestAnswerTimeout = milliseconds(700);
constexpr Duration kLongestPatientTimeout = milliseconds(1200);

/// Callers notice unreadiness at the second of two questions that are a second apart.
constexpr Duration kReadinessNoticed = milliseconds(2100);
constexpr Duration kStopGrace = milliseconds(50);
/// Of the stop that is left after readiness is noticed, the part spent waiting for a quiet moment.
constexpr double kLingerPart = 0.2254;

void deriveRepair(Duration settled, source::WatchSettings& watch) {
  watch.answer_timeout = std::min(kLongestAnswerTimeout, settled / 4);
  watch.patient_timeout = std::min(kLongestPatientTimeout, settled * 2 / 5);
  watch.wait = settled - watch.answer_timeout - kReserve;
  // A failed read and the pause after it both pass before the promises hold again.
  watch.backoff_limit = (settled - watch.patient_timeout) * 4 / 9;
  watch.backoff_base = std::min(watch.backoff_base, watch.backoff_limit);
}

/// A reader that the source or the network fails is noticed, and the next path asked, within the
/// shorter promise: the longest read of the source, two questions that are answered at once, and as
/// much again in reserve for a node that is slow itself.
constexpr double kRelayWaitPart = 0.3;
constexpr double kSourceSlackPart = 0.25;
constexpr double kPeerSlackPart = 0.18;
/// Also when it stops in the middle of its answer.
constexpr double kStallPart = 0.25;
/// A read of the configuration waits for longer (RelaySettings): a reader that the source fails is
/// noticed by its reads of the servers.
constexpr double kConfigurationWaitPart = 0.5;

void deriveRelay(Duration shorter, source::RelaySettings& relay) {
  relay.source_wait = part(shorter, kRelayWaitPart);
  relay.source_slack = part(shorter, kSourceSlackPart);
  relay.peer_wait = part(shorter, kRelayWaitPart);
  relay.peer_slack = part(shorter, kPeerSlackPart);
  relay.stall_limit = part(shorter, kStallPart);
  relay.configuration_wait = part(shorter, kConfigurationWaitPart);
}

void deriveTakingIn(const Promises& promises, Settings& settings) {
  const bool has_both = promises.leaving > Duration(0) && promises.in_force > Duration(0);
  const auto [shorter, longer] = std::minmax(promises.leaving, promises.in_force);
  settings.watch.gather = (has_both ? shorter : longer) / 4;
  deriveRelay(has_both ? shorter : longer, settings.relay);
  // An answer tells what was known when it left, and is on its way for as long as a change is.
  settings.egress.configuration_certain_for =
      std::max(promises.in_force / 2, promises.in_force - kTakeInReserve);
  if (promises.leaving == Duration(0)) return;
  settings.egress.lapse_hold =
      std::max(Duration(0), promises.leaving - settings.watch.gather - kTakeInReserve);
}

void deriveStop(Duration stop, NodeSettings& node) {
  const Duration available = std::max(stop - kReserve, stop / 2);
  node.stop_delay = std::min(kReadinessNoticed, available * 3 / 5);
  node.stop_grace = kStopGrace;
  const Duration rest = std::max(Duration(0), available - node.stop_delay - kStopGrace);
  node.stop_linger = part(rest, kLingerPart);
  node.stop_timeout = rest - node.stop_linger;
}

/// Used of what may be repeated. The rest is for repeats that no node can know of: requests whose
/// arrival is learned late, and nodes that are told of others late.
constexpr double kRepeatsUsed = 0.75;

void deriveRetries(const Promises& promises, proxy::RetryAllowanceSettings& retries) {
  retries.ratio = kRepeatsUsed * promises.repeat_ratio;
  retries.burst = kRepeatsUsed * promises.repeat_burst;
}

void deriveColdStart(const Promises& promises, ingress::ColdStartSettings& cold_start) {
  cold_start.overshoot = promises.cold_overshoot;
  cold_start.burst = promises.cold_burst;
}

}  // namespace

void deriveTimings(Settings& settings) {
  const Promises& promises = settings.promises;
  deriveRetries(promises, settings.retries);
  deriveColdStart(promises, settings.ingress.cold_start);
  settings.quota.overshoot = promises.quota_overshoot;
  if (promises.settled > Duration(0)) {
    deriveRepair(promises.settled, settings.watch);
    // Whoever missed what others know learns it from a comparison of its own within the promise.
    settings.suspect_gossip.longest_pause = promises.settled / 2;
  }
  const bool bounds_changes = promises.leaving > Duration(0) || promises.in_force > Duration(0);
  if (bounds_changes) deriveTakingIn(promises, settings);
  if (promises.stop > Duration(0)) deriveStop(promises.stop, settings.node);
}

}  // namespace coursepond::runtime
