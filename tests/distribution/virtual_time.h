#pragma once

/// A virtual clock, and the Environment of a simulated process that uses it.

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include "core/environment.h"

namespace coursepond::distribution::testing {

/// Runs callbacks in the order of their due times, and callbacks with equal due times in the order
/// in which they were scheduled.
class VirtualTime {
 public:
  TimePoint now() const { return now_; }

  TimerId schedule(Duration delay, std::function<void()> callback) {
    const TimerId id = ++last_id_;
    queue_.emplace(Due{now_ + delay, id}, std::move(callback));
    due_.emplace(id, now_ + delay);
    return id;
  }

  void cancel(TimerId id) {
    const auto due = due_.find(id);
    if (due == due_.end()) return;
    queue_.erase(Due{due->second, id});
    due_.erase(due);
  }

  void runFor(Duration duration) {
    const TimePoint end = now_ + duration;
    while (!queue_.empty() && queue_.begin()->first.at <= end) runNext();
    now_ = end;
  }

 private:
  struct Due {
    TimePoint at;
    TimerId id = 0;
    friend auto operator<=>(const Due&, const Due&) = default;
  };

  void runNext() {
    auto node = queue_.extract(queue_.begin());
    now_ = node.key().at;
    due_.erase(node.key().id);
    node.mapped()();
  }

  TimePoint now_ = TimePoint(std::chrono::hours(1));
  TimerId last_id_ = 0;
  std::map<Due, std::function<void()>> queue_;
  std::map<TimerId, TimePoint> due_;
};

/// Environment of one process. Its timers are deferred while the process is paused, and cancelled
/// when it is destroyed.
class ProcessEnvironment final : public Environment {
 public:
  ProcessEnvironment(VirtualTime& time, std::uint64_t seed) : time_(time), engine_(seed) {}
  ~ProcessEnvironment() override {
    for (const auto& [id, running] : running_) time_.cancel(running);
  }

  TimePoint now() const override { return time_.now(); }

  TimerId schedule(Duration delay, std::function<void()> callback) override {
    const TimerId id = ++last_id_;
    start(id, delay, std::move(callback));
    return id;
  }

  void cancel(TimerId id) override {
    const auto running = running_.find(id);
    if (running == running_.end()) return;
    time_.cancel(running->second);
    running_.erase(running);
  }

  std::uint64_t random(std::uint64_t bound) override { return engine_() % bound; }

  void pauseUntil(TimePoint end) { paused_until_ = end; }
  TimePoint pausedUntil() const { return paused_until_; }

 private:
  void start(TimerId id, Duration delay, std::function<void()> callback) {
    running_[id] = time_.schedule(delay, [this, id, callback = std::move(callback)]() mutable {
      if (time_.now() < paused_until_) {
        start(id, paused_until_ - time_.now(), std::move(callback));
        return;
      }
      running_.erase(id);
      callback();
    });
  }

  VirtualTime& time_;
  std::mt19937_64 engine_;
  TimerId last_id_ = 0;
  TimePoint paused_until_;
  std::map<TimerId, TimerId> running_;
};

}  // namespace coursepond::distribution::testing
