#pragma once

/// A source that acknowledges what operators write and that can be watched: each change has a
/// revision, and a reader that names the last revision it holds gets what came after. Other than
/// with PlatformClient, a version that such a source shows is in force: no confirmation is needed.
/// A source may be restored from a copy that is some seconds old; see SourceRevision.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/ids.h"
#include "core/source_revision.h"
#include "core/time.h"
#include "model/configuration.h"
#include "model/server_entry.h"

namespace coursepond::source {

/// Handed on without a copy: one of 5,000 routes takes milliseconds to copy.
using ConfigurationPointer = std::shared_ptr<const model::Configuration>;

/// What a read is about. The two are read apart, each with a client and a loop of its own: a
/// server's leaving is small and must be known soon, and does not wait for a configuration that may
/// take seconds to arrive.
enum class Topic { kServers, kConfiguration };

/// For logs.
std::string_view topicWord(Topic topic);

/// Operators drain a zone, or take that back. Nothing is sent to the servers of a drained zone.
struct ZoneChange {
  ZoneId zone;
  bool is_drained = true;
  SourceRevision revision = {};  ///< Of the change; none when another node told it.
  friend bool operator==(const ZoneChange&, const ZoneChange&) = default;
};

/// What one read gave. A list holds everything; a watch what changed, in order. A server is in one
/// of the two lists of servers at most, by its last change: use put() and remove(). A list of any
/// length has nothing removed, so that taking it in costs no search.
struct WatchBatch {
  SourceRevision revision;   ///< Go on from here.
  bool is_complete = false;  ///< `servers` lists all there are, also where changes were asked for.
  bool is_relayed = false;   ///< Another node told it, and pauses between its reads itself.
  /// How long ago the source had nothing newer than this; none: whoever told it does not know.
  std::optional<Duration> age = Duration(0);
  std::vector<ConfigurationPointer> configurations;
  std::vector<ZoneChange> zone_changes;  ///< Of the configuration's topic, in order.
  bool lists_zones = false;              ///< `zone_changes` names all zones that are drained.
  std::vector<model::ServerEntry> servers;
  std::vector<EndpointId> removed_servers;
  /// Items that could not be read. A configuration that was held stays in force; a server whose
  /// entry cannot be read counts as removed.
  std::vector<Error> rejected;

  /// `entry` was written: an earlier end of this server no longer counts.
  void put(model::ServerEntry entry);
  /// The entry of `id` was taken away, whatever was written before.
  void remove(const EndpointId& id);
};

using WatchCallback = std::function<void(Result<WatchBatch>)>;

/// Reads one topic of a source. Each call makes one read (a list may need several pages) and calls
/// back exactly once, never from
/// inside the call. Errors: kBaseMismatch (the source no longer has the changes after that
/// revision, or is in another era: list again), kOverloaded (too many reads), kUnavailable,
/// kTimeout, kMalformed.
class WatchClient {
 public:
  virtual ~WatchClient() = default;
  virtual void list(Duration timeout, WatchCallback callback) = 0;
  /// Some of the servers as they may have been seconds ago, at a fraction of a list's cost: to find
  /// another node by. Complete when it holds all there were.
  virtual void sample(Duration timeout, WatchCallback callback) {
    list(timeout, std::move(callback));
  }
  /// Answers at the first change after `after`, or without one after `wait`.
  virtual void watch(SourceRevision after, Duration wait, Duration timeout,
                     WatchCallback callback) = 0;
};

}  // namespace coursepond::source
