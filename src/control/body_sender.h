#pragma once

#include <functional>
#include <memory>
#include <set>
#include <utility>

#include "control/peer_message.h"
#include "core/environment.h"

namespace coursepond::control {

/// Sends messages of one protocol as peer messages. A message to this node itself is delivered by a
/// timer, never from inside `send`.
template <typename Body>
class BodySender final : public MessageSender<Body> {
 public:
  using Loopback = std::function<void(const NodeId& from, const Body& body)>;

  BodySender(NodeId self, Environment& environment, MessageSender<PeerMessage>& sender,
             Loopback loopback)
      : self_(std::move(self)),
        environment_(environment),
        sender_(sender),
        loopback_(std::move(loopback)) {}
  ~BodySender() override { cancelTimers(); }
  BodySender(const BodySender&) = delete;
  BodySender& operator=(const BodySender&) = delete;

  void send(const NodeId& to, const Body& message) override {
    if (closed_) {
      return;
    }
    if (to == self_) {
      deliverHere(message);
    } else {
      sender_.send(to, PeerMessage(message));
    }
  }

  /// Drops all later messages, and those to this node that are still pending.
  void close() {
    closed_ = true;
    cancelTimers();
  }

 private:
  void deliverHere(const Body& message) {
    const auto timer = std::make_shared<TimerId>(0);
    *timer = environment_.schedule(Duration::zero(), [this, message, timer] {
      timers_.erase(*timer);
      loopback_(self_, message);
    });
    timers_.insert(*timer);
  }

  void cancelTimers() {
    for (const TimerId timer : timers_) {
      environment_.cancel(timer);
    }
    timers_.clear();
  }

  NodeId self_;
  Environment& environment_;
  MessageSender<PeerMessage>& sender_;
  Loopback loopback_;
  std::set<TimerId> timers_;
  bool closed_ = false;
};

}  // namespace coursepond::control
