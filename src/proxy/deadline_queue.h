#pragma once

/// Many deadlines on one timer of the Environment. Most requests are answered long before their
/// deadline, so that arming and disarming must cost no timer and no allocation.

#include <boost/intrusive/set.hpp>

#include "core/environment.h"
#include "core/time.h"

namespace coursepond::proxy {

/// Something with at most one deadline at a time. Disarms itself when destroyed.
class DeadlineEntry : public boost::intrusive::set_base_hook<
                          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  DeadlineEntry() = default;
  virtual ~DeadlineEntry() = default;
  DeadlineEntry(const DeadlineEntry&) = delete;
  DeadlineEntry& operator=(const DeadlineEntry&) = delete;

  /// The deadline has passed; the entry is disarmed already.
  virtual void onDeadline(TimePoint now) = 0;

  friend bool operator<(const DeadlineEntry& left, const DeadlineEntry& right) {
    return left.due_ < right.due_;
  }

 private:
  friend class DeadlineQueue;
  TimePoint due_;
};

/// The armed entries in order of their deadlines: O(log n) to arm and to disarm.
class DeadlineQueue {
 public:
  explicit DeadlineQueue(Environment& environment) : environment_(environment) {}
  ~DeadlineQueue();
  DeadlineQueue(const DeadlineQueue&) = delete;
  DeadlineQueue& operator=(const DeadlineQueue&) = delete;

  /// Calls entry.onDeadline() once at or after `due`. An armed entry moves.
  void arm(DeadlineEntry& entry, TimePoint due);
  /// No entry that is armed now is called later than `latest`.
  void bringForward(TimePoint latest);
  /// The entry will not be called. Does nothing when it isn't armed.
  void disarm(DeadlineEntry& entry);

 private:
  void coverEarliest();
  void runDue();

  Environment& environment_;
  boost::intrusive::multiset<DeadlineEntry, boost::intrusive::constant_time_size<false>> entries_;
  TimerId timer_ = 0;
  TimePoint timer_due_;
};

}  // namespace coursepond::proxy
