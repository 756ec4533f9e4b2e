#pragma once

#include "core/digest.h"
#include "core/ids.h"

namespace coursepond::distribution {

/// The state that all nodes of the mesh agree on: which version is accepted. Records are ordered by
/// version and a node keeps the greatest one it has seen. Its record therefore never regresses,
/// even if messages arrive late, reordered, duplicated or from a process that was paused. Every
/// guarantee that a node never returns to an older version relies on this.
struct AcceptanceRecord {
  Version version;
  Digest digest;  ///< model::contentDigest of the version's configuration.
  Version base;   ///< The version that was accepted when this one was planned.
  friend bool operator==(const AcceptanceRecord&, const AcceptanceRecord&) = default;
};

}  // namespace coursepond::distribution
