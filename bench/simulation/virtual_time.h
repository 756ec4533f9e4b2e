#pragma once

/// Runs callbacks in the order of a virtual clock that jumps from one event to the next.

#include <functional>
#include <memory>

#include "core/environment.h"
#include "core/time.h"

namespace coursepond::simulation {

/// Boost.Asio timers over a virtual clock. At most one instance per thread. The clock starts at one
/// hour, so that subtracting a duration from `now` does not go below zero.
class VirtualTime {
 public:
  VirtualTime();
  ~VirtualTime();
  VirtualTime(const VirtualTime&) = delete;
  VirtualTime& operator=(const VirtualTime&) = delete;

  TimePoint now() const;
  /// Time since the start.
  Duration elapsed() const;
  TimerId schedule(Duration delay, std::function<void()> callback);
  void cancel(TimerId timer);

  /// Called after every callback.
  void setObserver(std::function<void()> after_event);

  /// Runs events until the clock reaches `end` (time since the start) or stop() is called.
  void runUntil(Duration end);
  void stop();
  std::uint64_t eventCount() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace coursepond::simulation
