#pragma once

/// Decides which requests an egress accepts while its node performs a planned stop.
///
/// All requests must be answered before the process exits. Callers cannot know at once that the
/// node is leaving, so at first every request is accepted, and at the end those that are left are
/// answered as unknown. Callers that send later could have known. Their requests are accepted only
/// if they can be expected to end in time; the others are refused as not run while another node
/// can still serve them.

#include <optional>

#include "core/time.h"

namespace coursepond::egress {

struct StopSchedule {
  /// When callers should have noticed that the node is leaving.
  TimePoint callers_informed = TimePoint::max();
  /// By then every request is answered.
  TimePoint end = TimePoint::max();

  bool isAnnounced() const { return end != TimePoint::max(); }

  /// Returns whether a request that arrived at `arrived` may be given to a server at `now`.
  /// `deadline`: when the request ends in any case. `longest`: the longest latency of recent
  /// requests to its service, if known. `reserve`: time before the end that servers do not get.
  bool mayRun(TimePoint arrived, TimePoint now, TimePoint deadline, std::optional<Duration> longest,
              Duration reserve) const;
};

}  // namespace coursepond::egress
