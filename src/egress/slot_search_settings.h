#pragma once

/// Settings of SlotSearch (slot_search.h).

#include <cstdint>

namespace coursepond::egress {

struct SlotSearchSettings {
  /// Number of ingresses that may refuse a request as full before the request fails; at the last
  /// one it may wait. More ingresses serve more requests during bursts, but a sixth one doubles the
  /// traffic between zones.
  std::uint32_t most_full_ingresses = 5;
  /// The same for calls made by running requests, which may wait at each ingress. Calls go before
  /// all other requests in the queue, so that they get a slot sooner than further ingresses would
  /// answer. Asking further ingresses for a free slot gains little, and overloads nodes with a
  /// tenth of a core when each request makes two short calls.
  std::uint32_t most_full_for_calls = 2;
  /// Number of servers in the own zone that are asked for a free slot however busy they seem. These
  /// requests cause no traffic between zones, and without them many more answers come from other
  /// zones during bursts.
  std::uint32_t own_zone_asks = 3;
  /// Number of servers in other zones that are asked for a free slot. Each one costs traffic
  /// between zones whether a slot is free or not, and while all zones are full a second one hardly
  /// ever finds a slot.
  std::uint32_t other_zone_asks = 1;
};

}  // namespace coursepond::egress
