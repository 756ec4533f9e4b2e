#include "request_checks.h"

namespace coursepond::simulation {

void RequestChecks::onSent(const RequestId& request, bool may_repeat) {
  records_[request].may_repeat = may_repeat;
  ++statistics_.sent;
}

void RequestChecks::onRun(const RequestId& request, const EndpointId& server) {
  Record& record = records_[request];
  ++record.runs;
  ++statistics_.runs;
  if (!record.may_repeat && record.runs > 1) {
    violations_.report(promises::kAtMostOnce, request + " ran " + std::to_string(record.runs) +
                                                  " times, last on " + server.value());
  }
  if (record.told_not_run) {
    violations_.report(promises::kNotRun, request + " ran on " + server.value() +
                                              " after its caller got the answer not-run");
  }
}

void RequestChecks::onAnswered(const RequestId& request, const ReceivedAnswer& answer) {
  if (answer.answer_to != request) {
    violations_.report(promises::kOwnWholeAnswer,
                       request + " got the answer of " + answer.answer_to);
  } else if (answer.chunks != kAnswerChunks) {
    violations_.report(promises::kOwnWholeAnswer,
                       request + " got " + std::to_string(answer.chunks) + " of " +
                           std::to_string(kAnswerChunks) + " chunks as a complete answer");
  }
  onConcluded(request, Conclusion::kAnswered);
}

void RequestChecks::onConcluded(const RequestId& request, Conclusion conclusion) {
  Record& record = records_[request];
  record.concluded = true;
  ++statistics_.conclusions[conclusion];
  if (conclusion != Conclusion::kRefusedNotRun) return;
  record.told_not_run = true;
  if (record.runs > 0) {
    violations_.report(promises::kNotRun,
                       request + " had run when its caller got the answer not-run");
  }
}

void RequestChecks::onOverdue(const RequestId& request) {
  if (!concluded(request)) {
    violations_.report(promises::kConcluded, request + " has no answer after its deadline");
  }
}

bool RequestChecks::concluded(const RequestId& request) const {
  const auto found = records_.find(request);
  return found != records_.end() && found->second.concluded;
}

void RequestChecks::onCutByPlannedStop(const RequestId& request, const NodeId& node) {
  violations_.report(promises::kPlannedStop, request + " was in flight when the planned stop of " +
                                                 node.value() + " ended");
}

void RequestChecks::onWorkForLeavingServer(const EndpointId& server, const NodeId& node,
                                           Duration since) {
  violations_.report(promises::kLeaving, node.value() + " sent new work to " + server.value() +
                                             ", which has been leaving for " +
                                             std::to_string(toMilliseconds(since)) + " ms");
}

}  // namespace coursepond::simulation
