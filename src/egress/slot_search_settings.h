#pragma once

/// Settings of SlotSearch (slot_search.h).

#include <cstdint>

namespace coursepond::egress {

struct SlotSearchSettings {
  /// Ingresses that may refuse one request for want of room before it gets its final answer; at the
  /// last it may wait. Played in bursts of 1.7 on 95 servers (seeds 1 to 3): 0.845, 0.874, 0.881
  /// and 0.890 of the worth with 2, 4, 5 and 6; the sixth doubles the bytes between zones.
  std::uint32_t most_full_ingresses = 5;
  /// The same for calls of running work: they go before all others in a queue, so that their turn
  /// there comes sooner than the answers of many ingresses. With two, 200 calls failed in bursts on
  /// 13 servers, with four 3.
  std::uint32_t most_full_for_calls = 4;
  /// Asks for a free slot in the own zone that are made however busy its servers seem: they cost no
  /// bytes between zones. In the same bursts a fifth of the answers came from another zone without
  /// them and 0.03 with three, for the same worth.
  std::uint32_t own_zone_asks = 3;
  /// Asks for a free slot in other zones, which are paid for whether a slot is free or not. While
  /// all zones are full, a second one finds as little as the first: 0.002 of the worth.
  std::uint32_t other_zone_asks = 1;
};

}  // namespace coursepond::egress
