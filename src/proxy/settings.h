#pragma once

/// Data-path settings of one node. The limits of a service (slots, connections, queue, retries) are
/// part of the configuration instead (model::Service).

#include <cstdint>

#include "core/time.h"

namespace coursepond::proxy {

/// Settings for the choice of a server.
struct BalancerSettings {
  /// Weight of one new latency sample in the moving average.
  double latency_sample_weight = 0.1;
  /// Half-life with which a server's latency estimate returns to the average of its service while
  /// there are no new samples, so that a server that was slow is tried again.
  Duration latency_half_life = std::chrono::seconds(5);
  /// Relative difference up to which the costs of two servers count as equal.
  double cost_tolerance = 0.1;
  /// Time in which a new or returning server reaches its full share of requests.
  Duration slow_start = std::chrono::seconds(10);
  /// Fraction of the full share at the beginning of slow start.
  double slow_start_share = 0.1;
  /// Cost factor of a server in another zone.
  double remote_zone_factor = 1.1;
};

/// Settings for the limit of requests in flight from one node to one server, which other nodes use
/// as well.
struct ConcurrencySettings {
  /// Factor by which a refusal decreases the limit.
  double decrease_factor = 0.8;
  /// Increase of the limit after as many answered requests as the limit is high.
  double increase_step = 0.3;
  /// Factor for the increase while the server reports that it is full.
  double full_report_growth = 0.5;
  /// Reported load from which on a server counts as full.
  double full_report_load = 0.95;
  /// Minimum of the limit. Below one, the node pauses for (1 / limit - 1) service times between two
  /// requests.
  double min_limit = 0.125;
};

/// Settings for the ejection of failing servers.
struct OutlierSettings {
  /// Number of consecutive failures that ejects a server.
  std::uint32_t consecutive_failures = 5;
  /// Failure rate (moving average over about 20 answers) that ejects a server, too.
  double failure_rate = 0.5;
  /// An outlier's failure rate is at least this many times the average of its peers.
  double peer_factor = 1.5;
  /// An outlier's failure rate also exceeds that average by at least this much, since all rates are
  /// small and differ by chance when failures begin. Not required during probation.
  double peer_margin = 0.2;
  /// Backoff after each failed connection, from the second consecutive one on.
  Duration connect_backoff = std::chrono::milliseconds(50);
  /// Length of the first ejection. Doubles with every further one, up to `longest_ejection`.
  Duration base_ejection = std::chrono::seconds(2);
  Duration longest_ejection = std::chrono::seconds(60);
  /// Time without ejections after which the next one has the base length again.
  Duration ejection_reset_time = std::chrono::seconds(60);
  /// Maximum fraction of a service's usable servers that are ejected at a time. The last one is
  /// never ejected.
  double largest_ejected_part = 0.5;
};

/// Settings for waiting and for the order of refusals.
struct AdmissionSettings {
  /// Maximum time that a request waits for a slot, even if its deadline is later.
  Duration longest_wait = std::chrono::seconds(2);
  /// Fraction of a service's queue that batch requests may fill.
  double batch_queue_part = 0.5;
  /// Fraction of this node's limit on a server that batch requests may use (at least one request).
  double batch_slot_part = 0.75;
  /// Number of interactive requests that are served before one batch request while both wait.
  std::uint32_t interactive_weight = 8;
};

/// Settings of the retry budgets that are the same for all services.
struct RetrySettings {
  /// Capacity of the bucket in tokens. It starts full.
  double burst = 20;
  /// Tokens added per second without any traffic, so that a service with little traffic can retry.
  double floor_per_second = 1;
  /// Maximum number of attempts per request that end without work done (refused as not run, or
  /// never sent) and are not charged to the budget. The concurrency limit of a refusing server,
  /// which decreases with its refusals, bounds their total.
  std::uint32_t free_attempts = 8;
};

struct Settings {
  BalancerSettings balancer;
  ConcurrencySettings concurrency;
  OutlierSettings outlier;
  AdmissionSettings admission;
  RetrySettings retry;
  /// Minimum time for which a server stays marked as leaving; see LeavingMarks.
  Duration leaving_mark_hold = std::chrono::seconds(30);
  /// Subtracted from the deadline that is sent to the next hop, so that its answer arrives in time.
  Duration deadline_reserve = std::chrono::milliseconds(2);
  /// Upper bound for the deadline that a caller sets in X-Deadline-Ms.
  Duration longest_deadline = std::chrono::seconds(60);
  /// Retry-After if the expected wait is not known.
  Duration default_retry_after = std::chrono::seconds(1);
};

}  // namespace coursepond::proxy
