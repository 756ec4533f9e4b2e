#include "process_environment.h"

#include <utility>

namespace coursepond::simulation {

ProcessEnvironment::ProcessEnvironment(VirtualTime& time, std::uint64_t seed,
                                       bool clock_shows_pauses)
    : time_(time), random_(seed), clock_shows_pauses_(clock_shows_pauses) {}

ProcessEnvironment::~ProcessEnvironment() {
  *alive_ = false;
  for (const auto& [id, timer] : timers_) time_.cancel(timer.virtual_timer);
}

TimePoint ProcessEnvironment::now() const { return time_.now() - hidden_; }

TimerId ProcessEnvironment::schedule(Duration delay, std::function<void()> callback) {
  const TimerId id = ++last_timer_;
  const TimerId virtual_timer = time_.schedule(delay, guarded([this, id] { fire(id); }));
  timers_.emplace(id, PendingTimer{virtual_timer, std::move(callback)});
  return id;
}

void ProcessEnvironment::cancel(TimerId timer) {
  const auto found = timers_.find(timer);
  if (found == timers_.end()) return;
  time_.cancel(found->second.virtual_timer);
  timers_.erase(found);
}

void ProcessEnvironment::fire(TimerId timer) {
  const auto found = timers_.find(timer);
  if (found == timers_.end()) return;  // Cancelled after it came due during a pause.
  const std::function<void()> callback = std::move(found->second.callback);
  timers_.erase(found);
  callback();
}

void ProcessEnvironment::deliver(std::function<void()> event) {
  if (paused_) {
    backlog_.push_back(std::move(event));
  } else {
    event();
  }
}

std::function<void()> ProcessEnvironment::guarded(std::function<void()> event) {
  return [mailbox = mailbox(), event = std::move(event)] { mailbox.deliver(event); };
}

void ProcessEnvironment::pause() {
  paused_ = true;
  paused_at_ = time_.now();
}

void ProcessEnvironment::resume() {
  paused_ = false;
  if (!clock_shows_pauses_) hidden_ += time_.now() - paused_at_;
  Duration delay{};
  for (std::function<void()>& event : std::exchange(backlog_, {})) {
    time_.schedule(delay, guarded(std::move(event)));
    delay += Duration(1);
  }
}

}  // namespace coursepond::simulation
