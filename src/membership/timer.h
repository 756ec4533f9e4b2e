#pragma once

#include <functional>
#include <utility>

#include "core/environment.h"

namespace coursepond::membership {

/// Schedules at most one callback on an Environment. The destructor cancels it.
class Timer {
 public:
  explicit Timer(Environment& environment) : environment_(environment) {}
  ~Timer() { cancel(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Schedules `callback` and cancels a pending one.
  void start(Duration delay, std::function<void()> callback) {
    cancel();
    due_ = environment_.now() + delay;
    id_ = environment_.schedule(delay, [this, callback = std::move(callback)] {
      id_ = 0;
      callback();
    });
  }

  void cancel() {
    if (running()) {
      environment_.cancel(std::exchange(id_, 0));
    }
  }

  bool running() const { return id_ != 0; }

  /// Returns how much later than scheduled the callback runs; to be called from inside the
  /// callback. A late callback means that this process got no processor time, so that answers may
  /// have arrived without being read.
  Duration lateness() const { return environment_.now() - due_; }

 private:
  Environment& environment_;
  TimerId id_ = 0;
  TimePoint due_{};
};

}  // namespace coursepond::membership
