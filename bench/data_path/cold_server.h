#pragma once

/// A server that is slow and weak for a while after its start, as its machine sees it.

#include <cstddef>
#include <deque>

#include "core/time.h"

namespace coursepond::data_path {

/// How the servers of a fleet start.
struct ColdShape {
  Duration warm_up{};    ///< Cold for so long after a start.
  double slowness = 2;   ///< Work takes this many times as long while cold.
  double rate = 0;       ///< Requests a second that a cold server bears for long,
  std::size_t most = 0;  ///< and the most in any second: at more it crashes. Zero: never.
  Duration down_for{};   ///< After a crash; then it starts cold.
};

class ColdServer {
 public:
  void start(const ColdShape& shape, TimePoint now) { cold_until_ = now + shape.warm_up; }
  bool isDown(TimePoint now) const { return now < down_until_; }
  bool isCold(TimePoint now) const { return now < cold_until_; }
  Duration coldLeft(TimePoint now) const { return isCold(now) ? cold_until_ - now : Duration(0); }
  /// A request or a question for its health arrives. False when it was one too many: all that runs
  /// there is lost, and it is down.
  bool takes(const ColdShape& shape, TimePoint now) {
    if (shape.most == 0) return true;
    arrivals_.push_back(now);
    while (now - arrivals_.front() >= std::chrono::seconds(1)) arrivals_.pop_front();
    if (!isCold(now) || arrivals_.size() <= shape.most) return true;
    down_until_ = now + shape.down_for;
    start(shape, down_until_);
    arrivals_.clear();
    return false;
  }

 private:
  TimePoint cold_until_;
  TimePoint down_until_;
  std::deque<TimePoint> arrivals_;  ///< Of the last second.
};

}  // namespace coursepond::data_path
