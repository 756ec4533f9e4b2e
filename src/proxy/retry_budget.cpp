#include "proxy/retry_budget.h"

#include <algorithm>

namespace coursepond::proxy {

RetryBudget::RetryBudget(std::uint32_t percent, const RetrySettings& settings)
    : percent_(percent), settings_(settings), tokens_(settings.burst) {}

void RetryBudget::onFirstAttempt() {
  tokens_ = std::min(tokens_ + percent_ / 100.0, settings_.burst);
}

bool RetryBudget::take(TimePoint now) {
  refillFloor(now);
  if (percent_ <= 0 || tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

void RetryBudget::refillFloor(TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - last_refill_).count();
  last_refill_ = now;
  if (seconds <= 0) return;
  tokens_ = std::min(tokens_ + seconds * settings_.floor_per_second, settings_.burst);
}

}  // namespace coursepond::proxy
