#pragma once

/// Receives endpoint sets and forwards them to other nodes, independently of configuration content.

#include <cstdint>
#include <functional>
#include <vector>

#include "core/environment.h"
#include "distribution/endpoint_store.h"
#include "distribution/messages.h"
#include "distribution/peers.h"

namespace coursepond::distribution {

struct EndpointStatistics {
  std::uint64_t changes_applied = 0;
  std::uint64_t repairs = 0;  ///< Changes that arrived by anti-entropy instead of a push.
};

class EndpointReplication {
 public:
  using EndpointCallback = std::function<void(const model::EndpointSet&)>;

  EndpointReplication(Environment& environment, MessageSender<Message>& sender, const Peers& peers,
                      EndpointCallback on_endpoints);

  /// Applies a complete machine list read by this node and pushes the differences to every zone.
  void updateFromList(const std::vector<model::EndpointSet>& sets);

  void onPush(const NodeId& from, const EndpointPush& push);
  void onBuckets(const NodeId& from, const EndpointBuckets& buckets);
  void onGenerations(const NodeId& from, const EndpointGenerations& generations);
  void onFetch(const NodeId& from, const EndpointFetch& fetch);

  /// Called when the peer's checksum differs: starts an anti-entropy repair with this peer.
  void beginRepair(const NodeId& peer);

  /// A distributor forwards repaired sets to its zone only while it is `warm`. A cold node obtains
  /// all of its sets by repair and must not push all of them.
  void setWarm(bool warm) { warm_ = warm; }

  std::uint64_t checksum() const { return store_.checksum(); }
  const EndpointStore& store() const { return store_; }
  const EndpointStatistics& statistics() const { return statistics_; }

 private:
  /// Sends changes that originate at this node to every zone.
  void pushEverywhere(const std::vector<EndpointChange>& changes);
  /// Sends the changes to each target in messages of bounded size.
  void push(const std::vector<PushTarget>& targets, const std::vector<EndpointChange>& changes);
  bool apply(const EndpointChange& change, std::vector<EndpointChange>& reissued,
             std::vector<EndpointKey>& to_fetch);
  std::vector<EndpointChange> changesToForward(const EndpointPush& push);
  void fetch(const NodeId& from, const std::vector<EndpointKey>& keys);

  Environment& environment_;
  MessageSender<Message>& sender_;
  const Peers& peers_;
  EndpointCallback on_endpoints_;
  EndpointStore store_;
  bool warm_ = false;
  TimePoint repair_allowed_;  ///< Earliest start of the next repair; only one runs at a time.
  EndpointStatistics statistics_;
};

}  // namespace coursepond::distribution
