#pragma once

/// Queue of updates to disseminate. Each update is gossiped once to every neighbour. Member updates
/// are then piggybacked on a bounded number of probes and acks. Losses after that are repaired by
/// the comparison of table digests.

#include <map>
#include <utility>
#include <vector>

#include "membership/messages.h"
#include "membership/settings.h"

namespace coursepond::membership {

class GossipQueue {
 public:
  explicit GossipQueue(const Settings& settings) : settings_(settings) {}

  /// Adds an update and replaces an older one about the same member, or by the same reporter about
  /// the same zone. `source` is the node that sent the update; it does not get it back in gossip.
  /// For an update made by this node it is this node or empty.
  void add(const Member& member, const NodeId& source);
  void add(const ZoneReport& report, const NodeId& source);

  /// Returns true if some update has not been gossiped yet.
  bool hasFresh() const { return has_fresh_; }

  /// Returns the updates that have not been gossiped yet, packed for `neighbour` into messages of
  /// bounded size.
  std::vector<Gossip> freshFor(const NodeId& neighbour) const;
  /// Called after the fresh updates have been sent to every neighbour.
  void markGossiped();

  /// Returns a few updates to piggyback on a probe or an ack, and counts one transmission for each.
  Updates takePiggyback();

 private:
  template <typename Update>
  struct Item {
    Update update;
    NodeId source;
    bool fresh = true;
    std::size_t transmissions_left = 0;
  };
  using ReportKey = std::pair<ZoneId, NodeId>;  ///< The reported zone and the reporter.

  const Settings& settings_;
  bool has_fresh_ = false;
  std::map<NodeId, Item<Member>> members_;
  std::map<ReportKey, Item<ZoneReport>> reports_;
};

}  // namespace coursepond::membership
