#pragma once

/// The state of a watched source that one node sends to another: everything, or the changes since a
/// revision.

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/time.h"
#include "model/configuration.h"
#include "model/delta.h"
#include "model/server_entry.h"
#include "source/watch_client.h"

namespace coursepond::source {

struct StateUpdate {
  SourceRevision revision;   ///< The revision of the source up to which this is known.
  bool is_complete = false;  ///< `servers` lists all servers; all others are removed.
  /// See WatchBatch. Not encoded, since it differs for each answer.
  std::optional<Duration> age;
  std::vector<model::ServerEntry> servers;
  std::vector<EndpointId> removed_servers;
  /// All drained zones; set in updates of the configuration's topic.
  std::optional<std::vector<ZoneId>> drained_zones;
  /// At most one of the two is set: the whole configuration, or its delta from the one that the
  /// asker holds. Neither is set if the configuration has not changed.
  ConfigurationPointer configuration;
  std::optional<model::Delta> delta;
};

/// Encode to and decode from compressed CBOR. Decoding fails with kMalformed or kTooLarge. Secrets
/// are not included.
std::string encodeStateUpdate(const StateUpdate& update);
Result<StateUpdate> decodeStateUpdate(std::string_view bytes);

/// Converts the update to the batch that a read of the source would have returned. `held` is the
/// configuration that the asker named, or null. Fails with kBaseMismatch if the delta has another
/// base version.
Result<WatchBatch> toBatch(StateUpdate update, const model::Configuration* held);

}  // namespace coursepond::source
