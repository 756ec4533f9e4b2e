#include "ingress/cold_start.h"

#include <algorithm>

namespace coursepond::ingress {
namespace {

/// The bound is one of arrivals in any second. A twentieth is added for a request that was sent
/// late in one second and arrives in the next: without a bound of its own on that delay, a margin.
constexpr Duration kWindow = std::chrono::milliseconds(1050);

}  // namespace

void ColdStart::suspectTurnedCold(TimePoint now) {
  is_suspected_ = true;
  suspected_at_ = now;
  settled_before_.reset();
}

void ColdStart::suspectStartedAnew(TimePoint sent, TimePoint now) {
  const bool stands = is_suspected_ && now < coldUntil();
  if (!stands) {
    settled_before_ = sent;
  } else if (settled_before_) {
    settled_before_ = std::min(*settled_before_, sent);
  }
  is_suspected_ = true;
  suspected_at_ = now;
}

void ColdStart::onAnswered(TimePoint sent) {
  if (settled_before_ && sent < *settled_before_) is_suspected_ = false;
}

void ColdStart::onTold(Duration left, TimePoint now) {
  is_suspected_ = false;
  cold_until_ = now + left;
}

std::size_t ColdStart::mostStarts(const ColdStartSettings& settings) const {
  const double rate = limits_ ? limits_->rate : 0;
  const double most = rate * settings.overshoot + settings.burst;
  return std::max<std::size_t>(static_cast<std::size_t>(most), 1);
}

TimePoint ColdStart::coldUntil() const {
  if (!is_suspected_) return cold_until_;
  return limits_ ? suspected_at_ + limits_->warm_up : TimePoint::max();
}

TimePoint ColdStart::nextStart(const ColdStartSettings& settings, TimePoint now) const {
  if (!isCold(settings, now)) return now;
  const std::size_t most = mostStarts(settings);
  if (starts_.size() < most) return now;
  const TimePoint room = starts_[starts_.size() - most] + kWindow;
  return std::min(room, coldUntil());
}

void ColdStart::onStarted(const ColdStartSettings& settings, TimePoint now) {
  if (!isBounded(settings)) return;
  starts_.push_back(now);
  while (starts_.size() > mostStarts(settings)) starts_.pop_front();
}

}  // namespace coursepond::ingress
