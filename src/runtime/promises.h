#pragma once

/// The promises of the system to its operators, and the timings of its components that follow from
/// them. Operators set the promises; the components' own settings can still be set individually.

#include "core/time.h"

namespace coursepond::runtime {

struct Settings;

/// [promises]: if a time is zero, the components' own defaults remain unchanged.
struct Promises {
  /// A server that announced that it is leaving, or whose entry was removed, gets no new work after
  /// this time.
  Duration leaving{};
  /// A version that the source acknowledged is in force on every node after this time.
  Duration in_force{};
  /// Time after the last failure of a node or the source until the two promises above hold again.
  Duration settled{};
  /// Longest duration of a planned stop; after that the process is killed.
  Duration stop{};
  /// Upper bound for the arrivals at a service beyond the first of each request, over all nodes and
  /// any period that operators look at: a share of the requests for the service,
  double repeat_ratio = 0.2;
  /// plus this number in a burst.
  double repeat_burst = 60;
  /// Upper bound for the requests that a cold server gets in any second: a multiple of the rate
  /// that its service declares for cold servers,
  double cold_overshoot = 1.0;
  /// plus this number of requests.
  double cold_burst = 0;
  /// How far all nodes together may exceed a tenant's quota, as a share of the quota.
  double quota_overshoot = 0.25;
};

/// Derives the settings that follow from `settings.promises`:
///   - watch: a read that hangs since before the end of a failure is abandoned, and a source that
///     failed is queried again, within `settled`;
///   - suspect_gossip: a node that was cut off learns what others know within `settled`;
///   - watch.gather and egress.lapse_hold: a change is applied, and a lapsed server is no longer
///     used, within `leaving` and `in_force`;
///   - egress.configuration_certain: a node that has received nothing about the configuration for
///     `in_force` does not claim that a route does not exist;
///   - relay: a reader that stopped answering is replaced by another path within the shorter of the
///     two;
///   - node.stop_*: a planned stop ends by itself within `stop`;
///   - ingress.cold_start: the requests to a cold server stay within `cold_overshoot` and
///     `cold_burst`;
///   - quota: nodes that cannot reach each other together stay within `quota_overshoot`;
///   - egress.retry_*: the repeats that nodes make deliberately stay below `repeat_ratio` and
///     `repeat_burst`.
void deriveTimings(Settings& settings);

}  // namespace coursepond::runtime
