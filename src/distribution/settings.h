#pragma once

/// Settings of the distribution module. They must be the same on every node of a mesh.

#include <cstddef>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace coursepond::distribution {

/// How a published version becomes the accepted one.
enum class AcceptanceMode {
  kOperator,   ///< An operator confirms a plan.
  kAutomatic,  ///< A valid newer published version is accepted as soon as it is read.
};

struct Settings {
  AcceptanceMode acceptance = AcceptanceMode::kOperator;

  /// Number of children per node in the push trees of a zone.
  std::size_t tree_fanout = 8;

  /// Interval between two anti-entropy rounds of one node, with a jitter of plus or minus a
  /// quarter.
  Duration anti_entropy_interval = std::chrono::seconds(1);
  /// The same while the node is cold or was paused and is asking its peers.
  Duration cold_interval = std::chrono::milliseconds(250);
  /// Interval between two reports of an unchanged proxy state to the distributors of the zone.
  Duration report_interval = std::chrono::seconds(15);
  /// Upper bound for the random delay before a changed proxy state is reported.
  Duration max_report_delay = std::chrono::milliseconds(500);
  /// Distributors forget a proxy that has not reported for this long.
  Duration report_expiry = std::chrono::seconds(60);

  /// Time after which another peer is asked for the same content or secrets. Doubles with each try
  /// up to `fetch_timeout_limit`. A node may still wait that long when a fault ends, so the limit
  /// must be well below the 5 s within which an accepted version has to be in force.
  Duration fetch_timeout = std::chrono::milliseconds(500);
  Duration fetch_timeout_limit = std::chrono::milliseconds(1500);
  /// Maximum number of full contents one node sends per second; further requests are answered with
  /// RefusalReason::kBusy.
  std::size_t full_contents_per_second = 16;
  /// Number of contents kept: the one in force, its predecessor and staged ones.
  std::size_t contents_kept = 4;
  /// Maximum size of one content after decompression, in bytes.
  std::size_t content_size_limit = std::size_t{16} * 1024 * 1024;

  /// Cold start: how long to wait for answers from other peers after the first witness was found.
  Duration cold_settle_limit = std::chrono::milliseconds(1500);
  /// Cold start: the newest published version is adopted once no witness has been found among the
  /// reachable nodes for this long.
  Duration adoption_wait = std::chrono::seconds(8);
  /// The same while a known zone is unreachable, because its nodes might be witnesses.
  Duration adoption_wait_cut_off = std::chrono::minutes(5);
  /// Zones of the mesh. For adoption, a zone missing from the view counts as unreachable, so that a
  /// node that has only seen its own zone does not mistake it for the whole mesh.
  std::vector<ZoneId> zones;
  /// Initial interval between two requests to the source reader for a document whose content or
  /// secrets have been lost; doubles with each request.
  Duration document_request_interval = std::chrono::seconds(5);
  /// How long a process that was paused waits for an answer from its peers before it acts on a role
  /// again.
  Duration pause_recheck_limit = std::chrono::seconds(2);
};

}  // namespace coursepond::distribution
