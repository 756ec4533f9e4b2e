#pragma once

/// A server's own registration in a source that supports watches.

#include <cstdint>

#include "core/address.h"
#include "core/ids.h"
#include "core/source_revision.h"
#include "core/time.h"
#include "model/endpoint.h"

namespace coursepond::model {

struct ServerEntry {
  EndpointId id;  ///< Kept when a server restarts: see `started_ms`.
  /// Start time, in milliseconds of Unix time; zero: unknown. Together with the id it identifies
  /// one instance of a server. Observations of an earlier instance do not apply to this one.
  std::uint64_t started_ms = 0;
  ServiceName service;
  Address address;
  ZoneId zone;
  std::uint32_t slots = 0;  ///< Concurrent requests it executes; zero: unknown.
  MachineState state = MachineState::kLive;
  Duration remaining_warm_up{};  ///< Remaining warm-up time when the entry was written.
  SourceRevision revision;       ///< Revision of the entry's last change.
  friend bool operator==(const ServerEntry&, const ServerEntry&) = default;
};

/// Whether both entries describe the same instance of the same server.
inline bool isSameInstance(const ServerEntry& left, const ServerEntry& right) {
  return left.id == right.id && left.started_ms == right.started_ms;
}

}  // namespace coursepond::model
