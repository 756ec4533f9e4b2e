#pragma once

/// What operators are promised, and the times of the parts that follow from it. Whoever runs a mesh
/// states the promises; the parts' own settings can still be set one by one.

#include "core/time.h"

namespace coursepond::runtime {

struct Settings;

/// [promises]: a time of zero leaves the parts' own defaults as they are.
struct Promises {
  /// A server that said it leaves, or whose entry went, gets no new work after this.
  Duration leaving{};
  /// A version that the source acknowledged is in force on every node after this.
  Duration in_force{};
  /// How long after the last trouble of a node or the source the two above hold again.
  Duration settled{};
  /// The longest planned stop; then the process is killed.
  Duration stop{};
  /// Arrivals at a service beyond the first of each request, by all nodes together and over any
  /// span that operators look at: this part of the requests for it,
  double repeat_ratio = 0.2;
  /// and so many in a burst.
  double repeat_burst = 60;
  /// A cold server gets, in any second, at most this multiple of what its service says that it
  /// bears,
  double cold_overshoot = 1.0;
  /// and so many beyond that.
  double cold_burst = 0;
  /// By what part of a tenant's quota all nodes together may exceed it.
  double quota_overshoot = 0.25;
};

/// Sets what follows from `settings.promises`:
///   - watch: a read that hangs since before the trouble's end is given up, and a source that
///   failed
///     is asked again, before `settled` is over;
///   - suspect_gossip: a node that was cut off knows what others do before `settled` is over;
///   - watch.gather and egress.lapse_hold: a change is taken in, and a lapsed server used no more,
///     before `leaving` and `in_force` are over;
///   - egress.configuration_certain: a node that has not heard of the configuration for `in_force`
///     does not say that a route does not exist;
///   - relay: a reader that fell silent is left for another path before the shorter of the two is
///   over;
///   - node.stop_*: a planned stop ends by itself before `stop` is over;
///   - ingress.cold_start: what a cold server gets stays within `cold_overshoot` and `cold_burst`;
///   - quota: nodes that cannot reach each other together stay within `quota_overshoot`;
///   - egress.retry_*: what nodes repeat on purpose stays below `repeat_ratio` and `repeat_burst`.
void deriveTimings(Settings& settings);

}  // namespace coursepond::runtime
