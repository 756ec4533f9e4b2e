#include "source/watch_loop.h"

#include <algorithm>
#include <memory>

namespace coursepond::source {
namespace {

constexpr std::uint32_t kLargestBackoffShift = 8;

}  // namespace

WatchLoop::WatchLoop(const WatchSettings& settings, WatchClient& client, Environment& environment,
                     BatchHandler on_batch, FailureHandler on_failure)
    : settings_(settings),
      client_(client),
      environment_(environment),
      on_batch_(std::move(on_batch)),
      on_failure_(std::move(on_failure)) {}

WatchLoop::~WatchLoop() { stop(); }

void WatchLoop::start() {
  if (running_) return;
  running_ = true;
  list();
}

void WatchLoop::stop() {
  running_ = false;
  ++read_;
  environment_.cancel(timer_);
}

void WatchLoop::resumeFrom(Generation revision) {
  if (revision <= revision_) return;
  revision_ = revision;
  has_listed_ = true;
  must_list_ = false;
  last_list_ = environment_.now();
}

WatchCallback WatchLoop::guarded(void (WatchLoop::*handler)(const Result<WatchBatch>&)) {
  const std::uint64_t read = ++read_;
  return
      [this, read, handler, alive = std::weak_ptr<int>(alive_)](const Result<WatchBatch>& answer) {
        if (alive.expired() || read != read_ || !running_) return;
        (this->*handler)(answer);
      };
}

Duration WatchLoop::timeout() const {
  return failures_in_a_row_ == 0 ? settings_.answer_timeout : settings_.patient_timeout;
}

void WatchLoop::list() {
  ++statistics_.lists;
  client_.list(timeout(), guarded(&WatchLoop::onList));
}

void WatchLoop::watch() {
  ++statistics_.watches;
  // After a failure it must show soon whether the source answers again: don't wait for a change.
  const Duration wait = failures_in_a_row_ == 0 ? settings_.wait : Duration(0);
  client_.watch(revision_, wait, wait + timeout(), guarded(&WatchLoop::onWatch));
}

void WatchLoop::onList(const Result<WatchBatch>& answer) {
  if (!answer) return onFailed(answer.error());
  noteAnswer(*answer);
  last_list_ = environment_.now();
  must_list_ = false;
  has_listed_ = true;
  // A list may come from a replica that is behind: what is held never goes back.
  if (answer->revision >= revision_) {
    revision_ = answer->revision;
    on_batch_(*answer, true);
  }
  watch();
}

void WatchLoop::onWatch(const Result<WatchBatch>& answer) {
  if (!answer) return onFailed(answer.error());
  noteAnswer(*answer);
  revision_ = std::max(revision_, answer->revision);
  on_batch_(*answer, false);
  const bool is_due =
      settings_.relist > Duration(0) && environment_.now() - last_list_ >= settings_.relist;
  if (is_due) return list();
  const bool has_changes = !answer->configurations.empty() || !answer->servers.empty() ||
                           !answer->removed_servers.empty();
  has_changes ? watchLater(settings_.gather) : watch();
}

void WatchLoop::noteAnswer(const WatchBatch& batch) {
  failures_in_a_row_ = 0;
  statistics_.rejected += batch.rejected.size();
}

void WatchLoop::onFailed(const Error& error) {
  ++statistics_.failures;
  if (error.kind == ErrorKind::kBaseMismatch) {
    ++statistics_.history_lost;
    const bool is_first = !must_list_;
    must_list_ = true;
    on_failure_(error);
    if (is_first) return list();
  } else {
    on_failure_(error);
  }
  const std::uint32_t shift = std::min(failures_in_a_row_++, kLargestBackoffShift);
  const Duration ceiling =
      std::min(settings_.backoff_base * (1U << shift), settings_.backoff_limit);
  const auto half = static_cast<std::uint64_t>(ceiling.count() / 2);
  const Duration pause(static_cast<Duration::rep>(half + environment_.random(half + 1)));
  watchLater(pause);
}

void WatchLoop::watchLater(Duration pause) {
  timer_ = environment_.schedule(pause, [this] { must_list_ ? list() : watch(); });
}

}  // namespace coursepond::source
