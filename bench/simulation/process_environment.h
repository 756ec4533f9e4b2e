#pragma once

/// The Environment of one simulated process. It can be paused, and the process ends with this
/// object.

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

#include "core/environment.h"
#include "random_source.h"
#include "virtual_time.h"

namespace coursepond::simulation {

class ProcessEnvironment final : public Environment {
 public:
  /// If `clock_shows_pauses` is false, the process cannot detect that it was paused.
  ProcessEnvironment(VirtualTime& time, std::uint64_t seed, bool clock_shows_pauses);
  ~ProcessEnvironment() override;

  TimePoint now() const override;
  TimerId schedule(Duration delay, std::function<void()> callback) override;
  void cancel(TimerId timer) override;
  std::uint64_t random(std::uint64_t bound) override { return random_.below(bound); }

  /// Delivers events to this process from outside. May outlive the process; it then drops events.
  class Mailbox {
   public:
    /// Runs `event` in the process: now, or on resume if it is paused.
    void deliver(std::function<void()> event) const {
      if (*alive_) environment_->deliver(std::move(event));
    }

   private:
    friend class ProcessEnvironment;
    Mailbox(ProcessEnvironment& environment, std::shared_ptr<bool> alive)
        : environment_(&environment), alive_(std::move(alive)) {}
    ProcessEnvironment* environment_;
    std::shared_ptr<bool> alive_;
  };
  Mailbox mailbox() { return {*this, alive_}; }
  /// Wraps `event` so that it runs in this process, or does nothing once the process has ended.
  std::function<void()> guarded(std::function<void()> event);

  void pause();
  /// Runs everything that came due during the pause, in the order in which it came due.
  void resume();
  bool paused() const { return paused_; }

 private:
  void deliver(std::function<void()> event);
  void fire(TimerId timer);

  struct PendingTimer {
    TimerId virtual_timer = 0;
    std::function<void()> callback;
  };

  VirtualTime& time_;
  RandomSource random_;
  bool clock_shows_pauses_;
  bool paused_ = false;
  TimePoint paused_at_;
  Duration hidden_{};
  std::deque<std::function<void()>> backlog_;
  std::unordered_map<TimerId, PendingTimer> timers_;
  TimerId last_timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace coursepond::simulation
