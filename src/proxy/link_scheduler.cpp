#include "proxy/link_scheduler.h"

#include <algorithm>
#include <utility>

#include "core/time_arithmetic.h"

namespace coursepond::proxy {
namespace {

constexpr double kBytesPerMegabit = 1e6 / 8;
constexpr double kMicrosecondsPerSecond = 1e6;
/// Half-life of the average rate of small output. Short against the seconds for which a burst of
/// load lasts, and long against the milliseconds between two small answers.
constexpr Duration kSmallRateHalfLife = std::chrono::milliseconds(250);
/// Converts the half-life of a decaying sum to the time that the sum covers: 1 / ln 2.
constexpr double kSumSpanPerHalfLife = 1.4427;
/// Upper bound for what is taken to be queued at the system. Output that was discarded with its
/// connection, or a rate that is set too low, must not stop large output for longer.
constexpr Duration kMaxQueued = std::chrono::milliseconds(500);
/// Bounds for one piece. A smaller one costs a system call for little, a larger one does not make
/// the output of a fast link faster.
constexpr std::size_t kMinPieceBytes = std::size_t{4} * 1024;
constexpr std::size_t kMaxPieceBytes = std::size_t{64} * 1024;

}  // namespace

double LinkScheduler::bytesPerSecond() const {
  return settings_.megabits_per_second * kBytesPerMegabit * settings_.payload_share;
}

double LinkScheduler::largeBytesPerSecond() const {
  decaySmallRate(environment_.now());
  return std::max(bytesPerSecond() - small_bytes_per_second_,
                  bytesPerSecond() * settings_.min_large_share);
}

Duration LinkScheduler::timeAt(double bytes_per_second, double bytes) const {
  if (!isActive()) return Duration(0);
  return Duration(static_cast<Duration::rep>(bytes / bytes_per_second * kMicrosecondsPerSecond));
}

Duration LinkScheduler::timeFor(double bytes) const {
  return isActive() ? timeAt(largeBytesPerSecond(), bytes) : Duration(0);
}

Duration LinkScheduler::backlog() const { return timeFor(static_cast<double>(waiting_bytes_)); }

void LinkScheduler::decaySmallRate(TimePoint now) const {
  small_bytes_per_second_ *= decayFactor(now - small_rate_at_, kSmallRateHalfLife);
  small_rate_at_ = now;
}

void LinkScheduler::count(std::size_t bytes) {
  const TimePoint now = environment_.now();
  queue_empty_at_ =
      std::max(queue_empty_at_, now) + timeAt(bytesPerSecond(), static_cast<double>(bytes));
  queue_empty_at_ = std::min(queue_empty_at_, now + kMaxQueued);
}

void LinkScheduler::onSmallSent(std::size_t bytes) {
  if (!isActive()) return;
  statistics_.small_bytes += bytes;
  decaySmallRate(environment_.now());
  const double span = toSeconds(kSmallRateHalfLife) * kSumSpanPerHalfLife;
  small_bytes_per_second_ += static_cast<double>(bytes) / span;
  count(bytes);
}

void LinkScheduler::onLargeSent(std::size_t bytes) {
  if (!isActive()) return;
  statistics_.large_bytes += bytes;
  ++statistics_.pieces;
  count(bytes);
  // Not added up: what large output used beyond its reserved part while the link was free must not
  // be held against it when small output fills the link later.
  reserved_until_ = environment_.now() + timeAt(bytesPerSecond() * settings_.min_large_share,
                                                static_cast<double>(bytes));
}

void LinkScheduler::requestTurn(LargeSender& sender, std::uint64_t pending_bytes, TimePoint due) {
  cancel(sender);
  sender.due_ = due;
  sender.number_ = ++last_number_;
  sender.pending_bytes_ = pending_bytes;
  waiting_bytes_ += pending_bytes;
  senders_.insert(&sender);
  armTimer();
}

void LinkScheduler::cancel(LargeSender& sender) {
  if (sender.number_ == 0) return;
  senders_.erase(&sender);
  sender.number_ = 0;
  waiting_bytes_ -= std::exchange(sender.pending_bytes_, 0);
}

/// Returns when the next piece may be sent: when the system's buffers are nearly empty, or when
/// large output has received less than its reserved part of the rate.
TimePoint LinkScheduler::nextTurn() const {
  return std::min(queue_empty_at_ - settings_.refill_below, reserved_until_);
}

void LinkScheduler::armTimer() {
  if (is_running_ || timer_ != 0 || senders_.empty()) return;
  const Duration delay = std::max(nextTurn() - environment_.now(), Duration(0));
  timer_ = environment_.schedule(delay, [this] {
    timer_ = 0;
    runTurns();
  });
}

void LinkScheduler::runTurns() {
  const std::size_t piece =
      std::clamp(static_cast<std::size_t>(bytesPerSecond() * toSeconds(settings_.piece)),
                 kMinPieceBytes, kMaxPieceBytes);
  is_running_ = true;
  while (!senders_.empty() && nextTurn() <= environment_.now()) {
    LargeSender& sender = **senders_.begin();
    cancel(sender);
    sender.onLinkTurn(piece);
  }
  is_running_ = false;
  armTimer();
}

}  // namespace coursepond::proxy
