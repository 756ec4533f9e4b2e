#include "node/stop_requests.h"

#include <utility>

namespace coursepond::node {

StopAction StopRequests::onInterrupt() {
  if (std::exchange(was_interrupted_, true)) return StopAction::kCut;
  return begin();
}

StopAction StopRequests::begin() {
  return std::exchange(has_begun_, true) ? StopAction::kContinue : StopAction::kBegin;
}

}  // namespace coursepond::node
