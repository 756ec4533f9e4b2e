#pragma once

/// Which part of what the own server got lately it rejected though it had room.
///
/// Answers the load of a server that rejects fast: its slots are free when those of the others are
/// taken, so that whoever looks for a free slot finds it, and a part of all requests ends there.
/// Such a server is offered to only a part of those that look for a free slot, the smaller the more
/// it rejects; those that found none elsewhere still come, and show when it has recovered. Played
/// in virtual time (fleet_load_test) with a quarter of a service's servers rejecting half: two
/// points more of the worth, a quarter of the failed calls.

#include "core/environment.h"
#include "core/time.h"
#include "proxy/decaying_average.h"

namespace coursepond::ingress {

struct RejectionRateSettings {
  /// Weight of one answer: about the last ten. A server at usual load answers as many in a second.
  double sample_weight = 0.1;
  /// Without answers the rate halves in this time: a server that is avoided is tried again. Servers
  /// that come and go every two seconds are not missed for long, which was not measured by itself;
  /// where servers reject all the time, 3 s earned 0.005 more in virtual time.
  Duration half_life = std::chrono::seconds(1);
  /// Up to this rate nothing is turned away: a single rejection (0.1) is chance.
  double tolerated = 0.12;
  /// From this rate on, most are. With 0.95 in place of 0.99, 0.002 less of the worth.
  double full = 0.3;
  double most_turned_away = 0.99;
};

class RejectionRate {
 public:
  /// The server answered a request, or rejected it.
  void onAnswer(const RejectionRateSettings& settings, bool is_rejection, TimePoint now);
  /// From 0 to 1.
  double value(const RejectionRateSettings& settings, TimePoint now) const;
  /// Whether a request that has another choice shall look elsewhere.
  bool turnsAway(const RejectionRateSettings& settings, TimePoint now,
                 Environment& environment) const;

 private:
  proxy::DecayingAverage average_{0.0};
};

}  // namespace coursepond::ingress
