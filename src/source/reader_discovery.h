#pragma once

/// Finds the machines among which the readers of the source are chosen, for a node that has just
/// started and does not know any other node. It avoids a complete list of the source: when a whole
/// fleet starts, the cost of such lists grows with the square of the fleet's size (with 200 servers
/// per page, five pages for each of 984 nodes).
///
///   1. The node reads a sample of the servers from the source, and so learns of some machines.
///   2. If the sample was not complete, the node asks the machines that would be chosen as parents
///      among the sampled ones for all servers. If it would be chosen as a reader itself, it reads
///      the source, since other nodes ask it.
///
/// The result may be stale, and is used only to choose which nodes to ask.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/environment.h"
#include "source/peer_reader.h"
#include "source/reader_choice.h"
#include "source/watch_client.h"

namespace coursepond::source {

struct DiscoverySettings {
  /// Timeout for the sample. When it expires, the node reads the source instead.
  Duration sample_timeout = std::chrono::milliseconds(300);
  /// Timeout for a peer's answer. Longer, since the peer may wait for its own first answer.
  Duration peer_timeout = std::chrono::milliseconds(600);
  /// Upper bound for the peers that are asked, one after the other.
  std::size_t max_peers = 3;
  /// Delay before another sample after an empty one: when a whole fleet starts, the source does not
  /// list any server yet.
  Duration sample_retry_delay = std::chrono::milliseconds(400);
  /// Upper bound for the number of samples.
  std::size_t max_samples = 5;
};

class ReaderDiscovery {
 public:
  /// Called with the machines found, or with none when the source has to be read.
  using FoundHandler = std::function<void(const std::vector<NodeMachine>& machines)>;

  /// `source`, `peers` and `environment` must outlive the discovery.
  ReaderDiscovery(const DiscoverySettings& settings, NodeMachine own, WatchClient& source,
                  PeerStateClient& peers, Environment& environment);

  /// Calls back once, not from inside this call.
  void start(FoundHandler on_found);

 private:
  void takeSample();
  void onSample(const Result<WatchBatch>& sample);
  void askNext();
  void onPeerAnswer(const Result<std::optional<StateUpdate>>& answer);
  void finish(const std::vector<NodeMachine>& machines);

  const DiscoverySettings settings_;
  const NodeMachine own_;
  WatchClient& source_;
  PeerStateClient& peers_;
  Environment& environment_;
  /// Callbacks hold a weak reference, and do nothing once the discovery is destroyed.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  FoundHandler on_found_;
  std::vector<std::string> candidates_;
  std::size_t asked_ = 0;
  std::size_t samples_ = 0;
};

}  // namespace coursepond::source
