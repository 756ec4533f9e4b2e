#pragma once

#include <algorithm>

#include "virtual_time.h"

namespace coursepond::simulation {

/// Measures the time since the last disturbance (fault or restart). Promises of the form "within
/// seconds" are checked only after such an undisturbed period.
class Calm {
 public:
  explicit Calm(VirtualTime& time) : time_(time) {}

  /// Starts a disturbance that lasts until the matching end().
  void begin() { ++active_; }
  void end() {
    --active_;
    disturb();
  }
  /// Records a momentary disturbance, such as a restart.
  void disturb() { last_ = time_.now(); }

  /// Time since the last disturbance; zero while one is active.
  Duration length() const { return active_ > 0 ? Duration(0) : time_.now() - last_; }

 private:
  VirtualTime& time_;
  int active_ = 0;
  TimePoint last_{};
};

}  // namespace coursepond::simulation
