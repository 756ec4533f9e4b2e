#pragma once

/// How fast the own server may be sent requests while it is cold.
///
/// Answers the load of a server that has just started, or turned cold while it had nothing to do,
/// when callers come at once: it bears only so many requests a second until it is warm, and well
/// above that it crashes, starts cold again and is overloaded again. A fleet that lost power never
/// recovers that way: played in virtual time (fleet_load_test), 0.46 of the worth of twenty seconds
/// without this bound, 0.87 with it. The bound is one of requests sent in any second, whatever
/// slots are free and however short the requests are, and the ingress alone sends to its server: so
/// it is kept here, exactly, on arrival and from the queue alike.
///
/// Whether the server is cold is learned from its listed entry, from its own word where it is
/// asked, and suspected where neither was heard since something may have changed: then it counts as
/// cold until it says otherwise, or has had the time to warm up.

#include <cstddef>
#include <deque>
#include <optional>

#include "core/time.h"

namespace coursepond::ingress {

struct ColdStartSettings {
  /// Requests in a second that a cold server may be sent, as a multiple of what it bears for long,
  double overshoot = 1.0;
  /// and so many beyond that.
  double burst = 0;
};

class ColdStart {
 public:
  /// What the service's configuration says: requests a second that a cold server bears (zero: as
  /// many as a warm one), and how long it stays cold after a start. Before the first call, a server
  /// that is suspected gets the burst alone in each second, if the settings name one: after a loss
  /// of power, requests of others arrive before the first configuration does.
  void setLimits(double rate, Duration warm_up) { limits_ = Limits{rate, warm_up}; }

  /// The server may have turned cold while it ran: it counts as cold until onTold().
  void suspectTurnedCold(TimePoint now);
  /// What was sent to it at `sent` found that a connection was lost or refused, so that it may have
  /// started anew since then: it counts as cold until onTold() or onAnswered() says otherwise.
  void suspectStartedAnew(TimePoint sent, TimePoint now);
  /// It answered a request that was sent at `sent`. If that was before all that was lost had been
  /// sent, it is the same start. Requests sent later may have met the next start already, where a
  /// loss is found late. Without this, servers that lose a part of their answers, at which
  /// connections are lost all the time, would get no more than cold ones.
  void onAnswered(TimePoint sent);
  /// It stays cold for `left` from now; zero: it is warm.
  void onTold(Duration left, TimePoint now);
  /// Nothing is known since it was suspected: asking the server is worth it.
  bool isSuspected(const ColdStartSettings& settings, TimePoint now) const {
    return is_suspected_ && isCold(settings, now);
  }
  bool isCold(const ColdStartSettings& settings, TimePoint now) const {
    return isBounded(settings) && now < coldUntil();
  }

  /// When the next request may be sent; not after `now` when one may be sent at once.
  TimePoint nextStart(const ColdStartSettings& settings, TimePoint now) const;
  bool mayStart(const ColdStartSettings& settings, TimePoint now) const {
    return nextStart(settings, now) <= now;
  }
  /// A request was sent. To be told of those to a warm server as well: it may turn cold within the
  /// same second.
  void onStarted(const ColdStartSettings& settings, TimePoint now);
  /// Requests that a cold server may be sent in one second.
  std::size_t mostStarts(const ColdStartSettings& settings) const;

 private:
  struct Limits {
    double rate = 0;  ///< Requests a second.
    Duration warm_up{};
  };

  bool isBounded(const ColdStartSettings& settings) const {
    return limits_ ? limits_->rate > 0 : settings.burst > 0;
  }
  TimePoint coldUntil() const;

  std::optional<Limits> limits_;  ///< Nothing before the first configuration.
  bool is_suspected_ = false;
  TimePoint suspected_at_;
  /// An answer to what was sent before this settles the doubt; nothing when none does.
  std::optional<TimePoint> settled_before_;
  TimePoint cold_until_;
  std::deque<TimePoint> starts_;  ///< The last mostStarts(), oldest first.
};

}  // namespace coursepond::ingress
