#include "proxy/deadline_queue.h"

#include <algorithm>

namespace coursepond::proxy {

DeadlineQueue::~DeadlineQueue() {
  if (timer_ != 0) environment_.cancel(timer_);
}

void DeadlineQueue::arm(DeadlineEntry& entry, TimePoint due) {
  disarm(entry);
  entry.due_ = due;
  entries_.insert(entry);
  ensureTimer();
}

void DeadlineQueue::capDeadlines(TimePoint latest) {
  while (!entries_.empty() && entries_.rbegin()->due_ > latest) {
    DeadlineEntry& entry = *entries_.rbegin();
    disarm(entry);
    entry.due_ = latest;
    entries_.insert(entry);
  }
  ensureTimer();
}

void DeadlineQueue::disarm(DeadlineEntry& entry) {
  if (entry.is_linked()) entry.unlink();
}

/// Ensures that the timer fires no later than the earliest deadline. A timer that is due earlier is
/// not rescheduled: it fires, finds nothing to do and is scheduled again. This makes arming cheap.
void DeadlineQueue::ensureTimer() {
  if (entries_.empty()) return;
  const TimePoint earliest = entries_.begin()->due_;
  if (timer_ != 0 && timer_due_ <= earliest) return;
  if (timer_ != 0) environment_.cancel(timer_);
  const Duration delay = std::max(Duration(0), earliest - environment_.now());
  timer_due_ = earliest;
  timer_ = environment_.schedule(delay, [this] { runDue(); });
}

void DeadlineQueue::runDue() {
  timer_ = 0;
  const TimePoint now = environment_.now();
  while (!entries_.empty() && entries_.begin()->due_ <= now) {
    DeadlineEntry& entry = *entries_.begin();
    disarm(entry);
    entry.onDeadline(now);
  }
  ensureTimer();
}

}  // namespace coursepond::proxy
