#pragma once

/// Tracks the share of recent requests that the ingress's server rejected although it had a free
/// slot.
///
/// A server that rejects quickly has free slots while those of other servers are taken. Requests
/// that look for a free slot would find it and fail there. So the ingress refuses a part of these
/// requests, which grows with the rejection rate. Requests that found no free slot elsewhere are
/// still sent to the server, and show when it has recovered.

#include "core/environment.h"
#include "core/time.h"
#include "proxy/decaying_average.h"

namespace coursepond::ingress {

struct RejectionRateSettings {
  /// Weight of one answer in the moving average, which covers about the last ten answers. A server
  /// at usual load gives as many per second.
  double sample_weight = 0.1;
  /// Half-life of the rate, so that an avoided server is tried again. Short, so that a server that
  /// fails and recovers every two seconds is soon used again; for servers that reject all the time,
  /// a longer half-life would be slightly better.
  Duration half_life = std::chrono::seconds(1);
  /// Rejection rate up to which no request is turned away. A single rejection (0.1) may be chance.
  double tolerated_rate = 0.12;
  /// Rejection rate from which on the share `max_turned_away` is turned away. Below, the share
  /// grows linearly.
  double full_rate = 0.3;
  double max_turned_away = 0.99;
};

class RejectionRate {
 public:
  /// Called when the server answered or rejected a request.
  void onAnswer(const RejectionRateSettings& settings, bool is_rejection, TimePoint now);
  /// Returns the rejection rate, from 0 to 1.
  double value(const RejectionRateSettings& settings, TimePoint now) const;
  /// Returns whether a request that can go elsewhere should be turned away. Decided at random, with
  /// a probability that grows with the rejection rate.
  bool turnsAway(const RejectionRateSettings& settings, TimePoint now,
                 Environment& environment) const;

 private:
  proxy::DecayingAverage average_{0.0};
};

}  // namespace coursepond::ingress
