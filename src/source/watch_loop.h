#pragma once

/// Keeps this node up to date with a watched source: lists once, then watches from the last
/// revision. Lists again when the source no longer has the history, and backs off with jitter while
/// it fails.

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "core/environment.h"
#include "source/retry_backoff.h"
#include "source/watch_client.h"

namespace coursepond::source {

struct WatchSettings {
  /// Maximum time that a read waits for a change. Also bounds how late a dead connection is
  /// noticed.
  Duration wait = std::chrono::milliseconds(2000);
  /// Pause after a read of the source that returned changes, so that changes in quick succession
  /// are returned by one read. The time that the answer took to arrive counts towards it, since the
  /// next read already returns what was changed in that time.
  Duration gather = std::chrono::milliseconds(500);
  /// A read that is not answered within this time after its wait counts as failed.
  Duration answer_timeout = std::chrono::milliseconds(700);
  /// Replaces `answer_timeout` after a failed read, in case the source is slow.
  Duration patient_timeout = std::chrono::milliseconds(1200);
  /// Upper bounds for the pause after the first failure, which doubles with each further one, and
  /// for any pause; see RetryBackoff.
  Duration backoff_base = std::chrono::milliseconds(100);
  Duration backoff_limit = std::chrono::milliseconds(800);
  /// Interval between lists, in case a change was missed. Zero: never.
  Duration relist = std::chrono::seconds(30);
};

struct WatchStatistics {
  std::uint64_t lists = 0;
  std::uint64_t watches = 0;
  std::uint64_t failures = 0;
  std::uint64_t history_lost = 0;
  std::uint64_t rejected = 0;  ///< Items that could not be decoded.
  std::uint64_t outdated = 0;  ///< Answers older than the held state, which are ignored.
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

  /// Continues from `revision`, up to which everything is known from another node.
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
  void applyBatch(const WatchBatch& batch, bool is_complete);
  Duration timeout() const;
  WatchCallback guarded(void (WatchLoop::*handler)(const Result<WatchBatch>&));

  const WatchSettings& settings_;
  WatchClient& client_;
  Environment& environment_;
  BatchHandler on_batch_;
  FailureHandler on_failure_;
  std::function<void(const WatchBatch&)> on_outdated_;
  /// Callbacks hold a weak reference, and do nothing once the loop is destroyed.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  /// Number of the current read; answers to earlier ones are ignored.
  std::uint64_t current_read_ = 0;
  TimerId timer_ = 0;
  bool running_ = false;
  bool has_listed_ = false;
  bool must_list_ = true;
  bool lost_history_ = false;  ///< Whether history was lost since the last answered watch.
  bool was_outdated_ = false;  ///< Whether the last answer was outdated.
  RetryBackoff backoff_;
  SourceRevision revision_;
  TimePoint last_list_;
  WatchStatistics statistics_;
};

}  // namespace coursepond::source
