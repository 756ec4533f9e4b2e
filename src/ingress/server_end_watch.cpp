#include "ingress/server_end_watch.h"

#include <utility>
#include <vector>

namespace coursepond::ingress {
namespace {

/// Another start that shows later than this says nothing about what was lost.
constexpr Duration kRestartSeen = std::chrono::seconds(3);
/// A server that loses answers for long is not looked at for each of them: it would cost it a
/// connection each. One that ended is away for longer than this.
constexpr Duration kLookPause = std::chrono::milliseconds(100);
/// More requests than a server runs at a time.
constexpr std::size_t kMostLost = 1024;

}  // namespace

void ServerEndWatch::onLost(RequestFingerprint request, TimePoint sent, TimePoint now) {
  if (request.empty()) return;
  // What was sent before the server was found to have ended, ended with it.
  if (last_ && sent <= last_->seen) {
    return tell(std::vector{request});
  }
  forgetOld(now);
  if (lost_.size() >= kMostLost) lost_.pop_front();
  lost_.push_back({request, sent, now});
  askPort(now);
}

void ServerEndWatch::askPort(TimePoint now) {
  if (!ask_port_ || std::exchange(is_asking_, true)) return;
  if (now >= next_look_) {
    next_look_ = now + kLookPause;
    return ask_port_();
  }
  look_timer_ = environment_.schedule(next_look_ - now, [this] {
    next_look_ = environment_.now() + kLookPause;
    ask_port_();
  });
}

void ServerEndWatch::onPort(ServerPort port, TimePoint now) {
  is_asking_ = false;
  if (port == ServerPort::kOpen) seen_open_ = now;
  if (port != ServerPort::kClosed) return;
  // What was lost while the port was still open did not end with the server.
  std::erase_if(lost_, [this](const Lost& lost) { return lost.lost < seen_open_; });
  declareEnd(now);
}

void ServerEndWatch::onAnotherStart(TimePoint now) {
  forgetOld(now);
  declareEnd(now);
}

void ServerEndWatch::declareEnd(TimePoint now) {
  if (lost_.empty()) return;
  last_ = End{environment_.random(UINT64_MAX), now};
  std::vector<RequestFingerprint> requests;
  for (const Lost& lost : std::exchange(lost_, {})) requests.push_back(lost.request);
  tell(requests);
}

void ServerEndWatch::forgetOld(TimePoint now) {
  while (!lost_.empty() && now - lost_.front().lost > kRestartSeen) lost_.pop_front();
}

}  // namespace coursepond::ingress
