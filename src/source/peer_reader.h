#pragma once

/// Asks other nodes for their state while this node's own reads of the source fail. If the source
/// is unavailable when a node starts, only a peer can provide the configuration in force.

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

/// A request for another node's state.
struct StateRequest {
  Topic topic = Topic::kServers;
  SourceRevision after;  ///< The asker knows the servers or the drained zones up to it.
  Version version;       ///< kConfiguration: the version that the asker holds.
  /// Maximum time for which the peer may delay its answer until there is a change.
  Duration wait{};
  /// Only a peer whose state is as new as the source's may answer; others refuse (kOverloaded).
  bool only_fresh = false;
};

/// Receives an empty optional when the peer has nothing newer.
using PeerStateCallback = std::function<void(Result<std::optional<StateUpdate>>)>;

/// Reads the state of other nodes. Calls back exactly once, never from inside the call.
class PeerStateClient {
 public:
  virtual ~PeerStateClient() = default;
  /// Asks the node on `host` for everything newer than what `question` says the asker holds.
  virtual void read(const std::string& host, const StateRequest& question, Duration timeout,
                    PeerStateCallback callback) = 0;
  /// Like read(). Also calls `on_begun` when the first bytes of the answer arrive, at the latest
  /// before `callback`; a client that cannot tell never calls it.
  virtual void readWithProgress(const std::string& host, const StateRequest& question,
                                Duration timeout, std::function<void()> on_begun,
                                PeerStateCallback callback) {
    static_cast<void>(on_begun);
    read(host, question, timeout, std::move(callback));
  }
};

struct PeerReaderSettings {
  /// Time for which the source may fail before a peer is asked.
  Duration patience = std::chrono::milliseconds(300);
  /// Maximum interval between two questions; half of it is jitter.
  Duration interval = std::chrono::milliseconds(300);
  Duration timeout = std::chrono::milliseconds(500);
};

class PeerReader {
 public:
  /// Called with a peer's state that is newer than `held`.
  using StateHandler = std::function<void(Topic topic, const StateUpdate& update)>;

  /// `client`, `held` and `environment` must outlive the reader.
  PeerReader(const PeerReaderSettings& settings, PeerStateClient& client, const HeldState& held,
             Environment& environment, StateHandler on_state);
  ~PeerReader();
  PeerReader(const PeerReader&) = delete;
  PeerReader& operator=(const PeerReader&) = delete;

  /// Adds a machine that runs a node. Called also for nodes that connect to this one, so that a
  /// node that does not know any machine yet finds peers.
  void addPeer(const std::string& host);
  /// Called when a read of `topic` from the source failed or succeeded. Peers are asked about the
  /// topics whose reads fail.
  void onSourceFailed(Topic topic);
  void onSourceAnswered(Topic topic);
  /// Asks a few peers at once, even while the source answers: a restored source may have lost a
  /// version that a peer still holds.
  void askRandomPeers(Topic topic);
  /// Asks `peer`, unless a question about the topic is in flight.
  void askPeer(Topic topic, const std::string& peer);

  std::uint64_t asked() const { return asked_; }
  std::uint64_t learned() const { return learned_; }

 private:
  void schedule(Duration delay);
  void ask();
  void read(Topic topic, const std::string& peer, std::function<void()> on_answered);
  bool isNewer(Topic topic, const StateUpdate& update) const;
  void onAnswer(Topic topic, const Result<std::optional<StateUpdate>>& answer);
  const std::string& randomPeer();

  PeerReaderSettings settings_;
  PeerStateClient& client_;
  const HeldState& held_;
  Environment& environment_;
  StateHandler on_state_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  std::set<std::string> peers_;
  TimerId timer_ = 0;
  /// Topics with a question in flight: at most one each, since answers may be large.
  std::set<Topic> in_flight_;
  std::set<Topic> failing_;  ///< While not empty, a question is scheduled or in flight.
  std::uint64_t asked_ = 0;
  std::uint64_t learned_ = 0;
};

}  // namespace coursepond::source
