#pragma once

#include <cstdint>

#include "core/time.h"
#include "proxy/settings.h"

namespace coursepond::proxy {

/// Limits the number of requests that this node has in flight on one server. Other nodes use the
/// same slots without this node seeing it, so the limit adapts: it increases by a step while the
/// server answers and decreases by a factor when it refuses (additive increase, multiplicative
/// decrease). With a limit below one, the node pauses between requests.
class ConcurrencyLimit {
 public:
  /// Starts at twice this node's even share of the slots.
  ConcurrencyLimit(std::uint32_t slots, std::size_t nodes);

  /// Called when the number of the server's slots changed.
  void setSlots(std::uint32_t slots);

  /// Returns the maximum number of requests in flight, at least 1.
  std::uint32_t value() const;
  double exactValue() const { return limit_; }

  /// Called when the server answered. `in_flight` includes the answered request. `reports_full` is
  /// set if the answer carries a load report that says that the server is full.
  void onAnswered(std::uint32_t in_flight, bool reports_full, const ConcurrencySettings& settings);

  /// Called when the server refused a request while `in_flight` requests, including this one, were
  /// in flight. Decreases the limit at most once per `service_time`, since several refusals in a
  /// burst are one signal.
  void onRefused(std::uint32_t in_flight, Duration service_time, TimePoint now,
                 const ConcurrencySettings& settings);

  /// Returns the pause between two requests. Zero unless the limit is below one.
  Duration pause(Duration service_time) const;

 private:
  double slots_;
  double limit_;
  bool was_refused_ = false;
  TimePoint last_decrease_;
};

}  // namespace coursepond::proxy
