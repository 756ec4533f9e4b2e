#pragma once

/// Asks other nodes for what they know while this node's own reads of the source fail: after a
/// start the source may be away, and then only a peer can tell what is in force.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/environment.h"
#include "core/error.h"
#include "source/held_state.h"
#include "source/state_update.h"

namespace coursepond::source {

/// What a node asks another.
struct PeerQuestion {
  Topic topic = Topic::kServers;
  SourceRevision after;  ///< The servers, or the drained zones, are known up to here.
  Version version;       ///< kConfiguration: this one is held.
  /// How long the answer may wait for a change.
  Duration wait{};
  /// Only a peer that reads the source itself shall answer; others refuse (kOverloaded).
  bool only_fresh = false;
};

/// Nothing when the peer knows nothing newer.
using PeerStateCallback = std::function<void(Result<std::optional<StateUpdate>>)>;

/// Calls back exactly once, never from inside the call.
class PeerStateClient {
 public:
  virtual ~PeerStateClient() = default;
  /// Asks the node on `host` for what it knows beyond what `question` says is held.
  virtual void read(const std::string& host, const PeerQuestion& question, Duration timeout,
                    PeerStateCallback callback) = 0;
};

struct PeerReaderSettings {
  /// How long the source may fail before a peer is asked.
  Duration patience = std::chrono::milliseconds(300);
  /// Between two questions; half of it is jitter.
  Duration interval = std::chrono::milliseconds(300);
  Duration timeout = std::chrono::milliseconds(500);
};

class PeerReader {
 public:
  /// Told what a peer knows beyond `held`.
  using StateHandler = std::function<void(Topic topic, const StateUpdate& update)>;

  /// `client`, `held` and `environment` must outlive the reader.
  PeerReader(const PeerReaderSettings& settings, PeerStateClient& client, const HeldState& held,
             Environment& environment, StateHandler on_state);
  ~PeerReader();
  PeerReader(const PeerReader&) = delete;
  PeerReader& operator=(const PeerReader&) = delete;

  /// A machine that runs a node. Nodes that connect to this one are found so, even by a node that
  /// knows of no machine yet.
  void notePeer(const std::string& host);
  /// The source failed a read of `topic`, or answered one. Peers are asked about what fails.
  void onSourceFailed(Topic topic);
  void onSourceAnswered(Topic topic);
  /// Asks a few peers at once, whatever the source answers: one that was restored may have lost a
  /// version that a peer holds.
  void askSome(Topic topic);
  /// Asks this peer, unless a question about the topic is on its way.
  void askAbout(Topic topic, const std::string& peer);

  std::uint64_t asked() const { return asked_; }
  std::uint64_t learned() const { return learned_; }

 private:
  void schedule(Duration delay);
  void ask();
  void read(Topic topic, const std::string& peer, std::function<void()> on_answered);
  bool isNews(Topic topic, const StateUpdate& update) const;
  void onAnswer(Topic topic, const Result<std::optional<StateUpdate>>& answer);
  const std::string& anyPeer();

  PeerReaderSettings settings_;
  PeerStateClient& client_;
  const HeldState& held_;
  Environment& environment_;
  StateHandler on_state_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  std::set<std::string> peers_;
  TimerId timer_ = 0;
  std::set<Topic> asked_about_;  ///< A question is on its way: its answer may be large.
  std::set<Topic> failing_;      ///< While there is one, a question is scheduled or on its way.
  std::uint64_t asked_ = 0;
  std::uint64_t learned_ = 0;
};

}  // namespace coursepond::source
