#include "proxy/admission_queue.h"

namespace coursepond::proxy {

QueueEntry AdmissionQueue::enter(Waiter& waiter) {
  QueueEntry entry;
  if (waiter.priority() == model::Priority::kBatch) {
    const double batch_limit = settings_.batch_queue_part * static_cast<double>(limit_);
    if (static_cast<double>(size()) >= batch_limit) {
      entry.refusal = Reason::kBatchShed;
      return entry;
    }
  } else if (size() >= limit_) {
    if (batch_.empty()) return entry;
    entry.displaced = &batch_.back();
    batch_.pop_back();
  }
  list(waiter.priority()).push_back(waiter);
  entry.admitted = true;
  return entry;
}

void AdmissionQueue::reenter(Waiter& waiter) { list(waiter.priority()).push_front(waiter); }

void AdmissionQueue::leave(Waiter& waiter) {
  if (!waiter.is_linked()) return;
  List& waiting = list(waiter.priority());
  waiting.erase(waiting.iterator_to(waiter));
}

model::Priority AdmissionQueue::nextPriority() const {
  if (batch_.empty()) return model::Priority::kInteractive;
  if (interactive_.empty()) return model::Priority::kBatch;
  return interactive_in_a_row_ >= settings_.interactive_weight ? model::Priority::kBatch
                                                               : model::Priority::kInteractive;
}

Waiter* AdmissionQueue::front(model::Priority priority) {
  List& waiting = list(priority);
  return waiting.empty() ? nullptr : &waiting.front();
}

void AdmissionQueue::serveFront(model::Priority priority) {
  list(priority).pop_front();
  if (priority == model::Priority::kBatch) {
    interactive_in_a_row_ = 0;
  } else if (!batch_.empty()) {
    ++interactive_in_a_row_;
  }
}

double AdmissionQueue::expectedAhead(model::Priority priority) const {
  if (priority == model::Priority::kBatch) return static_cast<double>(size());
  const double own = static_cast<double>(interactive_.size());
  const double batch_between =
      std::min(static_cast<double>(batch_.size()), own / settings_.interactive_weight);
  return own + batch_between;
}

}  // namespace coursepond::proxy
