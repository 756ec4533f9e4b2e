#include "egress/slot_search.h"

#include <algorithm>
#include <utility>

#include "core/time_arithmetic.h"
#include "proxy/server_limit.h"

namespace coursepond::egress {
namespace {

/// Number of service times that are added to the expected wait at a rejecting server. With one, it
/// still had the shortest queue when all other servers were just full.
constexpr int kRejectingPenaltyServiceTimes = 4;
/// Number of rejecting or slow servers that a call may skip without counting them as refusals.
constexpr std::uint32_t kMaxSkips = 3;

/// Returns how long a request that joins the queue now waits because of the server's limit.
Duration waitForLimit(const proxy::HopLoad& load) {
  if (!load.server_limit) return Duration(0);
  const double per_second = std::max(*load.server_limit, proxy::kMinLimitPerSecond);
  return durationFromSeconds((load.waiting + 1) / per_second) + load.service_time;
}

}  // namespace

bool SlotSearch::mayAsk(bool is_own_zone) const {
  if (mayWait() || is_own_zone || !shortest_) return true;
  return other_zone_asks_ < settings_.other_zone_asks;
}

void SlotSearch::onFull(const ServerPointer& server, const proxy::HopLoad& load) {
  considerQueue(server, load, Duration(0));
}

void SlotSearch::onRejecting(const ServerPointer& server, const proxy::HopLoad& load) {
  // A call that finds no place to wait fails the request that made it, so the first few rejecting
  // servers do not use up its attempts.
  if (is_call_ && ++skips_ <= kMaxSkips) return;
  considerQueue(server, load, kRejectingPenaltyServiceTimes * load.service_time);
}

void SlotSearch::onSlow(const ServerPointer& server, const proxy::HopLoad& load) {
  if (is_call_ && ++skips_ <= kMaxSkips) return;
  const double excess = std::max(load.slowness.value_or(1) - 1, 0.0);
  considerQueue(server, load, fractionOf(load.service_time, excess));
}

void SlotSearch::considerQueue(const ServerPointer& server, const proxy::HopLoad& load,
                               Duration longer_by) {
  ++refusals_;
  if (load.slots == 0 || has_joined_) return;
  // Includes the service time of the request itself, so that faster servers are preferred.
  const Duration turn = load.service_time / load.slots;
  const Duration for_slot = turn * (load.running + load.waiting + 1);
  const Duration wait = std::max(for_slot, waitForLimit(load)) + longer_by;
  if (shortest_ && shortest_wait_ <= wait) return;
  shortest_ = server;
  shortest_wait_ = wait;
}

ServerPointer SlotSearch::joinShortestQueue() {
  if (has_joined_ || !shortest_) return nullptr;
  has_joined_ = true;
  return std::exchange(shortest_, nullptr);
}

}  // namespace coursepond::egress
