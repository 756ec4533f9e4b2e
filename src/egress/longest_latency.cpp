#include "egress/longest_latency.h"

#include <algorithm>

namespace coursepond::egress {
namespace {

/// Long enough for samples of a service that gets a request per second, and short enough that a
/// server that was slow once does not count for a whole planned stop.
constexpr Duration kWindow = std::chrono::seconds(10);

}  // namespace

void LongestLatency::add(Duration latency, TimePoint now) {
  if (now - current_.begin >= kWindow) {
    previous_ = current_;
    current_ = {now, std::nullopt};
  }
  current_.longest = std::max(current_.longest.value_or(latency), latency);
}

std::optional<Duration> LongestLatency::value(TimePoint now) const {
  std::optional<Duration> longest;
  for (const Window& window : {current_, previous_}) {
    const bool is_recent = window.longest && now - window.begin < 2 * kWindow;
    if (is_recent) longest = std::max(longest.value_or(*window.longest), *window.longest);
  }
  return longest;
}

}  // namespace coursepond::egress
