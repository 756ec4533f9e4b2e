#include "proxy/balancer.h"

#include <algorithm>

namespace coursepond::proxy {
namespace {

/// Weight of the failure rate: a server that always fails costs 1 + kFailureCost times as much.
constexpr double kFailureCost = 4.0;

bool wasTried(const ServerState& server, const PickRequest& request) {
  if (request.tried == nullptr) return false;
  return std::find(request.tried->begin(), request.tried->end(), &server) != request.tried->end();
}

}  // namespace

ServerPointer Balancer::pick(const std::vector<ServerPointer>& usable, const PickRequest& request,
                             TimePoint now) const {
  if (usable.empty()) return nullptr;
  const std::size_t count = usable.size();
  if (count > 1) {
    const std::size_t first = environment_.random(count);
    std::size_t second = environment_.random(count - 1);
    if (second >= first) ++second;
    const bool first_eligible = isEligible(*usable[first], request, now);
    const bool second_eligible = isEligible(*usable[second], request, now);
    if (first_eligible && second_eligible) {
      return cheaper(usable[first], usable[second], request, now);
    }
  }
  return pickByScan(usable, request, now);
}

bool Balancer::isEligible(const ServerState& server, const PickRequest& request,
                          TimePoint now) const {
  return !server.outlier.ejected(now) && hasRoom(server, request, now) &&
         !wasTried(server, request);
}

bool Balancer::hasRoom(const ServerState& server, const PickRequest& request, TimePoint now) const {
  if (server.isBackingOff(now) || !server.rate.mayStart(now)) return false;
  const std::uint32_t room =
      std::min(server.limit.value(), server.connections.value(request.connection_share, now));
  if (server.in_flight >= room) return false;
  if (request.priority == model::Priority::kInteractive) return true;
  const auto batch_room = static_cast<std::uint32_t>(batch_slot_part_ * room);
  return server.batch_in_flight < std::max<std::uint32_t>(batch_room, 1);
}

ServerPointer Balancer::cheaper(const ServerPointer& left, const ServerPointer& right,
                                const PickRequest& request, TimePoint now) const {
  const double left_cost = cost(*left, request.average_latency_ms, now);
  const double right_cost = cost(*right, request.average_latency_ms, now);
  // If the costs are nearly equal, prefer the first server, which was chosen at random. Otherwise a
  // service with little traffic would never use a server that is only slightly slower.
  return left_cost <= right_cost * (1 + settings_.cost_tolerance) ? left : right;
}

/// Fallback for when one of the two random servers is not eligible. Scans from a random start and
/// picks the cheaper of the first two eligible servers, or else one that was tried before, or, if
/// all servers are ejected, any with room.
ServerPointer Balancer::pickByScan(const std::vector<ServerPointer>& usable,
                                   const PickRequest& request, TimePoint now) const {
  const std::size_t count = usable.size();
  const std::size_t start = environment_.random(count);
  ServerPointer eligible;
  ServerPointer tried;
  ServerPointer ejected;
  bool all_ejected = true;
  for (std::size_t step = 0; step < count; ++step) {
    const ServerPointer& server = usable[(start + step) % count];
    const bool is_ejected = server->outlier.ejected(now);
    all_ejected = all_ejected && is_ejected;
    if (!hasRoom(*server, request, now)) continue;
    if (is_ejected) {
      ejected = server;
    } else if (wasTried(*server, request)) {
      tried = server;
    } else if (eligible) {
      return cheaper(eligible, server, request, now);
    } else {
      eligible = server;
    }
  }
  if (eligible) return eligible;
  if (tried) return tried;
  return all_ejected ? ejected : nullptr;
}

double Balancer::cost(const ServerState& server, double average_latency_ms, TimePoint now) const {
  const double latency_ms =
      server.latency_ms.value(now, average_latency_ms, settings_.latency_half_life);
  const double failure_rate = server.outlier.failureRate(now);
  const double zone_factor = server.endpoint.zone == own_zone_ ? 1.0 : settings_.remote_zone_factor;
  return latency_ms * (server.in_flight + 1) * (1 + kFailureCost * failure_rate) * zone_factor /
         slowStartShare(server, now);
}

double Balancer::slowStartShare(const ServerState& server, TimePoint now) const {
  const Duration age = now - server.warm_since;
  if (age >= settings_.slow_start) return 1.0;
  const double part = std::max(
      0.0, static_cast<double>(age.count()) / static_cast<double>(settings_.slow_start.count()));
  return settings_.slow_start_share + (1.0 - settings_.slow_start_share) * part;
}

}  // namespace coursepond::proxy
