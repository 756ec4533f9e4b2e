#pragma once

/// Requests under which servers ended, and whether such a request may run again ("queries of
/// death").
///
/// The load that this answers: one request ends each server that runs it, and its callers send it
/// again through any node, so that a service of few servers is down for as long as they do. What
/// runs beside it at a server ends with it: of some 20 requests that are suspected after one end,
/// 19 are innocent. They are told apart by what happens next. A request that is answered is no
/// suspect any more, everywhere. One under which two servers ended without an answer in between
/// only runs as a trial, alone of its kind and at one server: at once, so that a popular innocent
/// one is refused for no longer than one run takes, also after many servers went at the same
/// moment; once more after a pause if it got no answer; and then no more.
///
/// Each node holds its own table, and tables are merged, in any order and any number of times, to
/// the same one (see SuspectGossip). An answer opens a new round of a record, which replaces what
/// was counted in rounds before.

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

/// One trial of one request, named at random by the node beside its server.
using TrialId = std::uint64_t;

/// What a node tells others of a request.
struct SuspectReport {
  RequestFingerprint request;
  std::uint32_t round = 0;        ///< How often it was answered after servers had ended under it.
  Duration age{};                 ///< Since its last end, trial or answer.
  std::vector<ServerEndId> ends;  ///< In its round; sorted.
  std::vector<TrialId> trials;    ///< Without an answer, in its round; sorted.
  friend bool operator==(const SuspectReport&, const SuspectReport&) = default;
};

enum class CrashVerdict {
  kMayRun,
  kTrialOnly,  ///< One at a time, at one server.
  kMayNotRun,
};

struct CrashSuspectSettings {
  /// Records held; the ones with fewest ends, and of these the oldest, are forgotten first.
  std::size_t most_records = 4096;
  /// Pause before the second trial: what else made servers end is over by then, or known.
  Duration trial_pause = std::chrono::seconds(10);
  /// A suspect is forgotten so long after the last server ended under it.
  Duration memory = std::chrono::hours(1);
  /// An answer is remembered for as long as nodes may still tell of the rounds before.
  Duration answer_memory = std::chrono::minutes(1);
};

/// Counters for /metrics. Never reset.
struct CrashSuspectStatistics {
  std::uint64_t server_ends = 0;  ///< Of the own server, with requests on it.
  std::uint64_t cleared = 0;      ///< Suspects that a server answered here.
  std::uint64_t forgotten = 0;    ///< Records that made room for others.
};

class CrashSuspects {
 public:
  /// A request becomes a suspect of trials, or stops being one.
  using VerdictListener = std::function<void(RequestFingerprint request, std::size_t ends)>;

  explicit CrashSuspects(const CrashSuspectSettings& settings = {}) : settings_(settings) {}

  CrashVerdict verdict(RequestFingerprint request, TimePoint now) const;
  /// How long until a trial is due; nothing when none will be.
  std::optional<Duration> trialIn(RequestFingerprint request, TimePoint now) const;
  std::size_t ends(RequestFingerprint request) const;

  /// The own server ended with these requests on it. May be called again with more of the same end.
  void onServerEnd(ServerEndId end, std::span<const RequestFingerprint> requests, TimePoint now);
  /// A trial that may have run ended without an answer.
  void onTrialFailed(RequestFingerprint request, TrialId trial, TimePoint now);
  /// A server answered the request: it does not end its servers.
  void onAnswered(RequestFingerprint request, TimePoint now);

  /// Takes in what another node told. Returns whether any of it was news.
  bool merge(std::span<const SuspectReport> reports, TimePoint now);
  /// Reports of all requests under suspicion, most ends first, at most `most`.
  std::vector<SuspectReport> reports(TimePoint now, std::size_t most) const;
  /// What this node holds of later rounds than `reports`, which their sender missed.
  std::vector<SuspectReport> laterThan(std::span<const SuspectReport> reports, TimePoint now) const;
  /// Reports of what this node learned after `since`, at most `most`, newest first.
  std::vector<SuspectReport> news(TimePoint since, TimePoint now, std::size_t most) const;
  /// Equal at nodes that hold the same under suspicion.
  std::uint64_t summary() const;
  void forgetOld(TimePoint now);

  /// Called after each change that others should hear of soon. An answer after a single end can
  /// wait for the next message: the end held nothing back.
  void onChange(std::function<void()> callback) { on_change_ = std::move(callback); }
  void onVerdict(VerdictListener listener) { on_verdict_ = std::move(listener); }
  std::size_t size() const { return records_.size(); }
  const CrashSuspectStatistics& statistics() const { return statistics_; }

 private:
  struct Record {
    std::uint32_t round = 0;
    std::vector<ServerEndId> ends;  ///< Sorted; at most kMostIds.
    std::vector<TrialId> trials;    ///< Likewise.
    TimePoint changed_at;           ///< Its last end, trial or answer.
    TimePoint learned_at;           ///< Here.
  };
  using Records = std::unordered_map<RequestFingerprint, Record>;

  static bool isSuspected(const Record& record);
  static SuspectReport reportOf(RequestFingerprint request, const Record& record, TimePoint now) {
    return {request, record.round, now - record.changed_at, record.ends, record.trials};
  }
  TimePoint trialAt(const Record& record) const;
  bool isOld(const Record& record, TimePoint now) const;
  bool take(const SuspectReport& report, TimePoint now);
  bool mergeRound(Record& record, const Record& told) const;
  void addEnd(RequestFingerprint request, ServerEndId end, TimePoint now);
  void tellVerdict(RequestFingerprint request, std::size_t ends_before, std::size_t ends) const;
  void makeRoom();
  void tellChange() const {
    if (on_change_) on_change_();
  }

  CrashSuspectSettings settings_;
  Records records_;
  std::function<void()> on_change_;
  VerdictListener on_verdict_;
  CrashSuspectStatistics statistics_;
  ServerEndId last_own_end_ = 0;
};

}  // namespace coursepond::admission
