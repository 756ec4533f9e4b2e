#pragma once

#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace coursepond::membership {

/// Settings of the membership protocol. The defaults are sized for 3,100 nodes in 17 zones; see
/// docs/design/MEMBERSHIP.md for the cost of each.
struct Settings {
  // Probing inside the zone.
  Duration probe_interval = std::chrono::seconds(1);           ///< One probe is sent per interval.
  Duration probe_timeout = std::chrono::milliseconds(300);     ///< Then relays are asked to probe.
  Duration indirect_timeout = std::chrono::milliseconds(400);  ///< Then the target is suspected.
  Duration suspicion_timeout = std::chrono::seconds(2);        ///< Then a suspect is declared dead.
  std::size_t indirect_probes = 3;  ///< Relays asked when a direct probe is not answered.

  // Dissemination.
  Duration gossip_delay = std::chrono::milliseconds(200);  ///< Updates are batched for this long.
  std::size_t max_updates_per_message = 32;  ///< Maximum weight of a Gossip message, in members.
  std::size_t max_piggybacked_updates = 6;   ///< Maximum members on one probe or ack.
  std::size_t piggyback_transmissions = 3;   ///< Times an update is piggybacked after gossip.
  std::size_t max_members_per_page = 64;     ///< Maximum members in one TablePage message.
  Duration sync_interval = std::chrono::seconds(5);  ///< Minimum time between two sync requests.
  std::size_t digest_mismatches_before_sync = 2;  ///< Consecutive differing digests from one peer.

  // Joining and reconnecting.
  /// Upper bound of the random delay before the first join attempt, and base of the join backoff.
  Duration join_spread = std::chrono::milliseconds(500);
  Duration join_answer_timeout = std::chrono::seconds(1);  ///< Then another seed is tried.
  Duration join_backoff_limit = std::chrono::seconds(10);  ///< Upper bound of the full jitter.
  /// After this time a node that is alone and knows no peer counts as joined.
  Duration join_timeout = std::chrono::seconds(5);
  /// After this time a node counts as joined even if peers are listed, but none has answered.
  Duration join_timeout_unanswered = std::chrono::seconds(15);
  double handshakes_per_second = 10;  ///< Rate limit for joins and table copies served by a node.
  double handshake_burst = 10;        ///< Burst size of that limit.
  /// Mean interval of a node's join requests to unreachable peers, in small zones.
  Duration reconnect_interval = std::chrono::seconds(1);
  /// Upper bound of that mean interval, which grows with the zone.
  Duration reconnect_interval_limit = std::chrono::seconds(15);
  Duration dead_retention = std::chrono::minutes(30);  ///< Dead and left members are kept so long.

  /// Upper bound for the lag of the platform's list. When a node is first listed as leaving and its
  /// process has been known for less than this, the entry may mean an earlier process.
  Duration listing_lag = std::chrono::minutes(2);

  // Between zones.
  Duration zone_probe_interval = std::chrono::seconds(2);  ///< Per zone and gateway.
  Duration zone_probe_timeout = std::chrono::seconds(1);   ///< Then the next contact is probed.
  /// A zone that has not answered for this long counts as unreachable.
  Duration reachability_timeout = std::chrono::seconds(6);
  Duration zone_report_interval = std::chrono::seconds(3);  ///< Minimum time between two reports.
  /// The same if only the node count changed.
  Duration zone_count_report_interval = std::chrono::seconds(10);
  /// A zone that has been unreachable for this long and is not listed is removed.
  Duration zone_forget_after = std::chrono::hours(24);
  std::size_t gateways_per_zone = 2;  ///< Nodes of a zone that probe the same other zone.

  /// If a timer fires later than this, the node itself was slow, and it extends the timeout of the
  /// probe or suspicion, at most max_extensions times each.
  Duration lateness_tolerance = std::chrono::milliseconds(100);
  std::size_t max_extensions = 3;

  /// If the probe tick is overdue by more than this, the process was paused.
  Duration pause_threshold = std::chrono::milliseconds(1500);
};

}  // namespace coursepond::membership
