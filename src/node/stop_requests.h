#pragma once

/// Decides what each signal that asks a node to end does.

namespace coursepond::node {

enum class StopAction {
  kBegin,     ///< Begin a planned stop.
  kContinue,  ///< Go on with the stop that has begun.
  kCut,       ///< End at once; requests in flight are cut.
};

/// SIGTERM comes from supervisors, several of which may stop the same node; they have SIGKILL to
/// end it early. A second SIGINT comes from a person who does not want to wait.
class StopRequests {
 public:
  StopAction onTerminate() { return begin(); }
  StopAction onInterrupt();

 private:
  StopAction begin();

  bool has_begun_ = false;
  bool was_interrupted_ = false;
};

}  // namespace coursepond::node
