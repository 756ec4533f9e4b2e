#pragma once

/// Spreads what nodes know of crash suspects: push-pull gossip.
///
/// A node with news tells a few others at once, which do the same, and then one more after each of
/// a few growing pauses. Besides, each node compares a summary of its table with one other now and
/// then, so that whoever was cut off, suspended or not yet started learns what it missed without
/// anybody knowing that it did. No node has a part of its own in this, so that losing any of them
/// loses nothing that it has told.

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
  std::uint64_t summary = 0;  ///< Of the sender's table.
  std::vector<SuspectReport> reports;
};

/// Other nodes, as the gossip needs them.
class SuspectPeers {
 public:
  /// With the other node's message; nothing when it did not answer.
  using Callback = std::function<void(const std::optional<SuspectMessage>&)>;
  virtual ~SuspectPeers() = default;
  virtual void exchange(const std::string& host, const SuspectMessage& message,
                        Callback callback) = 0;
};

struct SuspectGossipSettings {
  /// Between two comparisons when there is no news.
  Duration longest_pause = std::chrono::milliseconds(1500);
  /// After news; doubles up to the longest.
  Duration first_pause = std::chrono::milliseconds(200);
  /// Nodes that are told news at once. With three, 0.95 of the nodes hear of it in the first wave.
  std::size_t fan_out = 3;
  /// A round that comes this late was held up with the whole process: much may have been missed.
  Duration held_up = std::chrono::milliseconds(700);
};

/// Counters for /metrics. Never reset.
struct SuspectGossipStatistics {
  std::uint64_t exchanges = 0;
  std::uint64_t failures = 0;  ///< Exchanges without an answer.
};

class SuspectGossip {
 public:
  /// All must outlive the gossip; `suspects` has no other change handler.
  SuspectGossip(CrashSuspects& suspects, SuspectPeers& peers, Environment& environment,
                const SuspectGossipSettings& settings = {});
  ~SuspectGossip();
  SuspectGossip(const SuspectGossip&) = delete;
  SuspectGossip& operator=(const SuspectGossip&) = delete;

  /// From the next round on.
  void changeSettings(const SuspectGossipSettings& settings) { settings_ = settings; }
  /// The other nodes, by IP number: those of the own zone apart, since others cost more to reach.
  /// The first call with any begins the rounds.
  void setPeers(std::vector<std::string> own_zone, std::vector<std::string> others);
  /// Another node's message; returns the answer to it.
  SuspectMessage onMessage(const SuspectMessage& message);
  const SuspectGossipStatistics& statistics() const { return statistics_; }

 private:
  void onNews();
  std::vector<SuspectReport> answerTo(const SuspectMessage& message);
  void schedule(Duration pause);
  void round();
  std::vector<std::string> draw(std::size_t count) const;
  const std::string& drawOne() const;
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
  bool has_news_ = false;
  SuspectGossipStatistics statistics_;
  /// Exchanges may be answered after the end of this.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace coursepond::admission
