#include "node/stop_requests.h"

#include <doctest/doctest.h>

namespace coursepond::node {

// Guards against requests that are cut because two supervisors stop the same node.
TEST_CASE("a repeated SIGTERM does not shorten a planned stop") {
  StopRequests requests;
  CHECK(requests.onTerminate() == StopAction::kBegin);
  CHECK(requests.onTerminate() == StopAction::kContinue);
  CHECK(requests.onTerminate() == StopAction::kContinue);
}

TEST_CASE("only a second SIGINT ends the node at once") {
  StopRequests requests;
  CHECK(requests.onInterrupt() == StopAction::kBegin);
  CHECK(requests.onTerminate() == StopAction::kContinue);
  CHECK(requests.onInterrupt() == StopAction::kCut);
}

TEST_CASE("the first SIGINT after a SIGTERM does not shorten the stop") {
  StopRequests requests;
  CHECK(requests.onTerminate() == StopAction::kBegin);
  CHECK(requests.onInterrupt() == StopAction::kContinue);
  CHECK(requests.onInterrupt() == StopAction::kCut);
}

}  // namespace coursepond::node
