#pragma once

/// How fast the ingress's server is now, and how long work takes there at its usual speed.
///
/// A server that shares its machine with other work reports its slowness in its answers: how many
/// times as long as usual work takes at this moment. Such a state lasts for tenths of a second, so
/// an average of measured times follows it too late and is wrong for the time after it.

#include <optional>

#include "core/time.h"
#include "ingress/average_by_target.h"
#include "proxy/decaying_average.h"

namespace coursepond::ingress {

struct ServerSpeedSettings {
  /// Half-life of the last report. Servers that share their machines change their speed about every
  /// 600 ms.
  Duration half_life = std::chrono::milliseconds(600);
  /// Weight of one answer in the moving averages.
  double sample_weight = 0.05;
};

class ServerSpeed {
 public:
  /// Called when an answer of the server reported its slowness, which must be above zero.
  void onReport(double slowness, TimePoint now);
  /// Called when the server answered a request with this target latency after `service_time`, after
  /// onReport() if the answer has a report. Does nothing before the first report.
  void onAnswered(const ServerSpeedSettings& settings, Duration target, Duration service_time,
                  TimePoint now);

  /// Returns whether the server has ever reported its slowness.
  bool isReported() const { return is_reported_; }
  /// Returns the slowness now: the last report, which decays towards 1.
  double slowness(const ServerSpeedSettings& settings, TimePoint now) const;
  /// Returns the mean service time of requests with this target latency while the server has its
  /// usual speed. Empty if it is not known.
  std::optional<Duration> usualService(Duration target) const;
  /// Returns the same for the speed that the server has now.
  std::optional<Duration> expectedService(const ServerSpeedSettings& settings, Duration target,
                                          TimePoint now) const;
  /// Returns the mean service time over all requests for the speed that the server has now. Empty
  /// if it is not known.
  std::optional<Duration> expectedMean(const ServerSpeedSettings& settings, TimePoint now) const;

 private:
  /// The usual service time is the average service time divided by the average slowness. A run may
  /// outlast a state of its server, so that its service time and the report in its answer belong to
  /// different states; the mean of their ratios would then be too high by a tenth.
  struct Average {
    double service_us = 0;
    double slowness = 0;
  };

  bool is_reported_ = false;
  proxy::DecayingAverage reported_{1.0};
  AverageByTarget service_us_;
  AverageByTarget slownesses_;
  std::optional<Average> mean_;  ///< Over all requests.
};

}  // namespace coursepond::ingress
