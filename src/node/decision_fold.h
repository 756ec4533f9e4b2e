#pragma once

/// Limits the rate of decision log lines. The first decisions of each side, kind and reason in a
/// second are logged individually; the rest are counted and logged as one summary line. In an
/// overload a node makes thousands of equal decisions a second, and writing a log line costs as
/// much as the refusal it describes.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"
#include "proxy/decision_log.h"

namespace coursepond::node {

/// Equal decisions that were counted instead of being logged individually.
struct FoldedDecisions {
  std::string side;
  proxy::DecisionKind kind = proxy::DecisionKind::kAnsweredItself;
  std::string reason;
  std::uint64_t count = 0;
};

class DecisionFold {
 public:
  /// `lines_per_second`: limit for each combination of side, kind and reason.
  explicit DecisionFold(std::uint32_t lines_per_second) : lines_per_second_(lines_per_second) {}
  void setLimit(std::uint32_t lines_per_second) { lines_per_second_ = lines_per_second; }

  /// Returns whether `decision` is to be logged individually; counts it in either case.
  bool admit(const proxy::Decision& decision);
  /// Starts the next second and returns the decisions of the last one that were not logged
  /// individually.
  std::vector<FoldedDecisions> nextSecond();

 private:
  struct Key {
    std::string side;
    proxy::DecisionKind kind;
    std::string reason;
    friend auto operator<=>(const Key&, const Key&) = default;
  };

  std::uint32_t lines_per_second_;
  std::map<Key, std::uint64_t> counts_;  ///< All decisions of this second.
};

}  // namespace coursepond::node
