#pragma once

/// A virtual clock, environments that use it, and a network with faults, for deterministic tests of
/// classes without I/O. A run depends only on the seed.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>

#include "core/environment.h"
#include "core/ids.h"
#include "core/time.h"

namespace coursepond::testing {

/// Runs events in order of their time. Events with the same time run in the order they were added.
class VirtualTime {
 public:
  using EventKey = std::pair<TimePoint, std::uint64_t>;

  TimePoint now() const { return now_; }

  EventKey add(TimePoint when, std::function<void()> action) {
    const EventKey key{std::max(when, now_), next_++};
    events_.emplace(key, std::move(action));
    return key;
  }

  void remove(const EventKey& key) { events_.erase(key); }

  void runFor(Duration length) { runUntil(now_ + length); }

  /// Runs until `condition` returns true. Returns false if `limit` expires first.
  bool runUntilTrue(const std::function<bool()>& condition, Duration limit) {
    const TimePoint end = now_ + limit;
    while (!condition()) {
      if (!runNext(end)) {
        now_ = end;
        return condition();
      }
    }
    return true;
  }

 private:
  void runUntil(TimePoint end) {
    while (runNext(end)) {
    }
    now_ = end;
  }

  bool runNext(TimePoint end) {
    if (events_.empty() || events_.begin()->first.first > end) {
      return false;
    }
    auto event = events_.extract(events_.begin());
    now_ = event.key().first;
    event.mapped()();
    return true;
  }

  TimePoint now_ = TimePoint(std::chrono::seconds(1000));
  std::uint64_t next_ = 1;
  std::map<EventKey, std::function<void()>> events_;
};

/// Environment of one process. Timers that expire while it is paused fire when the pause ends.
class VirtualEnvironment final : public Environment {
 public:
  VirtualEnvironment(VirtualTime& time, std::uint64_t seed) : time_(time), random_(seed) {}
  ~VirtualEnvironment() override {
    for (const auto& [id, key] : timers_) {
      time_.remove(key);
    }
  }

  TimePoint now() const override { return time_.now(); }

  TimerId schedule(Duration delay, std::function<void()> callback) override {
    const TimerId id = next_++;
    arm(id, time_.now() + delay, std::move(callback));
    return id;
  }

  void cancel(TimerId timer) override {
    const auto found = timers_.find(timer);
    if (found != timers_.end()) {
      time_.remove(found->second);
      timers_.erase(found);
    }
  }

  std::uint64_t random(std::uint64_t bound) override { return random_() % bound; }

  void pauseFor(Duration length) { paused_until_ = time_.now() + length; }
  bool paused() const { return time_.now() < paused_until_; }
  TimePoint pausedUntil() const { return paused_until_; }

 private:
  void arm(TimerId id, TimePoint when, std::function<void()> callback) {
    timers_[id] = time_.add(when, [this, id, callback = std::move(callback)]() mutable {
      if (paused()) {
        arm(id, paused_until_, std::move(callback));
        return;
      }
      timers_.erase(id);
      callback();
    });
  }

  VirtualTime& time_;
  std::mt19937_64 random_;
  TimerId next_ = 1;
  TimePoint paused_until_{};
  std::map<TimerId, VirtualTime::EventKey> timers_;
};

/// Faults and delays that the network applies to messages.
struct NetworkFaults {
  std::uint32_t loss_percent = 0;
  std::uint32_t duplicate_percent = 0;
  Duration latency = std::chrono::milliseconds(1);
  Duration jitter = std::chrono::milliseconds(1);  ///< Maximum random delay; may reorder messages.
};

/// Delivers messages between registered nodes.
template <typename Message>
class VirtualNetwork {
 public:
  using Receiver = std::function<void(const NodeId& from, const Message& message)>;
  /// Returns true if the message is to be dropped.
  using Filter = std::function<bool(const NodeId& from, const NodeId& to, const Message& message)>;

  VirtualNetwork(VirtualTime& time, std::uint64_t seed) : time_(time), random_(seed) {}

  void add(const NodeId& node, VirtualEnvironment& environment, Receiver receiver) {
    nodes_[node] = Node{&environment, std::move(receiver), ++last_incarnation_};
  }
  void remove(const NodeId& node) { nodes_.erase(node); }

  void setFaults(const NetworkFaults& faults) { faults_ = faults; }
  void setFilter(Filter filter) { filter_ = std::move(filter); }
  std::uint64_t sent() const { return sent_; }

  void send(const NodeId& from, const NodeId& to, const Message& message) {
    ++sent_;
    if ((filter_ && filter_(from, to, message)) || chance(faults_.loss_percent)) {
      return;
    }
    deliverLater(from, to, message);
    if (chance(faults_.duplicate_percent)) {
      deliverLater(from, to, message);
    }
  }

  /// Returns a sender whose messages come from this node.
  std::unique_ptr<MessageSender<Message>> senderOf(const NodeId& node) {
    return std::make_unique<Sender>(*this, node);
  }

 private:
  struct Node {
    VirtualEnvironment* environment = nullptr;
    Receiver receiver;
    std::uint64_t incarnation = 0;
  };

  class Sender final : public MessageSender<Message> {
   public:
    Sender(VirtualNetwork& network, NodeId node) : network_(network), node_(std::move(node)) {}
    void send(const NodeId& to, const Message& message) override {
      network_.send(node_, to, message);
    }

   private:
    VirtualNetwork& network_;
    NodeId node_;
  };

  bool chance(std::uint32_t percent) { return percent > 0 && random_() % 100 < percent; }

  void deliverLater(const NodeId& from, const NodeId& to, const Message& message) {
    const auto node = nodes_.find(to);
    if (node == nodes_.end()) {
      return;
    }
    const auto bound = static_cast<std::uint64_t>(faults_.jitter.count()) + 1;
    const Duration delay = faults_.latency + Duration(random_() % bound);
    deliverAt(time_.now() + delay, node->second.incarnation, from, to, message);
  }

  void deliverAt(TimePoint when, std::uint64_t incarnation, const NodeId& from, const NodeId& to,
                 const Message& message) {
    time_.add(when, [this, incarnation, from, to, message] {
      const auto node = nodes_.find(to);
      if (node == nodes_.end() || node->second.incarnation != incarnation) {
        return;
      }
      if (node->second.environment->paused()) {
        deliverAt(node->second.environment->pausedUntil(), incarnation, from, to, message);
        return;
      }
      const Receiver receiver = node->second.receiver;
      receiver(from, message);
    });
  }

  VirtualTime& time_;
  std::mt19937_64 random_;
  NetworkFaults faults_;
  Filter filter_;
  std::uint64_t sent_ = 0;
  std::uint64_t last_incarnation_ = 0;
  std::map<NodeId, Node> nodes_;
};

}  // namespace coursepond::testing
