#pragma once

/// Reads one topic of a source for a node of a mesh in which only a few nodes read the source: the
/// chosen readers (reader_choice.h) read the source itself, relays wait for changes at a reader,
/// and followers wait at a relay. While no reader answers, the standbys read the source in their
/// place, and the other nodes ask those. A reader whose read of the source fails asks other nodes,
/// so that no node depends on a single path.
///
/// Invariant: the duration of a read is bounded: at most one step waits for a change and times out;
/// the later steps ask for an immediate answer, and the next step starts before an unanswered one
/// times out. RelaySettings bound each step.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/environment.h"
#include "source/held_state.h"
#include "source/peer_reader.h"
#include "source/reader_choice.h"
#include "source/silent_parents.h"
#include "source/watch_client.h"

namespace coursepond::source {

/// The times are derived from the bounds promised to operators; see runtime/promises.h.
struct RelaySettings {
  /// Maximum time that a read of the source waits for a change, and additional time allowed for its
  /// answer. A reader notices within the sum of both that the source does not respond.
  Duration source_wait = std::chrono::milliseconds(600);
  Duration source_slack = std::chrono::milliseconds(500);
  /// The same for a request to a parent.
  Duration peer_wait = std::chrono::milliseconds(600);
  Duration peer_slack = std::chrono::milliseconds(400);
  /// Time after which the next parent is asked too while an immediate answer has not begun. The
  /// parents of a node may all be silent, so their timeouts must not add up.
  Duration next_parent_delay = std::chrono::milliseconds(130);
  /// Replaces both waits for reads of the configuration. Longer, since the configuration changes
  /// rarely, and receiving a question costs a reader more than answering it.
  Duration configuration_wait = std::chrono::milliseconds(1000);
  /// An answer of the source or of a parent that has begun is aborted when no data arrives for this
  /// long. A node with a tenth of a core is blocked for half of this time while it applies a
  /// configuration of 5,000 routes.
  Duration stall_limit = std::chrono::milliseconds(700);
  /// Time for which a parent that did not answer is not asked. This and the next are twice as long
  /// on a standby, so that it reads the source until the other nodes have asked the readers again.
  Duration avoid_silent_parent = std::chrono::seconds(4);
  /// The same for a parent that answered that it is not fresh.
  Duration avoid_stale_parent = std::chrono::milliseconds(500);
  /// Time for which a node does not read the source after a failed read, and asks others instead.
  Duration avoid_source = std::chrono::seconds(2);
};

/// An answer of the source that contained versions of the configuration.
struct VersionsRead {
  /// A list has the newest version, a watch each one since its revision.
  bool is_list = false;
  std::uint64_t bytes = 0;
  Duration elapsed{};  ///< From the request until the whole answer was received.
};

/// Counters for /metrics. Never reset.
struct RelayStatistics {
  std::uint64_t source_reads = 0;
  std::uint64_t source_failures = 0;
  std::uint64_t source_watches_aborted = 0;  ///< Because a list is smaller.
  std::uint64_t source_bytes = 0;            ///< Received from the source.
  /// Those made by a standby in place of the readers.
  std::uint64_t standby_source_reads = 0;
  std::uint64_t peer_reads = 0;
  std::uint64_t peer_failures = 0;
  /// Peer reads made while an earlier one of the same read was unanswered.
  std::uint64_t overlapping_peer_reads = 0;
};

class RelayClient final : public WatchClient {
 public:
  /// `settings`, `source`, `peers`, `held` and `environment` must outlive the client.
  RelayClient(const RelaySettings& settings, Topic topic, WatchClient& source,
              PeerStateClient& peers, const HeldState& held, Environment& environment);

  /// Shares the record of silent parents with the client of the other topic.
  void shareSilentParents(std::shared_ptr<SilentParents> silent);
  /// Sets this node's role and its parents (readers or relays) in the order in which to ask them.
  /// `nodes`: number of nodes with the same parents, this one included; zero if unknown.
  void setParents(std::vector<std::string> parents, ReaderRole role, std::size_t nodes = 0);
  /// Sets whether this node reads the source while no reader answers it.
  void setStandby(bool is_standby) { is_standby_ = is_standby; }
  bool isStandby() const { return is_standby_; }
  /// Asks the next parent without waiting for the current one. Called when another node asks this
  /// standby as if it read the source, probably because the readers are silent.
  void checkParents();
  /// Called when this node is no longer fresh; see isFresh().
  void onFreshnessLost(std::function<void()> callback) { on_freshness_lost_ = std::move(callback); }
  /// Called when the source answered with versions of the configuration.
  void onVersionsRead(std::function<void(const VersionsRead&)> callback) {
    on_versions_read_ = std::move(callback);
  }
  /// Called when a parent did not answer or refused to. The read continues on another path.
  void onParentFailed(std::function<void(const std::string& host, const Error& error)> callback) {
    on_reader_failed_ = std::move(callback);
  }
  /// Returns whether the held state is as new as the source's, so that other nodes may wait for
  /// changes at this one.
  bool isFresh() const;
  ReaderRole role() const { return role_; }

  void list(Duration timeout, WatchCallback callback) override;
  void watch(SourceRevision after, Duration wait, Duration timeout,
             WatchCallback callback) override;

  const RelayStatistics& statistics() const { return statistics_; }

 private:
  /// One call of watch() and the progress of its steps.
  struct Read {
    SourceRevision after;
    Duration wait{};
    Duration timeout{};
    WatchCallback callback;
    Version version;  ///< The held one; none to get the whole configuration.
    TimePoint began;
    TimePoint source_asked;
    bool was_source_asked = false;
    bool is_list = false;          ///< The read of the source is a list.
    std::optional<Error> failure;  ///< Error of the last step that failed.
    bool is_urgent = false;        ///< The next steps ask for an immediate answer.
    std::optional<bool> is_drawn_as_fallback;
    bool is_done = false;
    std::set<std::string> asked_hosts;
    /// Parent at which the read waits for a change; empty once its answer has begun or another step
    /// has started.
    std::string waits_at;
    std::size_t in_flight = 0;  ///< Steps without an answer.
    std::size_t refusals = 0;   ///< By parents that are not fresh.
    TimerId next_step_timer = 0;
  };
  using ReadPointer = std::shared_ptr<Read>;

  void step(const ReadPointer& read);
  void finish(const ReadPointer& read, Result<WatchBatch> answer);
  void onParentSilent(const std::string& host, const Error& error);
  bool leavesSourceToReaders() const;
  bool readsAsFallback(Read& read) const;
  void readSource(const ReadPointer& read);
  void onSourceAnswer(const ReadPointer& read, Result<WatchBatch> answer);
  void askPeer(const ReadPointer& read, const std::string& host);
  void scheduleNextStep(const ReadPointer& read);
  void onPeerBegun(const ReadPointer& read);
  void onPeerAnswer(const ReadPointer& read, const std::string& host, TimePoint asked,
                    const Result<std::optional<StateUpdate>>& answer);
  void applyPeerAnswer(const ReadPointer& read, const std::string& host, TimePoint asked,
                       const std::optional<StateUpdate>& answer);
  void onPeerFailed(const ReadPointer& read, const std::string& host, TimePoint asked,
                    const Error& error);
  std::optional<std::string> nextPeer(const Read& read) const;
  bool isAvoided(const std::string& host) const;
  bool isUnproven(const std::string& host) const;
  void noteSourceAnswer(const WatchBatch& batch, bool is_list, Duration elapsed);
  void noteParentAnswer();
  void fail(const ReadPointer& read);
  void loseFreshness();
  bool isReader() const { return role_ == ReaderRole::kReader; }
  Duration longestRead() const;
  Duration sourceWait() const;
  Duration peerWait() const;

  const RelaySettings& settings_;
  const Topic topic_;
  WatchClient& source_;
  PeerStateClient& peers_;
  const HeldState& held_;
  Environment& environment_;
  std::function<void()> on_freshness_lost_;
  std::function<void(const VersionsRead&)> on_versions_read_;
  std::function<void(const std::string&, const Error&)> on_reader_failed_;
  /// Callbacks hold a weak reference, and do nothing once the client is destroyed.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  std::vector<std::string> parents_;
  std::shared_ptr<SilentParents> silent_;
  /// Parents that refused or whose answers could not be used. Keyed by host; subset of `parents_`.
  std::map<std::string, TimePoint> avoided_until_;
  std::weak_ptr<Read> current_read_;
  std::size_t nodes_ = 0;
  ReaderRole role_ = ReaderRole::kReader;
  bool is_standby_ = false;
  bool is_fresh_ = false;
  /// The source's last answer contained a new version, so the next read is a list: it returns only
  /// the newest version, while a watch returns each version of a burst in full.
  bool lists_next_ = false;
  TimePoint source_avoided_until_;
  TimePoint last_fresh_answer_;  ///< From the source; for a relay, also from its parent.
  RelayStatistics statistics_;
};

}  // namespace coursepond::source
