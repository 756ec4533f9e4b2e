#pragma once

/// Addresses of nodes from the platform's machine list (which lags behind) and from other zones.
/// Used to find peers while none is known through probing.

#include <map>
#include <set>
#include <vector>

#include "core/environment.h"
#include "membership/member.h"
#include "model/endpoint.h"

namespace coursepond::membership {

class SeedBook {
 public:
  /// Maximum number of listed nodes kept for each other zone.
  static constexpr std::size_t kSeedsPerOtherZone = 8;

  SeedBook(Member self, Environment& environment)
      : self_(std::move(self)), environment_(environment) {}

  /// Replaces the nodes of the platform's list.
  void setListed(const std::vector<model::ListedNode>& nodes);
  /// Adds a node that another zone reported.
  void addReported(const Member& member);

  /// Removes reported nodes whose last report is older than `limit`.
  void forgetReportedBefore(TimePoint limit);

  /// Returns all zones in the platform's current list.
  const std::set<ZoneId>& listedZones() const { return listed_zones_; }
  /// Returns the known nodes of a zone, this node excluded.
  std::vector<Member> nodesOf(const ZoneId& zone) const;
  /// Returns nullptr if the node is unknown.
  const Member* find(const NodeId& id) const;
  /// Returns true if a node other than this one is known, in any zone.
  bool hasNodes() const { return !listed_.empty() || !reported_.empty(); }

 private:
  using Nodes = std::map<NodeId, Member>;

  Member self_;
  Environment& environment_;
  std::set<ZoneId> listed_zones_;
  Nodes listed_;
  Nodes reported_;  ///< At most kMaxReportedNodes.
  std::map<NodeId, TimePoint> reported_at_;
};

}  // namespace coursepond::membership
