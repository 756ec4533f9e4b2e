// The select reactor queries the next expiry only directly before it would block, which lets the
// virtual clock advance there. The epoll reactor passes expiries to the kernel's clock instead.
// Only this file includes Asio.
#define BOOST_ASIO_DISABLE_EPOLL 1
#include "virtual_time.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <unordered_map>

namespace coursepond::simulation {
namespace {

struct VirtualClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<VirtualClock, duration>;
  static constexpr bool is_steady = true;
  static time_point now() { return current; }
  static thread_local time_point current;
};

thread_local VirtualClock::time_point VirtualClock::current{};

/// Advances the clock in place of waiting. Called when nothing is left to run before the earliest
/// timer.
struct JumpInsteadOfWaiting {
  static Duration to_wait_duration(Duration until_earliest) {
    if (until_earliest > Duration::zero()) VirtualClock::current += until_earliest;
    return Duration::zero();
  }
  static Duration to_wait_duration(VirtualClock::time_point earliest) {
    return to_wait_duration(earliest - VirtualClock::now());
  }
};

using Timer = boost::asio::basic_waitable_timer<VirtualClock, JumpInsteadOfWaiting>;

constexpr Duration kStart = std::chrono::hours(1);

}  // namespace

class VirtualTime::Implementation {
 public:
  Implementation() { VirtualClock::current = VirtualClock::time_point(kStart); }

  TimerId schedule(Duration delay, std::function<void()> callback) {
    const TimerId id = ++last_id_;
    const auto [place, inserted] = timers_.try_emplace(id, context_);
    place->second.expires_after(std::max(delay, Duration::zero()));
    place->second.async_wait(
        [this, id, callback = std::move(callback)](const boost::system::error_code& error) {
          if (error) return;
          timers_.erase(id);
          ++event_count_;
          callback();
          if (after_event_) after_event_();
        });
    return id;
  }

  void cancel(TimerId timer) { timers_.erase(timer); }

  void runUntil(Duration end) {
    stopped_ = false;
    schedule(kStart + end - VirtualClock::now().time_since_epoch(), [this] { stopped_ = true; });
    context_.restart();
    while (!stopped_ && context_.run_one() > 0) {
    }
  }

  void stop() { stopped_ = true; }

  std::function<void()> after_event_;
  std::uint64_t event_count_ = 0;

 private:
  boost::asio::io_context context_{1};
  std::unordered_map<TimerId, Timer> timers_;
  TimerId last_id_ = 0;
  bool stopped_ = false;
};

VirtualTime::VirtualTime() : implementation_(std::make_unique<Implementation>()) {}
VirtualTime::~VirtualTime() = default;

TimePoint VirtualTime::now() const { return TimePoint(VirtualClock::now().time_since_epoch()); }
Duration VirtualTime::elapsed() const { return VirtualClock::now().time_since_epoch() - kStart; }
TimerId VirtualTime::schedule(Duration delay, std::function<void()> callback) {
  return implementation_->schedule(delay, std::move(callback));
}
void VirtualTime::cancel(TimerId timer) { implementation_->cancel(timer); }
void VirtualTime::setObserver(std::function<void()> after_event) {
  implementation_->after_event_ = std::move(after_event);
}
void VirtualTime::runUntil(Duration end) { implementation_->runUntil(end); }
void VirtualTime::stop() { implementation_->stop(); }
std::uint64_t VirtualTime::eventCount() const { return implementation_->event_count_; }

}  // namespace coursepond::simulation
