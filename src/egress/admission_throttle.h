#pragma once

/// Refuses at the egress what a full service would refuse anyway, without a message: adaptive
/// throttling on the client's side ("Site Reliability Engineering", chapter "Handling Overload").
/// Requests pass freely while most are accepted. When a service accepts only some, as many pass as
/// it accepts and a part more, so that room is noticed within the time in which counts are
/// forgotten.

#include "core/environment.h"
#include "core/time.h"

namespace coursepond::egress {

struct ThrottleSettings {
  /// Requests that pass, as a multiple of those accepted lately.
  double pass_ratio = 1.5;
  /// What was counted counts half after this: overload comes and goes within seconds.
  Duration half_life = std::chrono::milliseconds(350);
  /// Refusals that are forgiven before any request is held back: a few are chance.
  double forgiven = 6;
};

/// Of one service and rank, on one node.
class AdmissionThrottle {
 public:
  /// Whether a request that came now may be sent. Counts one that may not as refused.
  bool passes(const ThrottleSettings& settings, TimePoint now, Environment& environment);
  /// What became of a request that was sent: an ingress took it, or all that were asked refused.
  void onOutcome(const ThrottleSettings& settings, TimePoint now, bool is_accepted);

 private:
  void forget(const ThrottleSettings& settings, TimePoint now);

  double asked_ = 0;  ///< Whose outcome is known.
  double accepted_ = 0;
  TimePoint counted_at_;
};

}  // namespace coursepond::egress
