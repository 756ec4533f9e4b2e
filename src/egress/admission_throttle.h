#pragma once

/// Client-side adaptive throttling ("Site Reliability Engineering", chapter "Handling Overload"):
/// the egress itself refuses requests that an overloaded service would refuse, which saves the
/// messages.
///
/// All requests pass while most are accepted. When a service accepts only some, the throttle lets
/// through a fixed multiple of the accepted rate. The surplus detects regained capacity within the
/// half-life of the counts.

#include "core/environment.h"
#include "core/time.h"

namespace coursepond::egress {

struct ThrottleSettings {
  /// Requests that pass, as a multiple of the recently accepted ones.
  double pass_ratio = 1.5;
  /// Half-life of the request counts. Short, because overload comes and goes within seconds.
  Duration half_life = std::chrono::milliseconds(350);
  /// Number of refusals before any request is throttled, since a few happen by chance.
  double tolerated_refusals = 6;
};

/// Throttle for one service and rank on one node.
class AdmissionThrottle {
 public:
  /// Returns whether a request may be sent now. If not, the request is counted as refused.
  bool passes(const ThrottleSettings& settings, TimePoint now, Environment& environment);
  /// Records the outcome of a request that was sent: an ingress accepted it, or all ingresses that
  /// were asked refused it.
  void onOutcome(const ThrottleSettings& settings, TimePoint now, bool is_accepted);

 private:
  void decay(const ThrottleSettings& settings, TimePoint now);

  double asked_ = 0;      ///< Decaying count of requests with a known outcome.
  double accepted_ = 0;   ///< Decaying count of those that were accepted.
  TimePoint counted_at_;  ///< When the counts were last decayed.
};

}  // namespace coursepond::egress
