#include "recorder.h"

namespace coursepond::bench {

void Recorder::onListChanged(Generation generation, std::uint32_t churn_step) {
  ++list_changes_;
  open_changes_.emplace(churnedSet(shape_, churn_step), ListChange{generation, time_.now(), {}});
}

void Recorder::onInForce(const NodeId& node, Version version) {
  Version& in_force = in_force_[node];
  for (const auto& [accepted, at] : accepted_) {
    if (accepted <= in_force || accepted > version) continue;
    convergence_.add(std::chrono::duration_cast<Duration>(time_.now() - at));
    ++reached_[accepted];
  }
  in_force = std::max(in_force, version);
}

void Recorder::onEndpoints(const NodeId& node, const distribution::EndpointKey& key,
                           Generation generation) {
  const auto [begin, end] = open_changes_.equal_range(key);
  for (auto change = begin; change != end; ++change) {
    if (generation >= change->second.generation) reach(change->second, node);
  }
}

void Recorder::onWholeList(const NodeId& node, Generation generation) {
  for (auto& [key, change] : open_changes_) {
    if (generation >= change.generation) reach(change, node);
  }
}

bool Recorder::everywhere(Version version) const {
  std::uint32_t nodes = 0;
  for (const auto& [node, in_force] : in_force_) nodes += in_force >= version ? 1 : 0;
  return nodes == shape_.nodes;
}

void Recorder::finish(Figures& figures) const {
  figures.convergence = convergence_;
  figures.churn_convergence = churn_convergence_;
  for (const auto& [version, at] : accepted_) {
    const auto reached = reached_.find(version);
    figures.missing += shape_.nodes - (reached == reached_.end() ? 0 : reached->second);
  }
  const std::size_t expected = std::size_t{list_changes_} * shape_.nodes;
  figures.churn_missing = static_cast<std::uint32_t>(expected - churn_convergence_.count());
}

void Recorder::reach(ListChange& change, const NodeId& node) {
  if (!change.reached.insert(node).second) return;
  churn_convergence_.add(std::chrono::duration_cast<Duration>(time_.now() - change.at));
}

}  // namespace coursepond::bench
