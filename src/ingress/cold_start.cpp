#include "ingress/cold_start.h"

#include <algorithm>

namespace coursepond::ingress {
namespace {

/// The bound is one of arrivals in any second. A request may arrive later than it was sent: by the
/// part beyond the second, twice what a node of a tenth of a core needs to write one.
constexpr Duration kWindow = std::chrono::milliseconds(1050);

}  // namespace

void ColdStart::suspect(ColdDoubt doubt, TimePoint now) {
  // A doubt that no answer settles stands until the server says how it is.
  const bool stands = is_suspected_ && now < coldUntil() && doubt_ == ColdDoubt::kTurnedCold;
  if (!stands) doubt_ = doubt;
  is_suspected_ = true;
  suspected_at_ = now;
}

void ColdStart::onAnswered(TimePoint sent) {
  if (!is_suspected_ || doubt_ != ColdDoubt::kStartedAnew || sent >= suspected_at_) return;
  is_suspected_ = false;
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
