#include "egress/stop_schedule.h"

#include "core/time_arithmetic.h"

namespace coursepond::egress {
namespace {

/// Requests may take longer than the recent ones: servers become slow, and a node that gets few
/// requests has seen few.
constexpr double kLatencyMargin = 3;

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
