#pragma once

/// Detects when the ingress's server ends (a crash or an exit), as opposed to a lost answer, and
/// reports the requests that ran when it ended.
///
/// A connection that is lost during a request proves little: servers reset connections when they
/// are full, and lose single answers. So the watch checks whether the server's port is still open.
/// If the port is closed, or another instance of the server appears soon after, the server has
/// ended, and the requests lost since the port was last seen open are reported. A server that is
/// silent or partitioned does not close its port and counts as running. A planned exit with
/// requests in flight counts as an end; these requests are answered by other servers, which clears
/// the suspicion.

#include <deque>
#include <functional>
#include <optional>
#include <span>

#include "core/environment.h"
#include "core/request_fingerprint.h"

namespace coursepond::ingress {

/// Result of a port check.
enum class ServerPort { kOpen, kClosed, kUnknown };

class ServerEndWatch {
 public:
  /// Called for each end of the server with the requests that were lost; called again with the same
  /// end for requests whose loss is detected later.
  using EndHandler =
      std::function<void(ServerEndId end, std::span<const RequestFingerprints> requests)>;

  /// `environment` must outlive the watch.
  explicit ServerEndWatch(Environment& environment) : environment_(environment) {}
  ~ServerEndWatch() { environment_.cancel(port_check_timer_); }
  ServerEndWatch(const ServerEndWatch&) = delete;
  ServerEndWatch& operator=(const ServerEndWatch&) = delete;

  /// `ask` is called when the port should be checked; pass the result to onPort().
  void onPortCheckNeeded(std::function<void()> ask) { check_port_ = std::move(ask); }
  void onEnd(EndHandler handler) { on_end_ = std::move(handler); }

  /// Called when a request that was sent to the server at `sent` lost its connection before its
  /// answer was complete.
  void onLost(const RequestFingerprints& request, TimePoint sent, TimePoint now);
  void onPort(ServerPort port, TimePoint now);
  /// Called when another instance of the server has the address.
  void onRestart(TimePoint now);

 private:
  struct Lost {
    RequestFingerprints request;
    TimePoint sent;
    TimePoint lost;
  };
  struct End {
    ServerEndId id = 0;
    TimePoint seen;
  };

  void checkPort(TimePoint now);
  void notify(std::span<const RequestFingerprints> requests) const {
    if (on_end_) on_end_(last_end_->id, requests);
  }
  void declareEnd(TimePoint now);
  void dropExpired(TimePoint now);

  Environment& environment_;
  std::function<void()> check_port_;
  EndHandler on_end_;
  std::deque<Lost> lost_;        ///< Lost requests of which it is unknown whether the server ended.
  std::optional<End> last_end_;  ///< The server's most recent end.
  TimePoint next_port_check_;
  TimePoint seen_open_;  ///< When the port was last found open.
  TimerId port_check_timer_ = 0;
  bool is_checking_port_ = false;
};

}  // namespace coursepond::ingress
