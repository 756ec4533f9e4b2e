#pragma once

/// Multiplexes many deadlines onto one timer of the Environment. Most requests are answered long
/// before their deadline, so arming and disarming must need neither a timer nor an allocation.

#include <boost/intrusive/set.hpp>

#include "core/environment.h"
#include "core/time.h"

namespace coursepond::proxy {

/// An object with at most one deadline at a time. Its destructor disarms it.
class DeadlineEntry : public boost::intrusive::set_base_hook<
                          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  DeadlineEntry() = default;
  virtual ~DeadlineEntry() = default;
  DeadlineEntry(const DeadlineEntry&) = delete;
  DeadlineEntry& operator=(const DeadlineEntry&) = delete;

  /// Called when the deadline has passed. The entry is already disarmed.
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

  /// Calls entry.onDeadline() once at or after `due`. Replaces the deadline of an armed entry.
  void arm(DeadlineEntry& entry, TimePoint due);
  /// Moves all deadlines that are later than `latest` to `latest`.
  void capDeadlines(TimePoint latest);
  /// Cancels the deadline of the entry. Does nothing if it is not armed.
  void disarm(DeadlineEntry& entry);

 private:
  void ensureTimer();
  void runDue();

  Environment& environment_;
  boost::intrusive::multiset<DeadlineEntry, boost::intrusive::constant_time_size<false>> entries_;
  TimerId timer_ = 0;
  TimePoint timer_due_;
};

}  // namespace coursepond::proxy
