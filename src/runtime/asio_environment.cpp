#include "runtime/asio_environment.h"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <compare>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>

#include "runtime/boot_timer.h"

namespace coursepond::runtime {

namespace {

/// Records by how much timers run later than they are due.
class TimerDelays {
 public:
  void add(Duration delay, TimePoint now) {
    total_ += delay;
    if (delay < recent(now)) return;
    longest_ = delay;
    longest_at_ = now;
  }
  Duration recent(TimePoint now) const {
    return now - longest_at_ > kWindow ? Duration(0) : longest_;
  }
  Duration total() const { return total_; }

 private:
  static constexpr Duration kWindow = std::chrono::seconds(1);

  Duration total_{};
  Duration longest_{};
  TimePoint longest_at_;
};

}  // namespace

/// All timers of the process behind one Asio timer, so that scheduling and cancelling a request's
/// deadline costs no system call while an earlier one is armed.
class AsioEnvironment::TimerQueue : public std::enable_shared_from_this<TimerQueue> {
 public:
  explicit TimerQueue(boost::asio::io_context& context) : asio_timer_(context) {}

  TimerId add(TimePoint deadline, std::function<void()> callback) {
    const TimerId id = ++last_id_;
    waiting_.emplace(Key{deadline, id}, std::move(callback));
    deadlines_.emplace(id, deadline);
    arm();
    return id;
  }

  void remove(TimerId id) {
    const auto found = deadlines_.find(id);
    if (found == deadlines_.end()) return;
    waiting_.erase(Key{found->second, id});
    deadlines_.erase(found);
    if (waiting_.empty()) disarm();
  }

  const TimerDelays& delays() const { return delays_; }

  void close() {
    waiting_.clear();
    deadlines_.clear();
    disarm();
  }

 private:
  struct Key {
    TimePoint deadline;
    TimerId id;
    friend auto operator<=>(const Key&, const Key&) = default;
  };

  /// Waits for the earliest deadline unless a wait that ends no later is already pending.
  void arm() {
    if (waiting_.empty()) return;
    const TimePoint earliest = waiting_.begin()->first.deadline;
    if (armed_ && armed_for_ <= earliest) return;
    armed_ = true;
    armed_for_ = earliest;
    asio_timer_.expires_at(earliest);
    asio_timer_.async_wait(
        [self = shared_from_this(), earliest](const boost::system::error_code& status) {
          if (status || !self->armed_ || self->armed_for_ != earliest) return;
          self->armed_ = false;
          self->runDue();
        });
  }

  void disarm() {
    armed_ = false;
    asio_timer_.cancel();
  }

  /// Runs the timers that were due on entry. Timers added by their callbacks run in a later pass.
  void runDue() {
    const TimePoint now = BootClock::now();
    const TimerId newest = last_id_;
    if (!waiting_.empty()) {
      delays_.add(std::max(Duration(0), now - waiting_.begin()->first.deadline), now);
    }
    while (!waiting_.empty()) {
      const auto first = waiting_.begin();
      if (first->first.deadline > now || first->first.id > newest) break;
      const std::function<void()> callback = std::move(first->second);
      deadlines_.erase(first->first.id);
      waiting_.erase(first);
      callback();
    }
    arm();
  }

  BootTimer asio_timer_;
  std::map<Key, std::function<void()>> waiting_;
  std::unordered_map<TimerId, TimePoint> deadlines_;
  TimerId last_id_ = 0;
  TimerDelays delays_;
  bool armed_ = false;
  TimePoint armed_for_{};
};

class AsioEnvironment::RandomEngine {
 public:
  RandomEngine() {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    engine_.seed(seed);
  }

  std::uint64_t below(std::uint64_t bound) {
    return boost::random::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
  }

 private:
  boost::random::mt19937_64 engine_;
};

AsioEnvironment::AsioEnvironment(boost::asio::io_context& context)
    : timers_(std::make_shared<TimerQueue>(context)), random_(std::make_unique<RandomEngine>()) {}

AsioEnvironment::~AsioEnvironment() { timers_->close(); }

TimePoint AsioEnvironment::now() const { return BootClock::now(); }

TimerId AsioEnvironment::schedule(Duration delay, std::function<void()> callback) {
  const Duration wait = delay < Duration::zero() ? Duration::zero() : delay;
  return timers_->add(BootClock::now() + wait, std::move(callback));
}

void AsioEnvironment::cancel(TimerId timer) { timers_->remove(timer); }

Duration AsioEnvironment::recentTimerDelay() const {
  return timers_->delays().recent(BootClock::now());
}

Duration AsioEnvironment::totalTimerDelay() const { return timers_->delays().total(); }

std::uint64_t AsioEnvironment::random(std::uint64_t bound) { return random_->below(bound); }

}  // namespace coursepond::runtime
