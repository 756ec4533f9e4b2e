#include "ingress/short_work_reserve.h"

#include <algorithm>
#include <cmath>
#include <numbers>

#include "core/time_arithmetic.h"

namespace coursepond::ingress {

namespace {

bool isShortBeside(const ShortWorkSettings& settings, const WorkKind& held, const WorkKind& kind) {
  return kind.target < held.target && kind.rank <= held.rank &&
         held.service >= fractionOf(kind.target, settings.held_share) &&
         held.service >= fractionOf(kind.service, settings.length_ratio);
}

}  // namespace

void ShortWorkReserve::onArrival(const ShortWorkSettings& settings, const WorkKind& arrived,
                                 TimePoint now) {
  const std::pair key(arrived.target, arrived.rank);
  if (!kinds_.contains(key) && kinds_.size() >= kMaxKinds) return;
  Arrivals& arrivals = kinds_.try_emplace(key).first->second;
  arrivals.recent *= decayFactor(now - arrivals.last, settings.rate_half_life);
  arrivals.recent += 1;
  arrivals.last = now;
  arrivals.kind = arrived;
}

std::uint32_t ShortWorkReserve::keptFrom(const ShortWorkSettings& settings, const WorkKind& held,
                                         std::uint32_t slots, TimePoint now) const {
  const double per_second_of_one = std::numbers::ln2 / toSeconds(settings.rate_half_life);
  double per_second = 0;
  for (const auto& [key, arrivals] : kinds_) {
    const Duration idle = now - arrivals.last;
    if (idle > held.service || !isShortBeside(settings, held, arrivals.kind)) continue;
    per_second += arrivals.recent * decayFactor(idle, settings.rate_half_life) * per_second_of_one;
  }
  if (per_second * toSeconds(held.service) < settings.min_arrivals) return 0;
  const double until_free = toSeconds(held.service) / slots;
  const double most = std::floor(settings.max_share * slots);
  return static_cast<std::uint32_t>(std::min(std::ceil(per_second * until_free), most));
}

}  // namespace coursepond::ingress
