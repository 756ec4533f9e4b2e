#pragma once

/// One server as it lists itself in a source that can be watched.

#include <cstdint>

#include "core/address.h"
#include "core/ids.h"
#include "core/source_revision.h"
#include "core/time.h"
#include "model/endpoint.h"

namespace coursepond::model {

struct ServerEntry {
  EndpointId id;  ///< A server may start again under the same one: see `started_ms`.
  /// When it started, in milliseconds of Unix time; zero: not told. With the id it names one start
  /// of a server. What was seen of an earlier start says nothing about this one.
  std::uint64_t started_ms = 0;
  ServiceName service;
  Address address;
  ZoneId zone;
  std::uint32_t slots = 0;  ///< Requests it runs at a time; zero: not told.
  MachineState state = MachineState::kLive;
  Duration warm_up_left{};  ///< How much longer it is slow, when the entry was written.
  SourceRevision revision;  ///< At the entry's last change.
  friend bool operator==(const ServerEntry&, const ServerEntry&) = default;
};

/// Whether both tell of the same start of the same server.
inline bool isSameStart(const ServerEntry& left, const ServerEntry& right) {
  return left.id == right.id && left.started_ms == right.started_ms;
}

}  // namespace coursepond::model
