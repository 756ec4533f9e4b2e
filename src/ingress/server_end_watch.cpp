#include "ingress/server_end_watch.h"

#include <utility>
#include <vector>

namespace coursepond::ingress {
namespace {

/// A restart that is detected later than this after a loss is not taken as its cause.
constexpr Duration kRestartWindow = std::chrono::seconds(3);
/// Minimum time between two port checks. Each check costs the server a connection, so a server that
/// keeps losing answers is not checked for each of them. A server that ended is down for longer
/// than this.
constexpr Duration kPortCheckInterval = std::chrono::milliseconds(100);
/// More requests than a server ever runs at a time.
constexpr std::size_t kMaxLostRequests = 1024;

}  // namespace

void ServerEndWatch::onLost(const RequestFingerprints& request, TimePoint sent, TimePoint now) {
  if (request.empty()) return;
  // A request that was sent before the last end was detected belongs to that end.
  if (last_end_ && sent <= last_end_->seen) {
    return notify(std::vector{request});
  }
  dropExpired(now);
  if (lost_.size() >= kMaxLostRequests) lost_.pop_front();
  lost_.push_back({request, sent, now});
  checkPort(now);
}

void ServerEndWatch::checkPort(TimePoint now) {
  if (!check_port_ || std::exchange(is_checking_port_, true)) return;
  if (now >= next_port_check_) {
    next_port_check_ = now + kPortCheckInterval;
    return check_port_();
  }
  port_check_timer_ = environment_.schedule(next_port_check_ - now, [this] {
    next_port_check_ = environment_.now() + kPortCheckInterval;
    check_port_();
  });
}

void ServerEndWatch::onPort(ServerPort port, TimePoint now) {
  is_checking_port_ = false;
  if (port == ServerPort::kOpen) seen_open_ = now;
  if (port != ServerPort::kClosed) return;
  // Requests that were lost before the port was last seen open were not lost by this end.
  std::erase_if(lost_, [this](const Lost& lost) { return lost.lost < seen_open_; });
  declareEnd(now);
}

void ServerEndWatch::onRestart(TimePoint now) {
  dropExpired(now);
  declareEnd(now);
}

void ServerEndWatch::declareEnd(TimePoint now) {
  if (lost_.empty()) return;
  last_end_ = End{environment_.random(UINT64_MAX), now};
  std::vector<RequestFingerprints> requests;
  for (const Lost& lost : std::exchange(lost_, {})) requests.push_back(lost.request);
  notify(requests);
}

void ServerEndWatch::dropExpired(TimePoint now) {
  while (!lost_.empty() && now - lost_.front().lost > kRestartWindow) lost_.pop_front();
}

}  // namespace coursepond::ingress
