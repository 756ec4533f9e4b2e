#pragma once

/// Queue of the requests that wait for a slot of the ingress's server.
///
/// Calls made by running requests go first, then requests by ascending rank. Within a rank, the
/// tenants take turns: first the first request of each tenant, then the second one of each. Within
/// a turn, the request with the earliest target time goes first. So a tenant that sends many times
/// its usual load delays its own requests, not those of others.

#include <algorithm>
#include <cstdint>
#include <set>

#include "core/ids.h"
#include "core/time.h"
#include "proxy/reason.h"

namespace coursepond::ingress {

/// A request that needs a slot.
class Waiter {
 public:
  virtual ~Waiter() = default;
  /// Called when the request has got a slot, which it must release.
  virtual void onSlot(TimePoint now) = 0;
  /// Called when the request was removed from the queue without getting a slot.
  virtual void onDisplaced(proxy::Reason reason, TimePoint now) = 0;

  bool is_call = false;  ///< Made for a request that holds a slot elsewhere.
  std::uint32_t rank = 0;
  TenantName tenant;      ///< Empty: no tenant; all such requests have the first turn.
  Duration target{};      ///< Target latency.
  TimePoint due;          ///< When the answer should be there.
  TimePoint latest_slot;  ///< When it gives up waiting.

 private:
  friend class WorkQueue;
  std::uint64_t number_ = 0;  ///< Order of arrival; zero: not waiting.
  std::size_t turn_ = 0;      ///< Turn among the requests of its tenant and rank.
};

class WorkQueue {
 public:
  void add(Waiter& waiter);
  /// Does nothing if `waiter` is not waiting.
  void remove(Waiter& waiter);
  Waiter* first() const { return waiters_.empty() ? nullptr : *waiters_.begin(); }
  Waiter* last() const { return waiters_.empty() ? nullptr : *waiters_.rbegin(); }
  /// Returns the first waiting request for which `accepts(const Waiter&)` is true; null if there is
  /// none.
  template <typename Predicate>
  Waiter* firstOf(const Predicate& accepts) const {
    const auto found = std::find_if(waiters_.begin(), waiters_.end(),
                                    [&](const Waiter* each) { return accepts(*each); });
    return found == waiters_.end() ? nullptr : *found;
  }
  bool empty() const { return waiters_.empty(); }
  std::size_t size() const { return waiters_.size(); }
  /// Returns the number of waiting requests that would go before `waiter`.
  std::size_t ahead(const Waiter& waiter) const;
  /// Returns whether `waiter` would go before the last waiting request.
  bool goesBeforeLast(const Waiter& waiter) const;

 private:
  std::size_t nextTurn(const Waiter& waiter) const;
  struct Order {
    bool operator()(const Waiter* left, const Waiter* right) const;
  };
  std::set<Waiter*, Order> waiters_;
  std::uint64_t last_number_ = 0;
};

}  // namespace coursepond::ingress
