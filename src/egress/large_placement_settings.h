#pragma once

/// Settings of the placement of requests with large answers (large_placement.h).

#include "core/time.h"

namespace coursepond::egress {

struct LargePlacementSettings {
  /// An answer is in time if it is sent within this multiple of the target latency. Less than
  /// ingress::Settings::target_stretch: while there are too many requests, the backlogs stand at
  /// the bound of the ingresses, and a report often shows room that is gone when the request
  /// arrives.
  double target_stretch = 0.7;
  /// Added to a server's cost if its backlog takes as long as the target. The same as for requests
  /// that wait for a slot; see Settings::waiting_cost.
  double backlog_cost = 2.5;
  /// Minimum half-life of a reported backlog. Longer backlogs have themselves as half-life, since
  /// that is how long the link needs for what was reported.
  Duration min_half_life = std::chrono::milliseconds(250);
};

}  // namespace coursepond::egress
