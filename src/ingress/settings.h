#pragma once

/// Settings of the ingress: the second of two hops. It controls access to the one server on its
/// machine.

#include <cstdint>

#include "core/ids.h"
#include "core/time.h"
#include "ingress/cold_start.h"
#include "ingress/large_answers.h"
#include "ingress/rejection_rate.h"
#include "ingress/server_speed.h"
#include "ingress/short_work_reserve.h"

namespace coursepond::ingress {

struct Settings {
  ServiceName own_service;  ///< Service of the server on this machine.
  /// Whether a successful answer is invalid without the server's signature.
  bool expects_signature = false;
  /// Subtracted from the deadline that is sent to the server.
  Duration deadline_reserve = std::chrono::milliseconds(3);
  Duration longest_deadline = std::chrono::seconds(60);
  /// Delay of a request on its way that is not subtracted from its deadline, because the egress has
  /// reserved time for a way that takes somewhat longer than usual.
  Duration covered_delay = std::chrono::milliseconds(50);
  Duration default_target = std::chrono::seconds(1);
  /// Slots assumed while the server's entry is not known.
  std::uint32_t default_slots = 4;
  /// Maximum number of waiting requests, as a multiple of the server's slots.
  double queue_per_slot = 1.5;
  /// A request may wait only if its answer is expected within this multiple of its target latency.
  double target_stretch = 0.8;
  /// Maximum wait as a fraction of the target latency. A request that is refused by then can still
  /// meet its target on another server.
  double wait_share = 0.25;
  /// Maximum wait of a call (made by a server for a request that it runs) as a fraction of the time
  /// until its deadline. Longer, because when a call fails, that request fails too and the work on
  /// it is lost.
  double call_wait_share = 0.6;
  /// Weight of one sample in the moving average of the service time.
  double sample_weight = 0.05;
  Duration initial_service_time = std::chrono::milliseconds(100);
  /// Pauses in sending after the server refused a request or could not be reached.
  Duration refused_pause = std::chrono::milliseconds(15);
  Duration unreachable_pause = std::chrono::milliseconds(100);
  RejectionRateSettings rejections;
  ServerSpeedSettings speed;
  ShortWorkSettings short_work;
  ColdStartSettings cold_start;
  LargeAnswerSettings large_answers;
  /// Minimum interval between health checks that ask whether the server is cold. Each check loads
  /// the server for a moment, and a cold server stays cold for seconds.
  Duration health_check_interval = std::chrono::milliseconds(500);
  /// Number of connections of the server's limit that are left unused.
  std::uint32_t spare_connections = 8;
  /// Maximum number of attempts for a request whose connections are found closed before it is sent.
  std::uint32_t max_local_attempts = 3;
};

}  // namespace coursepond::ingress
