#include "egress/stop_schedule.h"

#include "core/time_arithmetic.h"

namespace coursepond::egress {
namespace {

/// Requests may take longer than the recent ones, for example if a server becomes slow.
constexpr double kLatencyMargin = 1.5;

}  // namespace

bool StopSchedule::mayRun(TimePoint arrived, TimePoint now, TimePoint deadline,
                          std::optional<Duration> longest, Duration reserve) const {
  if (!isAnnounced()) return true;
  const TimePoint latest_end = end - reserve;
  if (now >= latest_end) return false;
  if (arrived < callers_informed || deadline <= latest_end) return true;
  return longest && now + fractionOf(*longest, kLatencyMargin) <= latest_end;
}

}  // namespace coursepond::egress
