#include "runtime/deadline_watch.h"

#include <utility>

namespace coursepond::runtime {

Watched::Watched(std::shared_ptr<DeadlineWatch> watch) : watch_(std::move(watch)) {
  watch_->add(*this);
}

Watched::~Watched() { watch_->remove(*this); }

DeadlineWatch::DeadlineWatch(boost::asio::io_context& context, Duration tick)
    : timer_(context), tick_(tick) {}

DeadlineWatch::~DeadlineWatch() { timer_.cancel(); }

void DeadlineWatch::add(Watched& watched) {
  watched.index_ = watched_.size();
  watched_.push_back(&watched);
  if (!armed_) arm();
}

void DeadlineWatch::remove(Watched& watched) {
  Watched* const last = watched_.back();
  watched_[watched.index_] = last;
  last->index_ = watched.index_;
  watched_.pop_back();
  if (!watched_.empty()) return;
  armed_ = false;
  timer_.cancel();
}

void DeadlineWatch::arm() {
  armed_ = true;
  timer_.expires_after(tick_);
  timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
    const std::shared_ptr<DeadlineWatch> watch = weak.lock();
    if (!error && watch) watch->onTick();
  });
}

void DeadlineWatch::onTick() {
  const TimePoint now = BootClock::now();
  // An expiry callback may remove entries, including its own. The last entry then moves into the
  // free slot.
  for (std::size_t index = 0; index < watched_.size();) {
    Watched* const watched = watched_[index];
    if (watched->deadline_ <= now) {
      watched->expireNever();
      watched->onDeadline();
    }
    const bool still_there = index < watched_.size() && watched_[index] == watched;
    if (still_there) ++index;
  }
  armed_ = false;
  if (!watched_.empty()) arm();
}

}  // namespace coursepond::runtime
