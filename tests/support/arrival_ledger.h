#pragma once

/// Records requests and their arrivals at servers, to check the operator's bound on repeats: in
/// every time window, the repeats at a service may not exceed a ratio of the requests for it plus a
/// burst. Repeats are all arrivals of a request after the first one, and all arrivals of calls made
/// by a repeated run.

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"

namespace coursepond::testing {

/// The bound on repeats as operators define it.
struct RepeatBound {
  double ratio = 0.2;
  double burst = 62;
  Duration window = std::chrono::seconds(10);
};

/// The window with the largest excess over the bound, or the smallest margin below it.
struct WorstWindow {
  std::size_t repeats = 0;
  double allowed = 0;
  TimePoint begins;
};

class ArrivalLedger {
 public:
  /// Records that a caller or server requests `service`, whether the request arrives or not.
  void recordRequest(const std::string& service, TimePoint now) {
    services_[service].requests.push_back(now);
  }

  /// Records an arrival at a server. Returns whether it counts as a repeat.
  bool recordArrival(const std::string& service, const std::string& request, bool parent_is_repeat,
                     TimePoint now) {
    Service& seen = services_[service];
    const bool is_first = seen.arrived.insert(request).second;
    const bool is_repeat = !is_first || parent_is_repeat;
    if (is_repeat) seen.repeats.push_back(now);
    return is_repeat;
  }

  std::size_t repeats(const std::string& service) { return services_[service].repeats.size(); }

  /// Returns the worst of all windows that end with a repeat.
  WorstWindow worst(const std::string& service, const RepeatBound& bound) {
    const Service& seen = services_[service];
    WorstWindow worst;
    double worst_excess = 0;
    for (const TimePoint end : seen.repeats) {
      const TimePoint begin = end - bound.window;
      WorstWindow window;
      window.begins = begin;
      window.repeats = countBetween(seen.repeats, begin, end);
      window.allowed = bound.ratio * mostRequests(seen, begin, bound.window) + bound.burst;
      const double excess = static_cast<double>(window.repeats) - window.allowed;
      if (worst.allowed != 0 && excess <= worst_excess) continue;
      worst = window;
      worst_excess = excess;
    }
    return worst;
  }

 private:
  struct Service {
    std::vector<TimePoint> requests;
    std::vector<TimePoint> repeats;
    std::set<std::string> arrived;
  };

  /// Returns how many of the sorted `times` are in the interval (begin, end].
  static std::size_t countBetween(const std::vector<TimePoint>& times, TimePoint begin,
                                  TimePoint end) {
    const auto first = std::upper_bound(times.begin(), times.end(), begin);
    const auto last = std::upper_bound(times.begin(), times.end(), end);
    return static_cast<std::size_t>(last - first);
  }

  /// Returns the highest number of requests in this window, the one that begins half a window
  /// earlier and the one that begins a whole window earlier.
  static double mostRequests(const Service& seen, TimePoint begin, Duration window) {
    std::size_t most = 0;
    for (const Duration back : {Duration(0), window / 2, window}) {
      const TimePoint from = begin - back;
      most = std::max(most, countBetween(seen.requests, from, from + window));
    }
    return static_cast<double>(most);
  }

  std::map<std::string, Service> services_;
};

}  // namespace coursepond::testing
