#include "ingress/work_queue.h"

#include <algorithm>
#include <tuple>

namespace coursepond::ingress {

bool WorkQueue::Order::operator()(const Waiter* left, const Waiter* right) const {
  return std::tie(left->rank, left->due, left->number_) <
         std::tie(right->rank, right->due, right->number_);
}

void WorkQueue::add(Waiter& waiter) {
  waiter.number_ = ++last_number_;
  waiters_.insert(&waiter);
}

void WorkQueue::remove(Waiter& waiter) {
  if (waiter.number_ == 0) return;
  waiters_.erase(&waiter);
  waiter.number_ = 0;
}

std::size_t WorkQueue::ahead(std::uint32_t rank, TimePoint due) const {
  return static_cast<std::size_t>(
      std::count_if(waiters_.begin(), waiters_.end(), [&](const Waiter* waiter) {
        return std::tie(waiter->rank, waiter->due) <= std::tie(rank, due);
      }));
}

bool WorkQueue::goesBeforeLast(const Waiter& waiter) const {
  const Waiter* const last_waiter = last();
  if (last_waiter == nullptr) return false;
  return std::tie(waiter.rank, waiter.due) < std::tie(last_waiter->rank, last_waiter->due);
}

}  // namespace coursepond::ingress
