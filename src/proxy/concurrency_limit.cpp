#include "proxy/concurrency_limit.h"

#include <algorithm>
#include <cmath>

#include "core/time_arithmetic.h"

namespace coursepond::proxy {
namespace {

/// The limit only grows while requests in flight use at least this fraction of it.
constexpr double kMinUtilization = 0.8;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t slots, std::size_t nodes)
    : slots_(std::max<std::uint32_t>(slots, 1)),
      limit_(std::clamp(2.0 * slots_ / static_cast<double>(std::max<std::size_t>(nodes, 1)), 1.0,
                        slots_)) {}

void ConcurrencyLimit::setSlots(std::uint32_t slots) {
  slots_ = std::max<std::uint32_t>(slots, 1);
  limit_ = std::min(limit_, slots_);
}

std::uint32_t ConcurrencyLimit::value() const {
  // Rounded to nearest: rounding down would leave half a slot per node and server unused.
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::lround(limit_)));
}

void ConcurrencyLimit::onAnswered(std::uint32_t in_flight, bool reports_full,
                                  const ConcurrencySettings& settings) {
  if (in_flight < kMinUtilization * value()) return;
  // Until the first refusal the limit doubles with each round of answers, since the load of the
  // other nodes is not known yet.
  double step = was_refused_ ? settings.increase_step / std::max(limit_, 1.0) : 1.0;
  if (reports_full) step *= settings.full_report_growth;
  limit_ = std::min(limit_ + step, slots_);
}

void ConcurrencyLimit::onRefused(std::uint32_t in_flight, Duration service_time, TimePoint now,
                                 const ConcurrencySettings& settings) {
  if (was_refused_ && now - last_decrease_ < service_time) return;
  was_refused_ = true;
  last_decrease_ = now;
  const double used = std::min(limit_, static_cast<double>(std::max<std::uint32_t>(in_flight, 1)));
  limit_ = std::max(used * settings.decrease_factor, settings.min_limit);
}

Duration ConcurrencyLimit::pause(Duration service_time) const {
  if (limit_ >= 1.0) return Duration(0);
  const double pauses = 1.0 / limit_ - 1.0;
  return fractionOf(service_time, pauses);
}

}  // namespace coursepond::proxy
