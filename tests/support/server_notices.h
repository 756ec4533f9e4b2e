#pragma once

/// Checks what nodes do with the notices that servers give in their answers: the rate of requests
/// that a server accepts, and that it is leaving. Only uses what servers receive and what nodes
/// forward to callers.
///
/// A machine counts as told when it has forwarded an answer with the notice. A restart, a freeze or
/// a partition of the machine excuses it until it forwards such an answer again.

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "core/time.h"
#include "core/time_arithmetic.h"

namespace coursepond::testing {

/// The bounds that operators state.
struct NoticeBounds {
  Duration contact = std::chrono::seconds(3);  ///< From the first report of a limit.
  Duration drain = std::chrono::seconds(2);    ///< From the notice that the server leaves.
  Duration window = std::chrono::seconds(4);
  double factor = 1.5;  ///< Of the requests that the limit allows in a window.
  double slack = 5;     ///< Requests in a window on top of that.
  Duration told_before = std::chrono::milliseconds(500);
  /// After a change of a limit, the higher value counts for this long.
  Duration change_known = std::chrono::milliseconds(500);
};

/// A request that a server received.
struct NoticedArrival {
  std::string server;   ///< Id of the server's instance.
  std::string machine;  ///< Machine to which the caller sent the request.
  TimePoint sent;       ///< When the caller sent it.
};

/// The counts of the window that has the least room left under its limit.
struct FullestWindow {
  std::size_t arrivals = 0;
  double allowed = 0;
};

class ServerNotices {
 public:
  explicit ServerNotices(const NoticeBounds& bounds = NoticeBounds()) : bounds_(bounds) {}

  /// Called when the server reports another limit from now on; empty: none.
  void setLimit(const std::string& server, std::optional<double> per_second, TimePoint now) {
    Server& of = servers_[server];
    const bool was_limited = !of.limits.empty() && of.limits.back().per_second.has_value();
    if (per_second && !was_limited) of.named_at = now;
    if (!per_second) {
      // Machines that were told of this limit may send as many requests as they want now.
      of.named_at.reset();
      of.told_limit.clear();
      of.arrivals.clear();
    }
    of.limits.push_back({now, per_second});
  }
  /// Called when `machine` forwarded an answer of `server` that contained these notices.
  void onForwarded(const std::string& server, const std::string& machine, bool has_limit,
                   bool is_leaving, TimePoint now) {
    Server& of = servers_[server];
    if (has_limit) of.told_limit.try_emplace(machine, now);
    if (is_leaving) of.told_leaving.try_emplace(machine, now);
  }
  /// Called for a partition of `machine`, which excuses it from limits only.
  void excuseFromLimits(const std::string& machine) {
    for (auto& [id, server] : servers_) server.told_limit.erase(machine);
  }
  /// Called when the arrivals so far at this server are not judged, because they were delayed on
  /// the way from the node beside it.
  void forgetArrivals(const std::string& server) { servers_[server].arrivals.clear(); }
  /// Called for a restart or freeze of `machine`.
  void excuse(const std::string& machine) {
    for (auto& [id, server] : servers_) {
      server.told_limit.erase(machine);
      server.told_leaving.erase(machine);
    }
  }

  /// Returns how late the request is if its machine must not send it any more because it was told
  /// that the server leaves; empty: it may.
  std::optional<Duration> lateForLeaving(const NoticedArrival& arrival) const {
    const auto server = servers_.find(arrival.server);
    if (server == servers_.end()) return std::nullopt;
    const auto told = server->second.told_leaving.find(arrival.machine);
    if (told == server->second.told_leaving.end()) return std::nullopt;
    const Duration since = arrival.sent - told->second;
    if (since <= bounds_.drain) return std::nullopt;
    return since;
  }

  /// Returns whether the request was sent by a machine that was told that the server leaves.
  bool wasToldOfLeaving(const NoticedArrival& arrival) const {
    const auto server = servers_.find(arrival.server);
    if (server == servers_.end()) return false;
    const auto told = server->second.told_leaving.find(arrival.machine);
    return told != server->second.told_leaving.end() && told->second <= arrival.sent;
  }
  /// Returns whether the server has reported a limit for long enough to be judged.
  bool judgesLimitOf(const std::string& server, TimePoint now) const {
    const auto found = servers_.find(server);
    return found != servers_.end() && allowedIn(found->second, now).has_value();
  }

  /// Records an arrival. Returns the window that ends with it if that exceeds the limit; the next
  /// such window begins after it.
  std::optional<FullestWindow> overLimit(const NoticedArrival& arrival, TimePoint now) {
    const auto found = servers_.find(arrival.server);
    if (found == servers_.end()) return std::nullopt;
    Server& server = found->second;
    const auto told = server.told_limit.find(arrival.machine);
    const bool counts =
        told != server.told_limit.end() && told->second + bounds_.told_before <= now;
    if (!counts) return std::nullopt;
    server.arrivals.push_back(now);
    while (server.arrivals.front() <= now - bounds_.window) server.arrivals.pop_front();
    const std::optional<double> allowed = allowedIn(server, now);
    if (!allowed) return std::nullopt;
    noteWindow({server.arrivals.size(), *allowed});
    if (static_cast<double>(server.arrivals.size()) <= *allowed) return std::nullopt;
    const FullestWindow over{server.arrivals.size(), *allowed};
    server.arrivals.clear();
    return over;
  }
  /// Returns the judged window with the least room left; empty: none was judged.
  const std::optional<FullestWindow>& fullest() const { return fullest_; }

 private:
  struct Limit {
    TimePoint since;
    std::optional<double> per_second;
  };
  struct Server {
    std::deque<Limit> limits;                     ///< In the order of time.
    std::optional<TimePoint> named_at;            ///< Begin of the current limited time.
    std::map<std::string, TimePoint> told_limit;  ///< By machine.
    std::map<std::string, TimePoint> told_leaving;
    std::deque<TimePoint> arrivals;  ///< Of machines that were told, within one window.
  };

  /// Returns the highest limit in the time in which a machine may not have been told of a change.
  static std::optional<double> limitAt(const Server& server, TimePoint from, TimePoint to) {
    double highest = 0;
    for (std::size_t index = 0; index < server.limits.size(); ++index) {
      const bool is_last = index + 1 == server.limits.size();
      const bool ended = !is_last && server.limits[index + 1].since <= from;
      if (ended || server.limits[index].since > to) continue;
      if (!server.limits[index].per_second) return std::nullopt;
      highest = std::max(highest, *server.limits[index].per_second);
    }
    return highest;
  }

  /// Returns the arrivals that are allowed in the window that ends now; empty: not judged. The time
  /// before the limit was first named counts as if it had been in force.
  std::optional<double> allowedIn(const Server& server, TimePoint now) const {
    if (!server.named_at || now < *server.named_at + bounds_.contact) return std::nullopt;
    constexpr Duration kStep = std::chrono::milliseconds(10);
    double requests = 0;
    for (TimePoint at = now - bounds_.window; at < now; at += kStep) {
      const TimePoint from = std::max(at, *server.named_at);
      const auto limit =
          limitAt(server, std::max(from - bounds_.change_known, *server.named_at), from);
      if (!limit) return std::nullopt;
      requests += *limit * toSeconds(kStep);
    }
    return bounds_.factor * requests + bounds_.slack;
  }

  void noteWindow(const FullestWindow& window) {
    const auto room = [](const FullestWindow& of) {
      return of.allowed - static_cast<double>(of.arrivals);
    };
    if (!fullest_ || room(window) < room(*fullest_)) fullest_ = window;
  }

  NoticeBounds bounds_;
  std::map<std::string, Server> servers_;
  std::optional<FullestWindow> fullest_;
};

}  // namespace coursepond::testing
