#include "egress/large_placement.h"

#include <algorithm>
#include <iterator>

#include "core/time_arithmetic.h"

namespace coursepond::egress {
namespace {

/// A link sends one packet in about this time, so less is no backlog.
constexpr Duration kNegligible = std::chrono::milliseconds(1);

/// Decides for one request.
class Placement {
 public:
  Placement(const LargePlacementSettings& settings, const LargeRequest& request,
            const LargeCandidates& candidates, TimePoint now)
      : settings_(settings), request_(request), candidates_(candidates), now_(now) {}

  LargePlacement run(const CheapestOf& cheapest) const {
    const Server* const own = candidates_.own_machine;
    if (own != nullptr && lateness(*own) <= Duration(0)) return {find(*own), std::nullopt};
    for (const auto* const zone : {&candidates_.own_zone, &candidates_.other_zones}) {
      ServerPointers in_time;
      std::copy_if(zone->begin(), zone->end(), std::back_inserter(in_time),
                   [&](const ServerPointer* server) { return lateness(**server) <= Duration(0); });
      if (in_time.empty()) continue;
      return {cheapest(in_time, [&](const Server& server) { return extraCost(server); }),
              std::nullopt};
    }
    return {nullptr, smallestLateness()};
  }

 private:
  ServerPointer find(const Server& wanted) const {
    for (const ServerPointer* const server : candidates_.own_zone) {
      if (server->get() == &wanted) return *server;
    }
    return nullptr;
  }

  Duration backlog(const Server& server) const {
    if (&server != candidates_.own_machine) {
      return estimatedBacklog(settings_, server, candidates_.usual_backlog, now_);
    }
    // What other links have to send says nothing about this one, and asking costs little.
    const Duration estimate = estimatedBacklog(settings_, server, Duration(0), now_);
    return std::max(estimate, candidates_.own_backlog);
  }

  /// Returns by how much the answer would miss its time; zero or less if it is in time. A link
  /// without a backlog is always in time: no other one would be earlier.
  Duration lateness(const Server& server) const {
    const Duration others = backlog(server);
    if (others <= Duration(0)) return Duration(0);
    return others + server.load.service_time + request_.sending -
           fractionOf(request_.target, settings_.target_stretch);
  }

  double extraCost(const Server& server) const {
    return settings_.backlog_cost * toSeconds(backlog(server)) / toSeconds(request_.target);
  }

  std::optional<Duration> smallestLateness() const {
    std::optional<Duration> smallest;
    for (const auto* const zone : {&candidates_.own_zone, &candidates_.other_zones}) {
      for (const ServerPointer* const server : *zone) {
        const Duration candidate = lateness(**server);
        smallest = std::min(smallest.value_or(candidate), candidate);
      }
    }
    return smallest;
  }

  const LargePlacementSettings& settings_;
  const LargeRequest& request_;
  const LargeCandidates& candidates_;
  TimePoint now_;
};

}  // namespace

void UsualBacklog::add(const LargePlacementSettings& settings, const Server& server,
                       TimePoint now) {
  if (server.load.slots == 0) return;
  const double weight = decayFactor(now - server.load_at, settings.min_half_life);
  weighted_ += weight * static_cast<double>(server.load.link_backlog.count());
  weights_ += weight;
}

Duration UsualBacklog::value() const {
  return Duration(static_cast<Duration::rep>(weighted_ / std::max(weights_, 1.0)));
}

Duration estimatedBacklog(const LargePlacementSettings& settings, const Server& server,
                          Duration usual, TimePoint now) {
  const Duration reported = server.load.link_backlog;
  const Duration known = server.load.slots == 0 ? Duration(0) : usual;
  const Duration half_life = std::max(reported, settings.min_half_life);
  const Duration remaining =
      known + fractionOf(reported - known, decayFactor(now - server.load_at, half_life));
  const Duration requested =
      std::max(server.large_requested - (now - server.large_requested_at), Duration(0));
  const Duration estimate = remaining + requested;
  return estimate < kNegligible ? Duration(0) : estimate;
}

LargePlacement placeLarge(const LargePlacementSettings& settings, const LargeRequest& request,
                          const LargeCandidates& candidates, TimePoint now,
                          const CheapestOf& cheapest) {
  return Placement(settings, request, candidates, now).run(cheapest);
}

}  // namespace coursepond::egress
