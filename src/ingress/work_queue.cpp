#include "ingress/work_queue.h"

#include <algorithm>
#include <tuple>

namespace coursepond::ingress {

namespace {

/// Sort key of a waiter, except for the order of arrival.
auto urgency(const Waiter& waiter, std::size_t turn) {
  return std::make_tuple(!waiter.is_call, waiter.rank, turn, waiter.due);
}

}  // namespace

bool WorkQueue::Order::operator()(const Waiter* left, const Waiter* right) const {
  const auto left_urgency = urgency(*left, left->turn_);
  const auto right_urgency = urgency(*right, right->turn_);
  if (left_urgency != right_urgency) return left_urgency < right_urgency;
  return left->number_ < right->number_;
}

void WorkQueue::add(Waiter& waiter) {
  waiter.number_ = ++last_number_;
  waiter.turn_ = nextTurn(waiter);
  waiters_.insert(&waiter);
}

void WorkQueue::remove(Waiter& waiter) {
  if (waiter.number_ == 0) return;
  waiters_.erase(&waiter);
  waiter.number_ = 0;
}

std::size_t WorkQueue::nextTurn(const Waiter& waiter) const {
  if (waiter.tenant.empty()) return 0;
  return static_cast<std::size_t>(
      std::count_if(waiters_.begin(), waiters_.end(), [&](const Waiter* each) {
        return each->tenant == waiter.tenant && each->rank == waiter.rank;
      }));
}

std::size_t WorkQueue::ahead(const Waiter& waiter) const {
  const auto own = urgency(waiter, nextTurn(waiter));
  return static_cast<std::size_t>(
      std::count_if(waiters_.begin(), waiters_.end(),
                    [&](const Waiter* each) { return urgency(*each, each->turn_) <= own; }));
}

bool WorkQueue::goesBeforeLast(const Waiter& waiter) const {
  const Waiter* const last_waiter = last();
  return last_waiter != nullptr &&
         urgency(waiter, nextTurn(waiter)) < urgency(*last_waiter, last_waiter->turn_);
}

}  // namespace coursepond::ingress
