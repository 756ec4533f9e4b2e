#pragma once

/// The requests that wait for a slot of the ingress's server: calls of running work first, then the
/// lowest rank, and within a rank the tenants in turn: each one's first request, then each one's
/// second. Of those of one turn, the one goes first whose target comes first. A tenant that sends
/// many times its usual load waits behind itself, not before others.

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
  /// A slot is taken for this request, which must release it.
  virtual void onSlot(TimePoint now) = 0;
  /// No longer waiting and without a slot.
  virtual void onDisplaced(proxy::Reason reason, TimePoint now) = 0;

  bool is_call = false;  ///< Made for a request that holds a slot elsewhere: goes first.
  std::uint32_t rank = 0;
  TenantName tenant;  ///< Empty: nobody's, and all such requests have the first turn.
  Duration target{};  ///< Its target latency.
  TimePoint due;      ///< When its answer should be there.

 private:
  friend class WorkQueue;
  std::uint64_t number_ = 0;  ///< Order of arrival; zero: not waiting.
  std::size_t turn_ = 0;      ///< Of its tenant's requests.
};

class WorkQueue {
 public:
  void add(Waiter& waiter);
  /// Does nothing when it doesn't wait.
  void remove(Waiter& waiter);
  Waiter* first() const { return waiters_.empty() ? nullptr : *waiters_.begin(); }
  Waiter* last() const { return waiters_.empty() ? nullptr : *waiters_.rbegin(); }
  bool empty() const { return waiters_.empty(); }
  std::size_t size() const { return waiters_.size(); }
  /// How many of those that wait would go before `waiter`.
  std::size_t ahead(const Waiter& waiter) const;
  /// Whether `waiter` would go before the last of those that wait.
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
