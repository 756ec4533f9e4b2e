#pragma once

/// Limits the rate of requests to the ingress's server while the server is cold, that is, has just
/// started or has become cold while it was idle.
///
/// A cold server handles only a limited number of requests per second until it is warm. Well above
/// that rate it crashes, starts cold again and is overloaded again, so that a fleet would never
/// recover from a power loss. The limit is the number of requests sent in any second, independent
/// of free slots and of the duration of requests. Only the ingress sends to its server, so it
/// enforces the limit exactly, both for arriving requests and for those from the queue.
///
/// Whether the server is cold is known from its listed entry and from its answers to health checks.
/// If something may have changed since the last such report, the server is suspected to be cold. It
/// then counts as cold until it reports otherwise or its warm-up time has passed.

#include <cstddef>
#include <deque>
#include <optional>

#include "core/time.h"

namespace coursepond::ingress {

struct ColdStartSettings {
  /// Maximum rate for a cold server, as a multiple of the rate that it can sustain.
  double overshoot = 1.0;
  /// Number of requests that are allowed in any second on top of that.
  double burst = 0;
};

class ColdStart {
 public:
  /// Sets the limits from the service's configuration: the requests per second that a cold server
  /// can sustain (zero: no limit), and how long it stays cold after a start. Before the first call,
  /// a suspected server gets only the burst in each second, if the settings define one: after a
  /// power loss, requests from other nodes arrive before the first configuration does.
  void setLimits(double rate, Duration warm_up) { limits_ = Limits{rate, warm_up}; }

  /// Called when the server may have become cold while it ran. It counts as cold until
  /// onWarmUpReported() says otherwise or its warm-up time has passed.
  void suspectTurnedCold(TimePoint now);
  /// Called when a request that was sent at `sent` failed with a lost or refused connection, so
  /// that the server may have restarted since then. It counts as cold until onWarmUpReported() or
  /// onAnswered() says otherwise or its warm-up time has passed.
  void suspectRestarted(TimePoint sent, TimePoint now);
  /// Called when the server answered a request that was sent at `sent`. If that was before any of
  /// the lost requests had been sent, the server has not restarted, and the suspicion is cleared. A
  /// request that was sent later proves nothing: if a loss is detected late, it may have reached
  /// the restarted server already. Without this rule, a server that keeps losing single answers,
  /// and thereby connections, would permanently be limited to the rate of a cold server.
  void onAnswered(TimePoint sent);
  /// Called when the server's entry or health check reports that it stays cold for `left` from now;
  /// zero: it is warm.
  void onWarmUpReported(Duration left, TimePoint now);
  /// Returns whether the server counts as cold only on suspicion, so that a health check would
  /// help.
  bool isSuspected(const ColdStartSettings& settings, TimePoint now) const {
    return is_suspected_ && isCold(settings, now);
  }
  bool isCold(const ColdStartSettings& settings, TimePoint now) const {
    return isBounded(settings) && now < coldUntil();
  }

  /// Returns when the next request may be sent; `now` or earlier if one may be sent at once.
  TimePoint nextStart(const ColdStartSettings& settings, TimePoint now) const;
  bool mayStart(const ColdStartSettings& settings, TimePoint now) const {
    return nextStart(settings, now) <= now;
  }
  /// Must be called for each request that is sent to the server, also while it is warm, because it
  /// may become cold within the same second.
  void onStarted(const ColdStartSettings& settings, TimePoint now);
  /// Returns the number of requests that may be sent to a cold server in any second.
  std::size_t maxStartsPerSecond(const ColdStartSettings& settings) const;

 private:
  struct Limits {
    double rate = 0;  ///< Requests per second.
    Duration warm_up{};
  };

  bool isBounded(const ColdStartSettings& settings) const {
    return limits_ ? limits_->rate > 0 : settings.burst > 0;
  }
  TimePoint coldUntil() const;

  std::optional<Limits> limits_;  ///< Empty before the first configuration.
  bool is_suspected_ = false;
  TimePoint suspected_at_;
  /// The suspicion is cleared by an answer to a request that was sent before this time; empty: no
  /// answer clears it.
  std::optional<TimePoint> cleared_if_sent_before_;
  TimePoint cold_until_;
  std::deque<TimePoint> starts_;  ///< Send times of the last maxStartsPerSecond() requests.
};

}  // namespace coursepond::ingress
