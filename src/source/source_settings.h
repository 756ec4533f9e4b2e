#pragma once

#include "core/time.h"

namespace coursepond::source {

/// Tunables of SourceReader.
struct SourceSettings {
  /// Interval between conditional reads of the newest version number.
  Duration version_interval = std::chrono::seconds(1);
  /// Interval between conditional reads of the machine list.
  Duration machines_interval = std::chrono::seconds(1);
  /// Upper bound for the delay between reads while the platform fails, before full jitter.
  Duration backoff_limit = std::chrono::seconds(30);
  /// Upper bound for the delay after the first failure. Doubles with each further failure.
  Duration backoff_base = std::chrono::milliseconds(500);
  /// A read counts as failed when its answer does not begin, or stalls, for this long.
  Duration read_timeout = std::chrono::seconds(5);
  /// Backoff limit and read timeout for the machine list. Shorter than the ones above: the list
  /// says which servers are leaving, and these must stop receiving new work within seconds, even
  /// after an outage. The rate of reads is at most the usual one.
  Duration machines_backoff_limit = std::chrono::seconds(2);
  Duration machines_timeout = std::chrono::seconds(2);
  /// Time for which a new node waits for the peers in its settings before it reads the platform.
  Duration bootstrap_patience = std::chrono::seconds(2);
  /// The read of a node without peers is delayed by a random time up to this.
  Duration bootstrap_spread = std::chrono::seconds(1);
};

}  // namespace coursepond::source
