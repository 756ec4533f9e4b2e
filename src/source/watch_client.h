#pragma once

/// Interface to a source that acknowledges writes of operators and that can be watched: each change
/// has a revision, and a reader that sends the last revision it holds gets the later changes.
/// Unlike with PlatformClient, a version that such a source returns is in force without a
/// confirmation. A source may be restored from a copy that is some seconds old; see SourceRevision.

#include <cstdint>
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

/// Shared instead of copied: copying a configuration of 5,000 routes takes milliseconds.
using ConfigurationPointer = std::shared_ptr<const model::Configuration>;

/// The subject of a read. The two topics are read independently, each with its own client and loop:
/// the leaving of a server is a small change that must be known soon, and must not wait for a
/// configuration that may take seconds to arrive.
enum class Topic { kServers, kConfiguration };

/// Returns the name of the topic in logs.
std::string_view topicName(Topic topic);

/// An operator drained a zone or cancelled its drain. Servers in a drained zone get no requests.
struct ZoneChange {
  ZoneId zone;
  bool is_drained = true;
  SourceRevision revision = {};  ///< Of the change; none if received from another node.
  friend bool operator==(const ZoneChange&, const ZoneChange&) = default;
};

/// The result of one read: a list contains everything, a watch the changes in order. A server is in
/// at most one of `servers` and `removed_servers`, according to its last change: use put() and
/// remove(). The result of a list has no removed servers, so that put() does not search them.
struct WatchBatch {
  SourceRevision revision;   ///< The next watch continues from here.
  bool is_complete = false;  ///< `servers` lists all servers, even if only changes were requested.
  bool is_relayed = false;   ///< From another node, which already pauses between its own reads.
  /// Time since the source was known to have nothing newer; none if the sender does not know.
  std::optional<Duration> age = Duration(0);
  /// How long the link took to carry the source's answer. Zero if from another node.
  Duration transfer_time{};
  std::uint64_t bytes = 0;  ///< Size of the source's answer. Zero if from another node.
  std::vector<ConfigurationPointer> configurations;
  std::vector<ZoneChange> zone_changes;  ///< In order; only in the topic kConfiguration.
  bool lists_zones = false;              ///< `zone_changes` lists all drained zones.
  std::vector<model::ServerEntry> servers;
  std::vector<EndpointId> removed_servers;
  /// Errors of items that could not be decoded. The held configuration stays in force; a server
  /// whose entry cannot be decoded counts as removed.
  std::vector<Error> rejected;

  /// Adds a written `entry`, and cancels an earlier removal of this server.
  void put(model::ServerEntry entry);
  /// Adds the removal of `id`, and drops an entry written before.
  void remove(const EndpointId& id);
};

using WatchCallback = std::function<void(Result<WatchBatch>)>;

/// Reads one topic of a source. Each call makes one read (a list may need several pages) and calls
/// back exactly once, never from inside the call. Errors: kBaseMismatch (the source no longer has
/// the changes since that revision, or is in another era: list again), kOverloaded (too many
/// reads), kUnavailable, kTimeout, kMalformed. A watch may also fail with kTooLarge: the changes
/// since that revision are much larger than a list.
class WatchClient {
 public:
  virtual ~WatchClient() = default;
  virtual void list(Duration timeout, WatchCallback callback) = 0;
  /// Reads some of the servers, possibly seconds stale, at a fraction of the cost of a list, in
  /// order to find another node. The batch is complete if it contains all servers.
  virtual void sample(Duration timeout, WatchCallback callback) {
    list(timeout, std::move(callback));
  }
  /// Answers at the first change since `after`, or without changes when `wait` expires.
  virtual void watch(SourceRevision after, Duration wait, Duration timeout,
                     WatchCallback callback) = 0;
};

}  // namespace coursepond::source
