#pragma once

/// Callers: an open-loop load of requests with deadlines to every node.

#include "deployment.h"
#include "mesh.h"
#include "request_checks.h"

namespace coursepond::simulation {

class Traffic {
 public:
  Traffic(VirtualTime& time, Mesh& mesh, RequestChecks& checks, const Deployment& deployment,
          std::uint64_t seed);

  /// Sends requests from now until `end` (time since the start of the run).
  void start(Duration end);

 private:
  void sendNext(std::size_t machine);
  void send(std::size_t machine);
  /// The caller stops waiting and disconnects.
  void giveUp(std::size_t machine, const ProcessId& process, const RequestId& request);

  VirtualTime& time_;
  Mesh& mesh_;
  RequestChecks& checks_;
  const Deployment& deployment_;
  RandomSource random_;
  Duration end_{};
  std::uint64_t sent_ = 0;
};

}  // namespace coursepond::simulation
