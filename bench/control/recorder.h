#pragma once

/// Records when versions and endpoint changes reached the nodes.

#include <map>
#include <set>

#include "distribution/messages.h"
#include "figures.h"
#include "virtual_time.h"
#include "workload.h"

namespace coursepond::bench {

class Recorder {
 public:
  Recorder(const MeshShape& shape, simulation::VirtualTime& time) : shape_(shape), time_(time) {}

  // Called by the bench and the systems under test.
  void onAccepted(Version version) { accepted_.try_emplace(version, time_.now()); }
  void onListChanged(Generation generation, std::uint32_t churn_step);
  void onInForce(const NodeId& node, Version version);
  void onEndpoints(const NodeId& node, const distribution::EndpointKey& key, Generation generation);
  /// Called when a complete machine list reached the node.
  void onWholeList(const NodeId& node, Generation generation);

  /// Whether all nodes have `version` or a newer one in force.
  bool everywhere(Version version) const;
  /// Fills in the delays and the number of missing changes.
  void finish(Figures& figures) const;

 private:
  struct ListChange {
    Generation generation;
    TimePoint at;
    std::set<NodeId> reached;
  };

  void reach(ListChange& change, const NodeId& node);

  const MeshShape& shape_;
  simulation::VirtualTime& time_;
  std::map<Version, TimePoint> accepted_;
  std::map<NodeId, Version> in_force_;
  std::map<Version, std::uint32_t> reached_;
  std::multimap<distribution::EndpointKey, ListChange> open_changes_;
  Delays convergence_;
  Delays churn_convergence_;
  std::uint32_t list_changes_ = 0;
};

}  // namespace coursepond::bench
