#include "egress/slot_search.h"

#include <algorithm>

namespace coursepond::egress {
namespace {

/// A call that is refused fails the work that made it, so that it tries one queue more.
constexpr std::uint32_t kQueuesJoined = 1;
constexpr std::uint32_t kQueuesJoinedByCalls = 2;

}  // namespace

bool SlotSearch::mayAsk(bool is_own_zone) const {
  if (mayWait() || is_own_zone || queues_.empty()) return true;
  return other_zone_asks_ < settings_.other_zone_asks;
}

void SlotSearch::onNoRoom(const ServerPointer& server, const proxy::HopLoad& load) {
  ++refusals_;
  if (load.slots == 0 || joined_ > 0) return;
  const Duration turn = load.service_time / load.slots;
  queues_.push_back({server, turn * (load.running + load.waiting + 1)});
}

ServerPointer SlotSearch::joinShortestQueue() {
  const std::uint32_t most = is_call_ ? kQueuesJoinedByCalls : kQueuesJoined;
  if (joined_ >= most || queues_.empty()) return nullptr;
  ++joined_;
  const auto shortest = std::min_element(
      queues_.begin(), queues_.end(),
      [](const Queue& left, const Queue& right) { return left.wait < right.wait; });
  ServerPointer server = std::move(shortest->server);
  queues_.erase(shortest);
  return server;
}

}  // namespace coursepond::egress
