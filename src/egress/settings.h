#pragma once

/// Settings of the egress: the first of two hops, which takes its machine's requests and sends each
/// to the ingress beside the server that is to run it.

#include <cstdint>
#include <map>
#include <string>

#include "core/ids.h"
#include "core/time.h"
#include "egress/admission_throttle.h"
#include "egress/slot_search_settings.h"

namespace coursepond::egress {

struct Settings {
  ZoneId own_zone;
  /// Of every zone that has one, for routes that name regions.
  std::map<ZoneId, RegionId> zone_regions;
  ServiceName own_service;         ///< Told to servers as the caller.
  std::uint16_t ingress_port = 0;  ///< The same on every machine.

  /// Whether a success without a server's signature is no answer.
  bool expects_signature = false;
  /// Kept back from the deadline that is sent on, so that the answer of the next hop still arrives.
  Duration deadline_reserve = std::chrono::milliseconds(3);
  /// Kept back from the end of a planned stop: a server that gives up at its deadline still says so
  /// in time, through two nodes that may stand still for a tenth of a second.
  Duration stop_reserve = std::chrono::milliseconds(150);
  Duration longest_deadline = std::chrono::seconds(60);
  /// Target latency of routes that name none.
  Duration default_target = std::chrono::seconds(1);

  /// Servers of the own zone, and as many of the others, drawn at random, of which a request takes
  /// the cheapest. Nodes that compared all would send to the same few at once, on reports that are
  /// older than a service time.
  std::size_t servers_compared = 2;
  /// Added to a server's cost for another zone: bytes between zones are dear.
  double remote_zone_cost = 0.8;
  /// From this part of its slots on, a server's cost rises.
  double busy_from = 0.6;
  /// Cost of a server whose slots are all taken, beyond that of an idle one.
  double busy_cost = 1.0;
  /// Cost of each further full turn of waiting requests.
  double waiting_cost = 2.5;
  /// Weight of one sample in a server's slowness.
  double slowness_weight = 0.1;
  /// Without samples, a server's slowness halves its distance to the average in this time.
  Duration slowness_half_life = std::chrono::seconds(2);

  SlotSearchSettings slots;

  /// Per service and rank.
  ThrottleSettings throttle;
  /// Ingresses that may stay silent on one request before it is given up, or waited for where it
  /// may run. Silence of several is a fleet that is slow, which more messages make slower.
  std::uint32_t most_silent_ingresses = 2;
  /// An ingress that has not said within this that it has a request counts as silent. Longer while
  /// all ingresses are slow: see EgressState::receiptTimeout().
  Duration receipt_timeout = std::chrono::milliseconds(250);
  /// Pause after a server's ingress could not be reached; doubles up to the longest.
  Duration avoid = std::chrono::milliseconds(150);
  Duration longest_avoid = std::chrono::seconds(1);
  /// Pause after an ingress said that it takes no new work.
  Duration avoid_draining = std::chrono::milliseconds(500);

  /// A server whose entry went without a word of leaving is used for so long when its service has
  /// no other: entries also lapse while the source is away, and come back with the next heartbeat.
  Duration lapse_hold = std::chrono::milliseconds(1400);
  /// How long a request waits for the first configuration of a node that has just started.
  Duration configuration_patience = std::chrono::milliseconds(150);
  /// A node that has heard nothing of the configuration for longer than this may have missed a
  /// version: it does not say that a route does not exist (404), but that it cannot tell now (503).
  /// Zero: it always says it.
  Duration configuration_certain_for{};
  /// How often a request without a server looks for one again,
  Duration look_again = std::chrono::milliseconds(30);
  /// and for which part of its target latency at most.
  double patience = 0.2;

  Duration shortest_retry_after = std::chrono::milliseconds(100);
  Duration default_retry_after = std::chrono::milliseconds(400);
  /// For a request that ends servers, and is not tried any more.
  Duration crasher_retry_after = std::chrono::minutes(5);
};

}  // namespace coursepond::egress
