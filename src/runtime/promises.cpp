#include "runtime/promises.h"

#include <algorithm>

#include "core/time_arithmetic.h"
#include "runtime/settings.h"

namespace coursepond::runtime {
namespace {

using std::chrono::milliseconds;

/// Subtracted from each promise to allow for processing, the network and timers that fire late.
constexpr Duration kReserve = milliseconds(300);
/// The same for propagating a change: two hops of a read and its decoding.
constexpr Duration kPropagationReserve = milliseconds(100);

// Upper bounds for the time to wait for an answer. The source answers within milliseconds.
constexpr Duration kMaxAnswerTimeout = milliseconds(700);
constexpr Duration kMaxPatientTimeout = milliseconds(1200);

/// Callers detect unreadiness with the second of two probes that are one second apart.
constexpr Duration kReadinessDetectionTime = milliseconds(2100);
constexpr Duration kStopGrace = milliseconds(50);
/// Share of the time after the readiness delay that is spent waiting for a moment without requests.
constexpr double kLingerPart = 0.2254;

void deriveRecovery(Duration settled, source::WatchSettings& watch) {
  watch.answer_timeout = std::min(kMaxAnswerTimeout, settled / 4);
  watch.patient_timeout = std::min(kMaxPatientTimeout, settled * 2 / 5);
  watch.wait = settled - watch.answer_timeout - kReserve;
  // A failed read and the pause after it must both end before the promises hold again.
  watch.backoff_limit = (settled - watch.patient_timeout) * 4 / 9;
  watch.backoff_base = std::min(watch.backoff_base, watch.backoff_limit);
}

/// A reader that fails because of the source or the network is detected, and the next path is
/// tried, within the shorter promise. The promise covers the longest read of the source, two
/// queries that are answered immediately, and the same amount in reserve for a node that is slow
/// itself.
constexpr double kRelayWaitPart = 0.3;
constexpr double kSourceSlackPart = 0.25;
constexpr double kPeerSlackPart = 0.18;
/// The wait at a silent parent, and then this for each of eight further silent parents (the other
/// readers and two groups of standbys), end within the promise.
constexpr double kNextParentPart = 0.05;
/// A parent that refused may be fresh soon, so it is asked again within the promise.
constexpr double kStaleParentPart = 0.2;
/// Applies also when a reader stops in the middle of its answer.
constexpr double kStallPart = 0.25;
/// A read of the configuration waits longer (RelaySettings). A reader whose source fails is
/// detected by its reads of the servers.
constexpr double kConfigurationWaitPart = 0.5;

void deriveRelay(Duration shorter, source::RelaySettings& relay) {
  relay.source_wait = fractionOf(shorter, kRelayWaitPart);
  relay.source_slack = fractionOf(shorter, kSourceSlackPart);
  relay.peer_wait = fractionOf(shorter, kRelayWaitPart);
  relay.peer_slack = fractionOf(shorter, kPeerSlackPart);
  relay.stall_limit = fractionOf(shorter, kStallPart);
  relay.configuration_wait = fractionOf(shorter, kConfigurationWaitPart);
  relay.next_parent_delay = fractionOf(shorter, kNextParentPart);
  relay.avoid_stale_parent =
      std::min(source::RelaySettings().avoid_stale_parent, fractionOf(shorter, kStaleParentPart));
}

void derivePropagation(const Promises& promises, Settings& settings) {
  const bool has_both = promises.leaving > Duration(0) && promises.in_force > Duration(0);
  const auto [shorter, longer] = std::minmax(promises.leaving, promises.in_force);
  settings.watch.gather = (has_both ? shorter : longer) / 4;
  deriveRelay(has_both ? shorter : longer, settings.relay);
  // An answer reflects what was known when it was sent, and it takes as long to arrive as a change
  // does.
  settings.egress.configuration_certain_for =
      std::max(promises.in_force / 2, promises.in_force - kPropagationReserve);
  if (promises.leaving == Duration(0)) return;
  settings.egress.lapse_hold =
      std::max(Duration(0), promises.leaving - settings.watch.gather - kPropagationReserve);
}

void deriveStop(Duration stop, NodeSettings& node) {
  const Duration available = std::max(stop - kReserve, stop / 2);
  node.stop_delay = std::min(kReadinessDetectionTime, available * 3 / 5);
  node.stop_grace = kStopGrace;
  const Duration rest = std::max(Duration(0), available - node.stop_delay - kStopGrace);
  node.stop_linger = fractionOf(rest, kLingerPart);
  node.stop_timeout = rest - node.stop_linger;
}

/// Share of the permitted repeats that nodes use. The rest covers repeats that no node can foresee:
/// requests whose arrival becomes known late, and nodes that learn of others late.
constexpr double kUsedRepeatShare = 0.75;

void deriveRetries(const Promises& promises, proxy::RetryAllowanceSettings& retries) {
  retries.ratio = kUsedRepeatShare * promises.repeat_ratio;
  retries.burst = kUsedRepeatShare * promises.repeat_burst;
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
    deriveRecovery(promises.settled, settings.watch);
    // A node that missed updates obtains them through its own comparison within the promise.
    settings.suspect_gossip.longest_pause = promises.settled / 2;
  }
  const bool bounds_changes = promises.leaving > Duration(0) || promises.in_force > Duration(0);
  if (bounds_changes) derivePropagation(promises, settings);
  if (promises.stop > Duration(0)) deriveStop(promises.stop, settings.node);
}

}  // namespace coursepond::runtime
