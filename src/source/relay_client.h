#pragma once

/// Reads one topic of a source for a node of a mesh in which only a few nodes read it: those that
/// were chosen (reader_choice.h) read the source itself, relays wait for changes at one of them,
/// and the others at a relay. A node whose parents fail reads the source, and a reader that the
/// source turns away asks other readers: nobody depends on one path.
///
/// Invariant: a read ends within the longest of its steps: one wait that went silent, then
/// questions that are answered at once (Settings say how long each may take).

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/environment.h"
#include "source/held_state.h"
#include "source/peer_reader.h"
#include "source/reader_choice.h"
#include "source/watch_client.h"

namespace coursepond::source {

/// The times follow from what operators are promised; see runtime/promises.h.
struct RelaySettings {
  /// The longest that a read of the source waits for a change, and how much longer its answer may
  /// take: the sum is how soon a reader notices that the source is silent.
  Duration source_wait = std::chrono::milliseconds(600);
  Duration source_slack = std::chrono::milliseconds(500);
  /// The same for a question to a reader.
  Duration peer_wait = std::chrono::milliseconds(600);
  Duration peer_slack = std::chrono::milliseconds(400);
  /// In place of both waits where the configuration is asked for: it changes seldom, and a reader
  /// has more to do with each question than with each answer.
  Duration configuration_wait = std::chrono::milliseconds(1000);
  /// An answer of the source or of a reader that has begun is given up when nothing of it comes for
  /// so long. A node of a tenth of a core stands still for half of it while it takes in a
  /// configuration of 5,000 routes.
  Duration stall_limit = std::chrono::milliseconds(700);
  /// A reader that did not answer is not asked for so long.
  Duration avoid_silent = std::chrono::seconds(4);
  /// The same for one that answered that it does not read the source now.
  Duration avoid_unfit = std::chrono::milliseconds(500);
  /// A node that the source turned away asks others for so long before it reads again.
  Duration avoid_source = std::chrono::seconds(2);
};

/// Counters for /metrics. Never reset.
struct RelayStatistics {
  std::uint64_t source_reads = 0;
  std::uint64_t source_failures = 0;
  std::uint64_t peer_reads = 0;
  std::uint64_t peer_failures = 0;
};

class RelayClient final : public WatchClient {
 public:
  /// `settings`, `source`, `peers`, `held` and `environment` must outlive the client.
  RelayClient(const RelaySettings& settings, Topic topic, WatchClient& source,
              PeerStateClient& peers, const HeldState& held, Environment& environment);

  /// What this node does, and whom it asks: readers or relays, in the order in which to ask them.
  /// `nodes` that ask the same ones, this one included; zero: not known.
  void setReaders(std::vector<std::string> parents, ReaderRole role, std::size_t nodes = 0);
  /// Called when this node no longer reads the source itself.
  void onFreshnessLost(std::function<void()> callback) { on_freshness_lost_ = std::move(callback); }
  /// Called when a reader did not answer, or turned this node away; another path is taken.
  void onReaderFailed(std::function<void(const std::string& host, const Error& error)> callback) {
    on_reader_failed_ = std::move(callback);
  }
  /// Whether what is held is as new as the source's own: others may wait for changes here.
  bool isFresh() const;
  ReaderRole role() const { return role_; }

  void list(Duration timeout, WatchCallback callback) override;
  void watch(SourceRevision after, Duration wait, Duration timeout,
             WatchCallback callback) override;

  const RelayStatistics& statistics() const { return statistics_; }

 private:
  /// One call of watch() on its way through its steps.
  struct Read {
    SourceRevision after;
    Duration wait{};
    Duration timeout{};
    WatchCallback callback;
    Version version;  ///< That is held; none to get the whole configuration.
    TimePoint began;
    TimePoint asked;  ///< When its last step was.
    bool was_source_asked = false;
    std::optional<Error> failure;  ///< Of the last step.
  };
  using ReadPointer = std::shared_ptr<Read>;

  void step(const ReadPointer& read);
  bool leavesSourceToReaders() const;
  bool standsIn() const;
  void readSource(const ReadPointer& read);
  void onSourceAnswer(const ReadPointer& read, Result<WatchBatch> answer);
  void askPeer(const ReadPointer& read, const std::string& host);
  void onPeerAnswer(const ReadPointer& read, const std::string& host,
                    const Result<std::optional<StateUpdate>>& answer);
  void onPeerFailed(const ReadPointer& read, const std::string& host, const Error& error);
  std::optional<std::string> nextPeer();
  void noteSourceAnswer(const WatchBatch& batch);
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
  std::function<void(const std::string&, const Error&)> on_reader_failed_;
  /// Callbacks hold a weak reference: they end with the client.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  std::vector<std::string> parents_;
  std::map<std::string, TimePoint> avoided_until_;  ///< Of `parents_`.
  std::size_t nodes_ = 0;
  ReaderRole role_ = ReaderRole::kReader;
  bool is_fresh_ = false;
  /// The source's last answer brought a version: list next, since a list has the newest only and a
  /// watch each one of a storm, whole.
  bool lists_next_ = false;
  TimePoint source_avoided_until_;
  TimePoint last_fresh_answer_;  ///< Of the source; of a relay, also of a reader.
  RelayStatistics statistics_;
};

}  // namespace coursepond::source
