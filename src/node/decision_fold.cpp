#include "node/decision_fold.h"

namespace coursepond::node {

bool DecisionFold::admit(const proxy::Decision& decision) {
  Key key{std::string(decision.side), decision.kind, std::string(decision.reason)};
  return ++counts_[std::move(key)] <= lines_per_second_;
}

std::vector<FoldedDecisions> DecisionFold::nextSecond() {
  std::vector<FoldedDecisions> folded;
  for (const auto& [key, count] : counts_) {
    if (count <= lines_per_second_) continue;
    folded.push_back({key.side, key.kind, key.reason, count - lines_per_second_});
  }
  counts_.clear();
  return folded;
}

}  // namespace coursepond::node
