#pragma once

/// The Environment of a real process: a clock that counts from boot, timers on an io_context, and a
/// random engine seeded by the operating system.

#include <boost/asio/io_context.hpp>
#include <memory>

#include "core/environment.h"

namespace coursepond::runtime {

/// Callbacks run on the thread that runs the io_context; every call must come from that thread.
class AsioEnvironment final : public Environment {
 public:
  /// `context` must outlive this.
  explicit AsioEnvironment(boost::asio::io_context& context);
  ~AsioEnvironment() override;

  TimePoint now() const override;
  TimerId schedule(Duration delay, std::function<void()> callback) override;
  void cancel(TimerId timer) override;
  std::uint64_t random(std::uint64_t bound) override;

  /// Returns the longest delay with which a timer ran in the last second or so. It is long if the
  /// process was paused or busy.
  Duration recentTimerDelay() const;
  /// Sum of the delays so far.
  Duration totalTimerDelay() const;

 private:
  class TimerQueue;
  class RandomEngine;
  std::shared_ptr<TimerQueue> timers_;
  std::unique_ptr<RandomEngine> random_;
};

}  // namespace coursepond::runtime
