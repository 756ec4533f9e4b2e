#include "egress/slot_search.h"

#include <utility>

namespace coursepond::egress {
namespace {

/// By so many service times the queue of a rejecting server counts as longer: with one, it still
/// was the shortest when all others were just full.
constexpr int kRejectingTurns = 4;
/// Rejecting servers that may turn away a call beside the ingresses that have no room.
constexpr std::uint32_t kMostTurnedAway = 3;

}  // namespace

bool SlotSearch::mayAsk(bool is_own_zone) const {
  if (mayWait() || is_own_zone || !shortest_) return true;
  return other_zone_asks_ < settings_.other_zone_asks;
}

void SlotSearch::onNoRoom(const ServerPointer& server, const proxy::HopLoad& load) {
  noteQueue(server, load, Duration(0));
}

void SlotSearch::onRejecting(const ServerPointer& server, const proxy::HopLoad& load) {
  // A call that waits nowhere fails the work that made it.
  if (is_call_ && ++turned_away_ <= kMostTurnedAway) return;
  noteQueue(server, load, kRejectingTurns * load.service_time);
}

void SlotSearch::noteQueue(const ServerPointer& server, const proxy::HopLoad& load,
                           Duration longer_by) {
  ++refusals_;
  if (load.slots == 0 || has_joined_) return;
  // With the time until it is done there, so that faster servers go before slower ones.
  const Duration turn = load.service_time / load.slots;
  const Duration wait = turn * (load.running + load.waiting + 1) + longer_by;
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
