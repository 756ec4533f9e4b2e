#pragma once

#include <functional>
#include <map>
#include <random>
#include <utility>

#include "core/environment.h"

namespace coursepond::proxy {

/// An Environment whose time only advances when the test advances it.
class VirtualEnvironment final : public Environment {
 public:
  explicit VirtualEnvironment(std::uint64_t seed = 1) : engine_(seed) {}

  TimePoint now() const override { return now_; }

  TimerId schedule(Duration delay, std::function<void()> callback) override {
    const TimerId id = ++last_id_;
    timers_.emplace(std::make_pair(now_ + delay, id), std::move(callback));
    due_[id] = now_ + delay;
    return id;
  }

  void cancel(TimerId timer) override {
    const auto found = due_.find(timer);
    if (found == due_.end()) return;
    timers_.erase({found->second, timer});
    due_.erase(found);
  }

  std::uint64_t random(std::uint64_t bound) override { return engine_() % bound; }

  /// Advances the time and runs the timers that become due.
  void advance(Duration span) {
    const TimePoint end = now_ + span;
    while (runNext(end)) {
    }
    now_ = end;
  }

  /// Advances the time without running timers, as if the process had been paused.
  void pause(Duration span) { now_ += span; }

  /// Runs timers until none is scheduled.
  void drain() {
    while (runNext(TimePoint::max())) {
    }
  }

  std::size_t timers() const { return timers_.size(); }

 private:
  bool runNext(TimePoint end) {
    if (timers_.empty() || timers_.begin()->first.first > end) return false;
    auto node = timers_.extract(timers_.begin());
    now_ = std::max(now_, node.key().first);
    due_.erase(node.key().second);
    node.mapped()();
    return true;
  }

  std::mt19937_64 engine_;
  TimePoint now_ = TimePoint(std::chrono::seconds(1000));
  TimerId last_id_ = 0;
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> timers_;
  std::map<TimerId, TimePoint> due_;
};

}  // namespace coursepond::proxy
