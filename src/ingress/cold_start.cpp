#include "ingress/cold_start.h"

#include <algorithm>

namespace coursepond::ingress {
namespace {

/// The limit applies to arrivals at the server in any second. The window is 50 ms longer, as a
/// margin for a request that is sent late in one second and arrives in the next. The delay between
/// sending and arrival has no bound of its own.
constexpr Duration kWindow = std::chrono::milliseconds(1050);

}  // namespace

void ColdStart::suspectTurnedCold(TimePoint now) {
  is_suspected_ = true;
  suspected_at_ = now;
  cleared_if_sent_before_.reset();
}

void ColdStart::suspectRestarted(TimePoint sent, TimePoint now) {
  const bool is_already_suspected = is_suspected_ && now < coldUntil();
  if (!is_already_suspected) {
    cleared_if_sent_before_ = sent;
  } else if (cleared_if_sent_before_) {
    cleared_if_sent_before_ = std::min(*cleared_if_sent_before_, sent);
  }
  is_suspected_ = true;
  suspected_at_ = now;
}

void ColdStart::onAnswered(TimePoint sent) {
  if (cleared_if_sent_before_ && sent < *cleared_if_sent_before_) is_suspected_ = false;
}

void ColdStart::onWarmUpReported(Duration left, TimePoint now) {
  is_suspected_ = false;
  cold_until_ = now + left;
}

std::size_t ColdStart::maxStartsPerSecond(const ColdStartSettings& settings) const {
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
  const std::size_t most = maxStartsPerSecond(settings);
  if (starts_.size() < most) return now;
  const TimePoint room = starts_[starts_.size() - most] + kWindow;
  return std::min(room, coldUntil());
}

void ColdStart::onStarted(const ColdStartSettings& settings, TimePoint now) {
  if (!isBounded(settings)) return;
  starts_.push_back(now);
  while (starts_.size() > maxStartsPerSecond(settings)) starts_.pop_front();
}

}  // namespace coursepond::ingress
