#pragma once

/// Keeps this node current with a watched source: lists once, then watches from the last revision;
/// lists again when the source has lost its history; backs off with jitter while it fails.

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "core/environment.h"
#include "source/retry_backoff.h"
#include "source/watch_client.h"

namespace coursepond::source {

struct WatchSettings {
  /// The longest that a read waits for a change. Also how soon a silent connection is noticed.
  Duration wait = std::chrono::milliseconds(2000);
  /// Pause after a read of the source that brought changes, so that those in quick succession come
  /// in one read.
  Duration gather = std::chrono::milliseconds(500);
  /// A read without an answer for this long beyond its wait counts as failed.
  Duration answer_timeout = std::chrono::milliseconds(700);
  /// The same for a read that a slow source has failed before.
  Duration patient_timeout = std::chrono::milliseconds(1200);
  /// See RetryBackoff: the longest pause after the first failure, doubled with each further one.
  Duration backoff_base = std::chrono::milliseconds(100);
  Duration backoff_limit = std::chrono::milliseconds(800);
  /// What was held is listed anew after this, in case a change was missed. Zero: never.
  Duration relist = std::chrono::seconds(30);
};

struct WatchStatistics {
  std::uint64_t lists = 0;
  std::uint64_t watches = 0;
  std::uint64_t failures = 0;
  std::uint64_t history_lost = 0;
  std::uint64_t rejected = 0;  ///< Items that could not be read.
  std::uint64_t outdated = 0;  ///< Answers older than what is held; nothing is taken from them.
};

class WatchLoop {
 public:
  using BatchHandler = std::function<void(const WatchBatch& batch, bool is_complete)>;
  using FailureHandler = std::function<void(const Error& error)>;

  /// `client` and `environment` must outlive the loop.
  WatchLoop(const WatchSettings& settings, WatchClient& client, Environment& environment,
            BatchHandler on_batch, FailureHandler on_failure);
  ~WatchLoop();
  WatchLoop(const WatchLoop&) = delete;
  WatchLoop& operator=(const WatchLoop&) = delete;

  /// Called with the first of several outdated answers in a row.
  void onOutdated(std::function<void(const WatchBatch& answer)> callback) {
    on_outdated_ = std::move(callback);
  }

  void start();
  void stop();

  /// Everything up to `revision` is known from elsewhere: go on from there.
  void resumeFrom(SourceRevision revision);

  bool hasListed() const { return has_listed_; }
  SourceRevision revision() const { return revision_; }
  const WatchStatistics& statistics() const { return statistics_; }

 private:
  void list();
  void watch();
  void watchLater(Duration pause);
  void onList(const Result<WatchBatch>& answer);
  void onWatch(const Result<WatchBatch>& answer);
  void onFailed(const Error& error);
  void noteAnswer(const WatchBatch& batch);
  void noteOutdated(const WatchBatch& batch);
  void takeIn(const WatchBatch& batch, bool is_complete);
  Duration timeout() const;
  WatchCallback guarded(void (WatchLoop::*handler)(const Result<WatchBatch>&));

  const WatchSettings& settings_;
  WatchClient& client_;
  Environment& environment_;
  BatchHandler on_batch_;
  FailureHandler on_failure_;
  std::function<void(const WatchBatch&)> on_outdated_;
  /// Callbacks of earlier reads hold a weak reference: they end with the loop.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  std::uint64_t read_ = 0;  ///< Answers to earlier reads are ignored.
  TimerId timer_ = 0;
  bool running_ = false;
  bool has_listed_ = false;
  bool must_list_ = true;
  bool lost_history_ = false;  ///< Since the last watch that was answered.
  bool was_outdated_ = false;  ///< The last answer.
  RetryBackoff backoff_;
  SourceRevision revision_;
  TimePoint last_list_;
  WatchStatistics statistics_;
};

}  // namespace coursepond::source
