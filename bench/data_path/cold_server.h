#pragma once

/// Model of a server that is slow after a start and crashes when it receives too many requests.

#include <cstddef>
#include <deque>

#include "core/time.h"

namespace coursepond::data_path {

/// Parameters of a cold start, shared by all servers of a fleet.
struct ColdShape {
  Duration warm_up{};               ///< Time after a start during which a server is cold.
  double slowness = 2;              ///< Factor on the service time of a cold server.
  double sustained_per_second = 0;  ///< Requests per second that a cold server can sustain.
  /// A cold server crashes when it receives more than this within a second. Zero: never.
  std::size_t peak_per_second = 0;
  Duration down_for{};  ///< Time from a crash to the next (cold) start.
};

class ColdServer {
 public:
  void start(const ColdShape& shape, TimePoint now) { cold_until_ = now + shape.warm_up; }
  bool isDown(TimePoint now) const { return now < down_until_; }
  bool isCold(TimePoint now) const { return now < cold_until_; }
  Duration remainingColdTime(TimePoint now) const {
    return isCold(now) ? cold_until_ - now : Duration(0);
  }
  /// Records the arrival of a request or health probe. Returns false if this arrival crashes the
  /// server: it is then down, and all requests running on it are lost.
  bool tryAccept(const ColdShape& shape, TimePoint now) {
    if (shape.peak_per_second == 0) return true;
    arrivals_.push_back(now);
    while (now - arrivals_.front() >= std::chrono::seconds(1)) arrivals_.pop_front();
    if (!isCold(now) || arrivals_.size() <= shape.peak_per_second) return true;
    down_until_ = now + shape.down_for;
    start(shape, down_until_);
    arrivals_.clear();
    return false;
  }

 private:
  TimePoint cold_until_;
  TimePoint down_until_;
  std::deque<TimePoint> arrivals_;  ///< Arrivals in the last second.
};

}  // namespace coursepond::data_path
