#pragma once

/// Reads the platform on the few nodes that hold the reader role. See
/// docs/design/SOURCE-READING.md.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/environment.h"
#include "core/error.h"
#include "model/configuration.h"
#include "model/document.h"
#include "model/endpoint.h"
#include "source/platform_client.h"
#include "source/source_settings.h"

namespace coursepond::source {

/// A change in the platform's state as observed by this reader.
enum class SourceEventKind {
  kFailing,    ///< Reads began to fail.
  kRecovered,  ///< Reads succeed again.
  kStale,      ///< The platform reports a version or machine list older than a known one.
  kMalformed,  ///< An answer of the platform was refused as a whole.
};

/// "failing" and so on.
std::string_view kindName(SourceEventKind kind);

struct SourceEvent {
  SourceEventKind kind = SourceEventKind::kFailing;
  Error error;  ///< The cause; empty for kRecovered.
};

/// Receives what was read. Every document is complete and validated; versions and generations only
/// increase. Implementations must not call the reader from these methods.
class SourceSink {
 public:
  virtual ~SourceSink() = default;
  virtual void onConfiguration(const model::ConfigurationDocument& document) = 0;
  virtual void onMachines(const model::MachineList& machines) = 0;
  virtual void onSourceEvent(const SourceEvent& event) = 0;
  /// Returns whether this node may read now. Called before every read.
  virtual bool mayRead() const = 0;
  /// The newest version that this node knows from any peer, or zero. A lower version reported by
  /// the platform is stale.
  virtual Version newestKnown() const = 0;
};

/// Counters for /metrics and the simulator. Never reset.
struct SourceStatistics {
  std::uint64_t reads = 0;            ///< Requests sent to the platform, of any kind.
  std::uint64_t not_modified = 0;     ///< Reads answered "not modified".
  std::uint64_t failures = 0;         ///< Reads that failed or timed out.
  std::uint64_t versions_staged = 0;  ///< Documents passed to the sink.
  std::uint64_t machine_lists = 0;    ///< Newer machine lists passed to the sink.
  std::uint64_t malformed = 0;        ///< Documents, lists or answers refused as a whole.
  std::uint64_t stale = 0;            ///< Answers refused as older than the known state.
  std::uint64_t skipped_role = 0;     ///< Reads not made because the role was lost.
  std::uint64_t late_answers = 0;     ///< Answers after a timeout, a pause or the loss of the role.
  std::uint64_t bootstrap_reads = 0;  ///< Machine lists read because no peer was known.
};

/// The result of a fetch. Without mistakes, the version was read and passed to the sink.
struct FetchOutcome {
  Version version;                               ///< The version read; zero if none could be.
  std::vector<model::DocumentMistake> mistakes;  ///< Of the document, or of the read itself.
};
using FetchCallback = std::function<void(FetchOutcome)>;

/// Returns whether the node still needs peers. Called before each read of the bootstrap.
using PeersNeeded = std::function<bool()>;

class SourceReader {
 public:
  /// All references must outlive the reader.
  SourceReader(SourceSettings settings, Environment& environment, PlatformClient& client,
               SourceSink& sink);
  ~SourceReader();
  SourceReader(const SourceReader&) = delete;
  SourceReader& operator=(const SourceReader&) = delete;

  /// Sets whether this node has the reader role. Without the role, reading stops at once.
  void setRole(bool source_reader);

  /// Starts the search for peers: after `patience` and a random spread, reads the machine list, and
  /// repeats this with backoff while `needed` returns true. Independent of the role.
  void startBootstrap(Duration patience, PeersNeeded needed);

  /// Called after the process was paused. Drops reads in flight and the role, which has to be set
  /// again.
  void onPauseDetected();

  /// Stops all reads permanently.
  void stop();

  /// Reads one version now, or the newest (zero), even if it is already known. Fails with a
  /// kUnavailable mistake on a node without the reader role. Calls back exactly once unless
  /// stopped, within three read timeouts, possibly from inside the call.
  void fetch(Version version, const FetchCallback& callback);

  bool reading() const;
  const SourceStatistics& statistics() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace coursepond::source
