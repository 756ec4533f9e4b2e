#pragma once

/// Settings of the egress: the first of two hops. It accepts the requests of its own machine and
/// sends each one to the ingress beside the server that is to run it.

#include <cstdint>
#include <map>
#include <string>

#include "core/ids.h"
#include "core/time.h"
#include "egress/admission_throttle.h"
#include "egress/large_placement_settings.h"
#include "egress/slot_search_settings.h"

namespace coursepond::egress {

struct Settings {
  ZoneId own_zone;
  /// Region of each zone that has one, for routes and tenants that name regions.
  std::map<ZoneId, RegionId> zone_regions;
  ServiceName own_service;         ///< Sent to servers as the caller's service.
  std::uint16_t ingress_port = 0;  ///< The same on every machine.
  std::string own_host;            ///< Address of this machine's server.

  /// Whether a successful answer is invalid without a signature of the server.
  bool expects_signature = false;
  /// Subtracted from the deadline that is sent to the next hop, in addition to the round trip, so
  /// that its answer arrives in time.
  Duration deadline_reserve = std::chrono::milliseconds(3);
  /// Time reserved before the end of a planned stop. A server that gives up at its deadline can
  /// then still report that in time through two nodes, which may be paused for 100 ms.
  Duration stop_reserve = std::chrono::milliseconds(150);
  Duration longest_deadline = std::chrono::seconds(60);
  /// Target latency of routes that define none.
  Duration default_target = std::chrono::seconds(1);

  /// Number of servers that are drawn at random from the own zone, and again from the other zones;
  /// a request goes to the cheapest of them. If nodes compared all servers, they would all send to
  /// the same few at once, because reports are older than a service time.
  std::size_t servers_compared = 2;
  /// Added to the cost of a server in another zone, because traffic between zones is expensive.
  double remote_zone_cost = 0.8;
  /// Share of used slots from which on a server's cost rises.
  double busy_from = 0.6;
  /// Added to the cost of a server whose slots are all taken.
  double busy_cost = 1.0;
  /// Added to the cost for each further set of waiting requests that would fill all slots.
  double waiting_cost = 2.5;
  /// Weight of one sample in the moving averages of latency, slowness and acknowledgement time.
  double slowness_weight = 0.1;
  /// Half-life of the decay of a server's slowness towards the average when there are no samples.
  Duration slowness_half_life = std::chrono::seconds(2);
  /// Half-life of a slowness that a server reported itself. Servers that share their machines
  /// change their speed about every 600 ms.
  Duration reported_slowness_half_life = std::chrono::milliseconds(600);

  SlotSearchSettings slots;
  LargePlacementSettings large_answers;

  /// For the throttle of each service and rank.
  ThrottleSettings throttle;
  /// Number of silent ingresses after which a request is not sent to another one. If it certainly
  /// has not run, it is given up; otherwise its answer is awaited. When several ingresses are
  /// silent, the whole fleet is slow, and more messages would make it slower.
  std::uint32_t most_silent_ingresses = 2;
  /// An ingress that does not acknowledge a request within this time counts as silent. The timeout
  /// grows while all ingresses are slow; see EgressState::receiptTimeout().
  Duration receipt_timeout = std::chrono::milliseconds(250);
  /// Time for which a server is avoided after its ingress could not be reached. Doubles with each
  /// further failure up to `longest_avoid`.
  Duration initial_avoid = std::chrono::milliseconds(150);
  Duration longest_avoid = std::chrono::seconds(1);
  /// Time for which a server is used only as a last resort after its ingress reported that it is
  /// draining.
  Duration avoid_draining = std::chrono::milliseconds(500);

  /// How long a server stays usable after its entry disappeared without a leaving state, if its
  /// service has no other server. Entries also lapse while the source is unavailable, and return
  /// with the next heartbeat.
  Duration lapse_hold = std::chrono::milliseconds(1400);
  /// How long a request waits for the first configuration on a node that has just started.
  Duration configuration_wait = std::chrono::milliseconds(150);
  /// If the configuration was not confirmed as the newest for longer than this, the node may have
  /// missed a version. A request without a route or with an unknown API key then gets 503 in place
  /// of 404 or 401. Zero: never.
  Duration configuration_certain_for{};
  /// Interval at which a request without a server (or configuration) checks again for one.
  Duration server_poll_interval = std::chrono::milliseconds(30);
  /// Maximum time for which a request waits for a server, as a fraction of its target latency.
  double server_wait_share = 0.2;

  Duration shortest_retry_after = std::chrono::milliseconds(100);
  Duration default_retry_after = std::chrono::milliseconds(400);
  /// Retry delay for a crash suspect that has no further trials.
  Duration crash_suspect_retry_after = std::chrono::minutes(5);
};

}  // namespace coursepond::egress
