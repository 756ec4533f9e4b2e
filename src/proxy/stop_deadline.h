#pragma once

/// The time by which every request of a node must be answered because of a planned stop.

#include <algorithm>
#include <chrono>

#include "core/time.h"

namespace coursepond::proxy {

class StopDeadline {
 public:
  /// Time reserved before the end of the stop, so that the last answers can still be sent.
  static constexpr Duration kReserve = std::chrono::milliseconds(50);

  /// `end`: when the node cuts the requests that are left.
  void announce(TimePoint end) { latest_ = end - kReserve; }

  /// Returns the deadline, or the end of the stop's time if that is earlier.
  TimePoint cap(TimePoint deadline) const { return std::min(deadline, latest_); }
  /// Returns whether a request that would be sent now, and takes as long as `usual`, gets no answer
  /// because of the stop.
  bool isTooLate(TimePoint deadline, Duration usual, TimePoint now) const {
    return deadline > latest_ && latest_ - now <= usual;
  }
  bool isOver(TimePoint now) const { return now >= latest_; }
  /// TimePoint::max() without a planned stop.
  TimePoint latest() const { return latest_; }

 private:
  TimePoint latest_ = TimePoint::max();
};

}  // namespace coursepond::proxy
