#pragma once

/// Settings of the ingress: the second of two hops, which owns the one server on its machine.

#include <cstdint>

#include "core/ids.h"
#include "core/time.h"
#include "ingress/cold_start.h"
#include "ingress/large_answers.h"
#include "ingress/rejection_rate.h"

namespace coursepond::ingress {

struct Settings {
  ServiceName own_service;  ///< Of the server on this machine.
  /// Whether a success without the server's signature is no answer.
  bool expects_signature = false;
  /// Kept back from the deadline that is sent on.
  Duration deadline_reserve = std::chrono::milliseconds(3);
  Duration longest_deadline = std::chrono::seconds(60);
  Duration default_target = std::chrono::seconds(1);
  /// Slots assumed while the server's entry is not known.
  std::uint32_t unknown_slots = 4;
  /// Requests that may wait, as a multiple of the server's slots.
  double queue_per_slot = 1.5;
  /// A request may wait while its expected answer comes within this multiple of its target latency,
  double target_stretch = 0.8;
  /// and for this part of its target at most: refused by then, its caller can still be in time with
  /// another try.
  double wait_share = 0.25;
  /// A call made by a server for a request that it runs may wait for this part of its deadline:
  /// when it fails, so does that request, and the work on it is lost.
  double call_wait_share = 0.6;
  /// Weight of one sample in the moving average of the service time.
  double sample_weight = 0.05;
  Duration first_service_time = std::chrono::milliseconds(100);
  /// Pause in sending after the server refused or could not be reached.
  Duration refused_pause = std::chrono::milliseconds(15);
  Duration unreachable_pause = std::chrono::milliseconds(100);
  RejectionRateSettings rejections;
  ColdStartSettings cold_start;
  LargeAnswerSettings large_answers;
  /// Pause between two questions to the server whether it is cold. Each takes a slot for a moment;
  /// a server that is cold is so for seconds.
  Duration health_pause = std::chrono::milliseconds(500);
  /// Connections kept back from the server's limit.
  std::uint32_t spare_connections = 8;
  /// How often a request is tried again whose connection was found closed before it was sent.
  std::uint32_t local_tries = 3;
};

}  // namespace coursepond::ingress
