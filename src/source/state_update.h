#pragma once

/// What one node tells another of a watched source: everything, or what changed after a revision.

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
  SourceRevision revision;   ///< Of the source, up to which this is known.
  bool is_complete = false;  ///< `servers` lists all there are; nothing else is held any more.
  /// See WatchBatch; not part of what is encoded, since it changes with each answer.
  std::optional<Duration> age;
  std::vector<model::ServerEntry> servers;
  std::vector<EndpointId> removed_servers;
  /// With what is told of the configuration: all zones that are drained.
  std::optional<std::vector<ZoneId>> drained_zones;
  /// At most one of the two: the whole configuration, or how it differs from the one that the asker
  /// holds. Neither: it has not changed.
  ConfigurationPointer configuration;
  std::optional<model::Delta> delta;
};

/// Compressed CBOR, and back (kMalformed with what is wrong, kTooLarge). Secrets are no part of it.
std::string encodeStateUpdate(const StateUpdate& update);
Result<StateUpdate> decodeStateUpdate(std::string_view bytes);

/// The update as a read of the source would have told it. `held` is the configuration that the
/// asker named (null: none). kBaseMismatch when the delta starts from another version.
Result<WatchBatch> toBatch(StateUpdate update, const model::Configuration* held);

}  // namespace coursepond::source
