#pragma once

/// One server as it lists itself in a source that can be watched.

#include <cstdint>

#include "core/address.h"
#include "core/ids.h"
#include "core/time.h"
#include "model/endpoint.h"

namespace coursepond::model {

struct ServerEntry {
  EndpointId id;  ///< Of this start of the server; the next start has another.
  ServiceName service;
  Address address;
  ZoneId zone;
  std::uint32_t slots = 0;  ///< Requests it runs at a time; zero: not told.
  MachineState state = MachineState::kLive;
  Duration warm_up_left{};  ///< How much longer it is slow, when the entry was written.
  Generation revision;      ///< Of the source, at the entry's last change.
  friend bool operator==(const ServerEntry&, const ServerEntry&) = default;
};

}  // namespace coursepond::model
