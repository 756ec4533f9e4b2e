#pragma once

/// How a node that has just started, and knows no other, finds the machines among which the readers
/// of the source are chosen, without a whole read of the source: those of all nodes of a fleet that
/// starts grow with the square of its size (at 200 servers a page, five pages for each of 984).
///
///   1. It samples the source: some servers, and so the machines of some nodes.
///   2. Where that was not all, it asks the ones that would be chosen among those for all servers.
///      If it would be chosen as a reader itself, it reads the source: others ask it.
///
/// What it learns so may be old, and is used for nothing but to choose whom to ask.

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
  /// A sample, or a peer's answer, that takes longer is not waited for: the source is read then.
  Duration sample_timeout = std::chrono::milliseconds(300);
  /// The same for a peer, which may wait for its own first answer.
  Duration peer_timeout = std::chrono::milliseconds(600);
  /// A peer that does not know is left for the next, so often.
  std::size_t most_peers = 3;
  /// Nothing is listed yet when a whole fleet starts: the sample is taken again after this,
  Duration sample_again = std::chrono::milliseconds(400);
  /// so often.
  std::size_t most_samples = 5;
};

class ReaderDiscovery {
 public:
  /// The machines that were found; none when the source has to be read.
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
  /// Callbacks hold a weak reference: they end with the discovery.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  FoundHandler on_found_;
  std::vector<std::string> to_ask_;
  std::size_t asked_ = 0;
  std::size_t samples_ = 0;
};

}  // namespace coursepond::source
