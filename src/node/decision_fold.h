#pragma once

/// Keeps log lines of decisions few: the first of each kind and reason in a second get lines of
/// their own, the others are counted and told together. In an overload a node makes thousands of
/// equal decisions a second, and a line costs as much as the refusal that it tells of.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"
#include "proxy/decision_log.h"

namespace coursepond::node {

/// Equal decisions without lines of their own.
struct FoldedDecisions {
  std::string side;
  proxy::DecisionKind kind = proxy::DecisionKind::kAnsweredItself;
  std::string reason;
  std::uint64_t count = 0;
};

class DecisionFold {
 public:
  /// `lines_per_second`: of each side, kind and reason.
  explicit DecisionFold(std::uint32_t lines_per_second) : lines_per_second_(lines_per_second) {}
  void setLimit(std::uint32_t lines_per_second) { lines_per_second_ = lines_per_second; }

  /// Whether `decision` gets a line of its own; otherwise it is counted.
  bool takes(const proxy::Decision& decision);
  /// Begins the next second: what was counted in the last one.
  std::vector<FoldedDecisions> nextSecond();

 private:
  struct Key {
    std::string side;
    proxy::DecisionKind kind;
    std::string reason;
    friend auto operator<=>(const Key&, const Key&) = default;
  };

  std::uint32_t lines_per_second_;
  std::map<Key, std::uint64_t> counts_;  ///< Of this second, those with lines included.
};

}  // namespace coursepond::node
