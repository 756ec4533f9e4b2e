#pragma once

/// Tracks requests that were running when servers ended, and decides whether such a request may run
/// again ("queries of death").
///
/// A request that crashes every server that runs it is sent again by its callers through any node,
/// so that a service with few servers stays down for as long as the callers retry. The other
/// requests on a crashing server are suspected with it: of some 20 requests that are suspected
/// after one end, 19 are innocent. What happens next distinguishes them. A request that is answered
/// is cleared on all nodes. A request with two server ends and no answer in between only runs as a
/// trial, one at a time and on one server. The first trial is allowed at once, so that a popular
/// innocent request is refused for no longer than one run takes, even after many servers ended at
/// the same moment. If it gets no answer, a second trial is allowed after a pause, and then none.
///
/// Records are kept by the fingerprint of the whole request, so that only an answer to the same
/// request clears one. A server may end before it has the whole body; such an end is recorded by
/// the head alone. This restricts no request, but has those with the same head identified before
/// they are sent.
///
/// Each node has its own table. Merging tables is commutative and idempotent, so that all nodes
/// converge to the same table (see SuspectGossip). An answer starts a new round of a record, which
/// replaces the ends and trials of earlier rounds.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/request_fingerprint.h"
#include "core/time.h"

namespace coursepond::admission {

/// Identifies one trial of one request. Chosen at random by the node of the server that runs it.
using TrialId = std::uint64_t;

/// State of one request, as sent to other nodes.
struct SuspectReport {
  RequestFingerprint request;     ///< Of the whole request, or `head` if that is not known.
  std::uint32_t round = 0;        ///< Number of times an answer cleared the request.
  Duration age{};                 ///< Time since its last end, trial or answer.
  std::vector<ServerEndId> ends;  ///< Server ends in this round; sorted.
  std::vector<TrialId> trials;    ///< Trials without an answer in this round; sorted.
  RequestFingerprint head{};      ///< Fingerprint of its head; empty if it has no body.
  friend bool operator==(const SuspectReport&, const SuspectReport&) = default;
};

enum class CrashVerdict {
  kMayRun,
  kTrialOnly,  ///< May run as a trial: one at a time, on one server.
  kMayNotRun,
};

struct CrashSuspectSettings {
  /// Maximum number of records. Those with the fewest ends are evicted first, oldest first.
  std::size_t max_records = 4096;
  /// Pause before the second trial. By then, any other cause of server ends is over or known.
  Duration trial_pause = std::chrono::seconds(10);
  /// Time after its last end or trial until a suspect is forgotten.
  Duration memory = std::chrono::hours(1);
  /// Time until an answer is forgotten: as long as other nodes may still report earlier rounds.
  Duration answer_memory = std::chrono::minutes(1);
};

/// Counters for /metrics. Never reset.
struct CrashSuspectStatistics {
  std::uint64_t server_ends = 0;  ///< Ends of this node's server with requests in flight.
  std::uint64_t cleared = 0;      ///< Records cleared by an answer on this node.
  std::uint64_t forgotten = 0;    ///< Records evicted because there were too many.
};

class CrashSuspects {
 public:
  /// Called when the number of ends of a suspect changes, which includes that the request becomes a
  /// suspect or is cleared (`ends` is then zero).
  using VerdictListener = std::function<void(RequestFingerprint request, std::size_t ends)>;

  explicit CrashSuspects(const CrashSuspectSettings& settings = {}) : settings_(settings) {}

  /// Returns whether servers ended while requests with this head were running.
  bool hasServerEnds(RequestFingerprint head) const;
  /// Returns whether requests with this head must be identified before they are sent to a server,
  /// because one of them is a suspect, or ended a server before it was known which one it was.
  bool mustIdentify(RequestFingerprint head) const;
  /// Returns the suspects with this head; valid until the next change.
  std::span<const RequestFingerprint> suspectsWith(RequestFingerprint head) const;

  CrashVerdict verdict(RequestFingerprint request, TimePoint now) const;
  /// Returns the time until a trial is allowed, or nothing if no further trial is.
  std::optional<Duration> timeUntilTrial(RequestFingerprint request, TimePoint now) const;
  /// Returns the number of server ends of the request in its current round.
  std::size_t ends(RequestFingerprint request) const;

  /// Called when this node's server ended while these requests were running on it. May be called
  /// again with further requests of the same end.
  void onServerEnd(ServerEndId end, std::span<const RequestFingerprints> requests, TimePoint now);
  /// Called when a trial that may have run ended without an answer.
  void onTrialFailed(RequestFingerprint request, TrialId trial, TimePoint now);
  /// Called when a server answered the request, which shows that it does not crash servers.
  /// `whole` is the fingerprint of the whole request. Returns whether this cleared server ends.
  bool onAnswered(RequestFingerprint whole, TimePoint now);

  /// Merges the reports of another node. Returns whether any of them changed this table.
  bool merge(std::span<const SuspectReport> reports, TimePoint now);
  /// Returns reports of at most `limit` suspects, those with the most ends first.
  std::vector<SuspectReport> reports(TimePoint now, std::size_t limit) const;
  /// Returns this node's reports of the requests in `reports` for which it knows a later round,
  /// which the sender of `reports` has missed.
  std::vector<SuspectReport> laterRounds(std::span<const SuspectReport> reports,
                                         TimePoint now) const;
  /// Returns at most `limit` reports of records that changed after `since`, newest first.
  std::vector<SuspectReport> changesSince(TimePoint since, TimePoint now, std::size_t limit) const;
  /// Returns a hash of all suspects, which is equal on nodes that have the same suspects.
  std::uint64_t summary() const;
  void removeExpired(TimePoint now);

  /// Sets a callback that is called after each change that other nodes should learn of soon. An
  /// answer after a single end can wait for the next message, because a single end does not
  /// restrict the request.
  void onChange(std::function<void()> callback) { on_change_ = std::move(callback); }
  void onVerdict(VerdictListener listener) { on_verdict_ = std::move(listener); }
  std::size_t size() const { return records_.size(); }
  const CrashSuspectStatistics& statistics() const { return statistics_; }

 private:
  struct Record {
    std::uint32_t round = 0;
    std::vector<ServerEndId> ends;  ///< Sorted; at most kMaxIds.
    std::vector<TrialId> trials;    ///< Sorted; at most kMaxIds.
    TimePoint changed_at;           ///< Time of its last end, trial or answer.
    TimePoint learned_at;           ///< When this node last learned of a change.
    RequestFingerprint head;        ///< Empty if it is not known, or if there is no body.
  };
  /// What is recorded of all requests with one head.
  struct HeadRecords {
    std::vector<RequestFingerprint> suspects;
    bool has_unidentified_end = false;
  };
  using HeadIndex = std::unordered_map<RequestFingerprint, HeadRecords>;
  using Records = std::unordered_map<RequestFingerprint, Record>;

  static bool isSuspected(const Record& record);
  static SuspectReport reportOf(RequestFingerprint request, const Record& record, TimePoint now) {
    return {request,     record.round,  now - record.changed_at,
            record.ends, record.trials, record.head};
  }
  TimePoint nextTrialAt(const Record& record) const;
  bool isExpired(const Record& record, TimePoint now) const;
  bool mergeReport(const SuspectReport& report, TimePoint now);
  bool mergeRound(Record& record, const Record& reported) const;
  void addEnd(const RequestFingerprints& request, ServerEndId end, TimePoint now);
  void notifyVerdict(RequestFingerprint request, const Record& record,
                     std::size_t ends_before) const;
  void evictExcess();
  const HeadIndex& byHead() const;
  void notifyChange() const {
    if (on_change_) on_change_();
  }

  CrashSuspectSettings settings_;
  Records records_;
  mutable std::optional<HeadIndex> by_head_;  ///< Empty after a change of `records_`.
  std::function<void()> on_change_;
  VerdictListener on_verdict_;
  CrashSuspectStatistics statistics_;
  ServerEndId last_server_end_ = 0;
};

}  // namespace coursepond::admission
