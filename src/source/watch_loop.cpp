#include "source/watch_loop.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace coursepond::source {
namespace {

Error earlierEraError(SourceRevision answered, SourceRevision held) {
  return Error{ErrorKind::kUnavailable,
               "the source answers from " + formatRevision(answered) + ", an era before " +
                   formatRevision(held),
               "make sure that no process of the source from before its restore still answers"};
}

}  // namespace

WatchLoop::WatchLoop(const WatchSettings& settings, WatchClient& client, Environment& environment,
                     BatchHandler on_batch, FailureHandler on_failure)
    : settings_(settings),
      client_(client),
      environment_(environment),
      on_batch_(std::move(on_batch)),
      on_failure_(std::move(on_failure)),
      backoff_(Duration(0), settings.backoff_base, settings.backoff_limit) {}

WatchLoop::~WatchLoop() { stop(); }

void WatchLoop::start() {
  if (running_) return;
  running_ = true;
  list();
}

void WatchLoop::stop() {
  running_ = false;
  ++current_read_;
  environment_.cancel(timer_);
}

void WatchLoop::resumeFrom(SourceRevision revision) {
  if (revision <= revision_) return;
  revision_ = revision;
  has_listed_ = true;
  must_list_ = false;
  last_list_ = environment_.now();
}

WatchCallback WatchLoop::guarded(void (WatchLoop::*handler)(const Result<WatchBatch>&)) {
  const std::uint64_t read = ++current_read_;
  return
      [this, read, handler, alive = std::weak_ptr<int>(alive_)](const Result<WatchBatch>& answer) {
        if (alive.expired() || read != current_read_ || !running_) return;
        (this->*handler)(answer);
      };
}

Duration WatchLoop::timeout() const {
  return backoff_.failing() ? settings_.patient_timeout : settings_.answer_timeout;
}

void WatchLoop::list() {
  ++statistics_.lists;
  client_.list(timeout(), guarded(&WatchLoop::onList));
}

void WatchLoop::watch() {
  ++statistics_.watches;
  // After a failure, do not wait for a change, to find out soon whether the source answers again.
  const Duration wait = backoff_.failing() ? Duration(0) : settings_.wait;
  client_.watch(revision_, wait, wait + timeout(), guarded(&WatchLoop::onWatch));
}

void WatchLoop::onList(const Result<WatchBatch>& answer) {
  if (!answer) return onFailed(answer.error());
  if (answer->revision.era < revision_.era) {
    must_list_ = true;
    noteOutdated(*answer);
    return onFailed(earlierEraError(answer->revision, revision_));
  }
  noteAnswer(*answer);
  last_list_ = environment_.now();
  must_list_ = false;
  has_listed_ = true;
  // A list may come from a replica that lags behind: the held state must not go back.
  if (answer->revision >= revision_) {
    revision_ = answer->revision;
    applyBatch(*answer, true);
  } else {
    noteOutdated(*answer);
  }
  watch();
}

void WatchLoop::onWatch(const Result<WatchBatch>& answer) {
  if (!answer) return onFailed(answer.error());
  noteAnswer(*answer);
  lost_history_ = false;
  // A peer may have sent newer state while this read was in flight, so that the answer is stale.
  // Applying it could remove servers that came back since, and the next read would not return them.
  const bool is_stale = answer->revision < revision_;
  revision_ = std::max(revision_, answer->revision);
  is_stale ? noteOutdated(*answer) : applyBatch(*answer, answer->is_complete);
  const bool is_due =
      settings_.relist > Duration(0) && environment_.now() - last_list_ >= settings_.relist;
  if (is_due) return list();
  const bool has_changes =
      !is_stale && (!answer->configurations.empty() || !answer->zone_changes.empty() ||
                    !answer->servers.empty() || !answer->removed_servers.empty());
  // No pause after an answer of another node: that node already limits the rate of its reads.
  const Duration pause = settings_.gather - answer->transfer_time;
  const bool pauses = has_changes && !answer->is_relayed && pause > Duration(0);
  pauses ? watchLater(pause) : watch();
}

void WatchLoop::noteAnswer(const WatchBatch& batch) {
  backoff_.onSuccess();
  statistics_.rejected += batch.rejected.size();
}

void WatchLoop::applyBatch(const WatchBatch& batch, bool is_complete) {
  was_outdated_ = false;
  on_batch_(batch, is_complete);
}

void WatchLoop::noteOutdated(const WatchBatch& batch) {
  ++statistics_.outdated;
  const bool is_first = !std::exchange(was_outdated_, true);
  if (is_first && on_outdated_) on_outdated_(batch);
}

void WatchLoop::onFailed(const Error& error) {
  ++statistics_.failures;
  if (error.kind == ErrorKind::kBaseMismatch) {
    ++statistics_.history_lost;
    // Lists without a pause only after the first loss of history since an answered watch: the
    // source may drop its history faster than it is read.
    const bool is_first = !must_list_ && !std::exchange(lost_history_, true);
    must_list_ = true;
    on_failure_(error);
    if (is_first) return list();
  } else {
    must_list_ = must_list_ || error.kind == ErrorKind::kTooLarge;
    on_failure_(error);
  }
  backoff_.onFailure();
  watchLater(backoff_.next(environment_));
}

void WatchLoop::watchLater(Duration pause) {
  timer_ = environment_.schedule(pause, [this] { must_list_ ? list() : watch(); });
}

}  // namespace coursepond::source
