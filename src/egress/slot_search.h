#pragma once

/// Decides which ingresses a request asks for a free slot, and at which server it waits if none is
/// free.
///
/// The search serves loads at which some servers of a service are full while others have free
/// slots. An egress knows the slots of a server only from reports, which are older than the time
/// for which a slot is held: with a hundred nodes, a report from each server arrives every few
/// seconds, while a slot is held for tenths of a second. So the request first asks a few ingresses
/// for a slot that is free now. If none has one, the request waits at the server with the shortest
/// queue among those that were asked, whose reports are only a few milliseconds old. This serves
/// more requests during bursts, and fewer answers are late.

#include <cstdint>

#include "egress/server_directory.h"
#include "egress/slot_search_settings.h"

namespace coursepond::egress {

class SlotSearch {
 public:
  /// `settings` must outlive the search. `is_call`: the request is made by a server on behalf of a
  /// request that it runs.
  SlotSearch(const SlotSearchSettings& settings, bool is_call)
      : settings_(settings), is_call_(is_call) {}

  /// Returns whether the request may wait at the next ingress; if not, it only takes a free slot.
  bool mayWait() const {
    return is_call_ || has_joined_ || refusals_ + 1 >= settings_.most_full_ingresses;
  }
  /// Returns whether a server of the own zone should be asked next, however busy it seems.
  bool asksOwnZone() const { return !mayWait() && own_zone_asks_ < settings_.own_zone_asks; }
  /// Returns whether a server in the own zone (or in another one) may be asked for a free slot.
  bool mayAsk(bool is_own_zone) const;
  /// Called when the request is sent to a server of the own zone, or of another zone.
  void onAsk(bool is_own_zone) { ++(is_own_zone ? own_zone_asks_ : other_zone_asks_); }
  /// Called when the ingress beside `server` had no free slot; `load` is its report.
  void onFull(const ServerPointer& server, const proxy::HopLoad& load);
  /// Called when the ingress refused because its server rejects many requests. The expected wait
  /// there counts as longer.
  void onRejecting(const ServerPointer& server, const proxy::HopLoad& load);
  /// Called when the ingress refused because its server is slow now. The expected time there counts
  /// as longer.
  void onSlow(const ServerPointer& server, const proxy::HopLoad& load);
  /// Called for a refusal that says nothing about the queue.
  void onRefused() { ++refusals_; }
  /// Returns whether the request should join a queue next, since it found no free slot.
  bool shouldJoinQueue() const { return !is_call_ && mayWait(); }
  /// Returns whether a call has reached its maximum number of refusals.
  bool isExhausted() const { return is_call_ && refusals_ >= settings_.most_full_for_calls; }
  /// Returns the server to wait at; null if no queue is known or one was already joined.
  ServerPointer joinShortestQueue();

 private:
  void considerQueue(const ServerPointer& server, const proxy::HopLoad& load, Duration longer_by);

  const SlotSearchSettings& settings_;
  const bool is_call_;
  std::uint32_t refusals_ = 0;
  std::uint32_t skips_ = 0;  ///< Refusals of a call by rejecting or slow servers.
  std::uint32_t own_zone_asks_ = 0;
  std::uint32_t other_zone_asks_ = 0;
  ServerPointer shortest_;    ///< The full server with the shortest expected wait so far,
  Duration shortest_wait_{};  ///< and that wait.
  bool has_joined_ = false;
};

}  // namespace coursepond::egress
