#pragma once

#include <functional>
#include <utility>

#include "core/environment.h"

namespace coursepond::distribution {

/// A timer that is cancelled when its owner is destroyed, so that the callback never runs after
/// that.
class ScopedTimer {
 public:
  explicit ScopedTimer(Environment& environment) : environment_(environment) {}
  ~ScopedTimer() { cancel(); }
  ScopedTimer(const ScopedTimer&) = delete;
  ScopedTimer& operator=(const ScopedTimer&) = delete;

  /// Runs `callback` once after `delay`. Replaces a callback that is still pending.
  void start(Duration delay, std::function<void()> callback) {
    cancel();
    timer_ = environment_.schedule(delay, [this, callback = std::move(callback)] {
      timer_ = 0;
      // The callback may restart this timer, which would destroy the function while it runs.
      const std::function<void()> running = callback;
      running();
    });
  }

  void cancel() {
    if (timer_ != 0) environment_.cancel(timer_);
    timer_ = 0;
  }

  bool running() const { return timer_ != 0; }

 private:
  Environment& environment_;
  TimerId timer_ = 0;
};

}  // namespace coursepond::distribution
