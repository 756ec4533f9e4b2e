#pragma once

#include <cstddef>
#include <cstdint>

#include "core/environment.h"
#include "core/time.h"
#include "proxy/decaying_average.h"
#include "proxy/settings.h"

namespace coursepond::proxy {

/// The failure history of one server.
struct OutlierRecord {
  /// Time without answers in which the failure rate halves.
  static constexpr Duration kFailureHalfLife = std::chrono::seconds(5);

  std::uint32_t consecutive_failures = 0;
  std::uint32_t connect_failures = 0;  ///< Consecutive failed connections.
  DecayingAverage failure_rate{0.0};   ///< Moving average, from 0 to 1.
  std::uint32_t answers = 0;           ///< Results since the last ejection, including failures.
  std::uint32_t ejections = 0;         ///< Ejections without a healthy period in between.
  TimePoint ejected_until;

  bool ejected(TimePoint now) const { return now < ejected_until; }
  double failureRate(TimePoint now) const { return failure_rate.value(now, 0.0, kFailureHalfLife); }
};

/// Decides when a failing server is ejected and for how long. The caller must check mayEject()
/// before it ejects a server.
class OutlierDetector {
 public:
  OutlierDetector(const OutlierSettings& settings, Environment& environment)
      : settings_(settings), environment_(environment) {}

  void onSuccess(OutlierRecord& record, TimePoint now) const;

  /// Records a failure. Returns whether there are enough failures for an ejection.
  bool onFailure(OutlierRecord& record, TimePoint now) const;

  /// Returns whether the server fails clearly more often than its peers on average. If all servers
  /// fail alike, the cause is elsewhere (a bad route, an unavailable dependency), and ejecting half
  /// of them would only overload the rest. A server that accepts no connections is always an
  /// outlier.
  bool isOutlier(const OutlierRecord& record, double peer_failure_rate, TimePoint now) const;

  /// Returns whether one more of `usable` servers may be ejected if `ejected` already are. The
  /// limit is `largest_ejected_part`, or all but one server if this one accepts no connections and
  /// so serves no requests anyway.
  bool mayEject(const OutlierRecord& record, std::size_t ejected, std::size_t usable) const;

  bool acceptsNoConnections(const OutlierRecord& record) const {
    return record.connect_failures >= settings_.consecutive_failures;
  }

  /// Ejects the server until record.ejected_until. The base length doubles with each further
  /// ejection. A jitter of up to a tenth keeps the nodes from returning to the server at the same
  /// time.
  void eject(OutlierRecord& record, TimePoint now) const;

 private:
  const OutlierSettings& settings_;
  Environment& environment_;
};

}  // namespace coursepond::proxy
