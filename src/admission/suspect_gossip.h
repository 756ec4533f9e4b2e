#pragma once

/// Spreads crash suspects between nodes by push-pull gossip.
///
/// A node whose table changed sends the changes to a few other nodes at once, which do the same,
/// and then to one more after each of a few growing pauses. In addition, each node periodically
/// compares a summary of its table with one other node, so that a node that was partitioned,
/// suspended or not yet started learns what it missed without anyone having to detect that. No node
/// has a special role, so a report that was sent survives the loss of its sender.

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission/crash_suspects.h"
#include "core/environment.h"

namespace coursepond::admission {

struct SuspectMessage {
  std::uint64_t summary = 0;  ///< CrashSuspects::summary() of the sender.
  std::vector<SuspectReport> reports;
};

/// Sends messages to other nodes.
class SuspectPeers {
 public:
  /// Called with the other node's message, or with nothing if it did not answer.
  using Callback = std::function<void(const std::optional<SuspectMessage>&)>;
  virtual ~SuspectPeers() = default;
  virtual void exchange(const std::string& host, const SuspectMessage& message,
                        Callback callback) = 0;
};

struct SuspectGossipSettings {
  /// Pause between two exchanges while nothing changes.
  Duration longest_pause = std::chrono::milliseconds(1500);
  /// Pause after a change. Doubles with each round up to `longest_pause`.
  Duration first_pause = std::chrono::milliseconds(200);
  /// Number of nodes that a change is sent to at once. With three, 95% of the nodes learn of it in
  /// the first wave.
  std::size_t fan_out = 3;
  /// A round that is late by more than this means that the whole process was paused. It may have
  /// missed many changes and exchanges with `fan_out` nodes at once.
  Duration pause_threshold = std::chrono::milliseconds(700);
};

/// Counters for /metrics. Never reset.
struct SuspectGossipStatistics {
  std::uint64_t exchanges = 0;
  std::uint64_t failures = 0;  ///< Exchanges without an answer.
};

class SuspectGossip {
 public:
  /// All arguments must outlive the gossip. Installs itself as the change callback of `suspects`.
  SuspectGossip(CrashSuspects& suspects, SuspectPeers& peers, Environment& environment,
                const SuspectGossipSettings& settings = {});
  ~SuspectGossip();
  SuspectGossip(const SuspectGossip&) = delete;
  SuspectGossip& operator=(const SuspectGossip&) = delete;

  /// Takes effect from the next round on.
  void changeSettings(const SuspectGossipSettings& settings) { settings_ = settings; }
  /// Sets the IP addresses of the other nodes. Those of this node's zone are separate, because the
  /// others cost more to reach. The first call with any peer starts the rounds.
  void setPeers(std::vector<std::string> own_zone, std::vector<std::string> others);
  /// Called with a message from another node. Returns the reply.
  SuspectMessage onMessage(const SuspectMessage& message);
  const SuspectGossipStatistics& statistics() const { return statistics_; }

 private:
  void onSuspectsChanged();
  std::vector<SuspectReport> mergeAndReply(const SuspectMessage& message);
  void schedule(Duration pause);
  void runRound();
  std::vector<std::string> pickPeers(std::size_t count) const;
  const std::string& pickPeer() const;
  void exchange(const std::string& host, const SuspectMessage& message, bool may_answer);
  void onReply(const std::string& host, const std::optional<SuspectMessage>& reply,
               bool may_answer);

  CrashSuspects& suspects_;
  SuspectPeers& peers_;
  Environment& environment_;
  SuspectGossipSettings settings_;
  std::vector<std::string> own_zone_;
  std::vector<std::string> others_;
  Duration pause_;
  TimePoint due_;
  TimePoint last_round_;
  TimerId timer_ = 0;
  bool has_changes_ = false;
  SuspectGossipStatistics statistics_;
  /// Callbacks hold a weak reference, since replies may arrive after the gossip is destroyed.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace coursepond::admission
