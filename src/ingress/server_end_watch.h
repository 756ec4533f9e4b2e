#pragma once

/// Tells an end of the own server from a lost answer, and names the requests that ran when it
/// ended.
///
/// A connection that is lost with a request on it says little: servers reset connections when they
/// are full, and lose single answers. So the server is asked whether its port is still open. If it
/// is closed, or another start of the server shows soon after, the server ended, under all that was
/// lost since. A server that is silent or cut off closes no port, and has not ended. One that ends
/// in a planned way with work on it has: that work is answered elsewhere, which clears it.

#include <deque>
#include <functional>
#include <optional>
#include <span>

#include "core/environment.h"
#include "core/request_fingerprint.h"

namespace coursepond::ingress {

/// What the server's port said.
enum class ServerPort { kOpen, kClosed, kUnknown };

class ServerEndWatch {
 public:
  /// Told of each end with the requests on it; again with those found later.
  using EndHandler =
      std::function<void(ServerEndId end, std::span<const RequestFingerprint> requests)>;

  /// `environment` must outlive the watch.
  explicit ServerEndWatch(Environment& environment) : environment_(environment) {}
  ~ServerEndWatch() { environment_.cancel(look_timer_); }
  ServerEndWatch(const ServerEndWatch&) = delete;
  ServerEndWatch& operator=(const ServerEndWatch&) = delete;

  /// Called when the port should be looked at; onPort() takes the answer.
  void onPortWanted(std::function<void()> ask) { ask_port_ = std::move(ask); }
  void onEnd(EndHandler handler) { on_end_ = std::move(handler); }

  /// A request that was sent to the server at `sent` lost its connection before its whole answer.
  void onLost(RequestFingerprint request, TimePoint sent, TimePoint now);
  void onPort(ServerPort port, TimePoint now);
  /// Another start of the server has the address.
  void onAnotherStart(TimePoint now);

 private:
  struct Lost {
    RequestFingerprint request;
    TimePoint sent;
    TimePoint lost;
  };
  struct End {
    ServerEndId id = 0;
    TimePoint seen;
  };

  void askPort(TimePoint now);
  void tell(std::span<const RequestFingerprint> requests) const {
    if (on_end_) on_end_(last_->id, requests);
  }
  void declareEnd(TimePoint now);
  void forgetOld(TimePoint now);

  Environment& environment_;
  std::function<void()> ask_port_;
  EndHandler on_end_;
  std::deque<Lost> lost_;    ///< Not known yet whether the server ended.
  std::optional<End> last_;  ///< Of the server's ends.
  TimePoint next_look_;
  TimePoint seen_open_;  ///< When the port was last open.
  TimerId look_timer_ = 0;
  bool is_asking_ = false;
};

}  // namespace coursepond::ingress
