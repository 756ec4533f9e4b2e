#pragma once

/// Settings of SlotSearch (slot_search.h).

#include <cstdint>

namespace coursepond::egress {

struct SlotSearchSettings {
  /// Ingresses that may refuse one request for want of room before it gets its final answer; at the
  /// last it may wait. Played in bursts of 1.7 on 95 servers (seeds 1 to 3): 0.845, 0.874, 0.881
  /// and 0.890 of the worth with 2, 4, 5 and 6; the sixth doubles the bytes between zones.
  std::uint32_t most_full_ingresses = 5;
  /// The same for calls of running work, which may wait at each: they go before all others there,
  /// so that their turn comes sooner than the answers of further ingresses. Asking four for a free
  /// slot as well served 0.003 more on 95 machines, and 0.08 less on 74 nodes of a tenth of a core
  /// with two short calls a request, which were busy with the asks.
  std::uint32_t most_full_for_calls = 2;
  /// Asks for a free slot in the own zone that are made however busy its servers seem: they cost no
  /// bytes between zones. In the same bursts a fifth of the answers came from another zone without
  /// them and few with three (0.04 of those to callers), for the same worth.
  std::uint32_t own_zone_asks = 3;
  /// Asks for a free slot in other zones, which are paid for whether a slot is free or not. While
  /// all zones are full, a second one finds as little as the first: 0.002 of the worth.
  std::uint32_t other_zone_asks = 1;
};

}  // namespace coursepond::egress
