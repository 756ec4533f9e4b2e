#include "request_checks.h"

#include <algorithm>

namespace coursepond::simulation {
namespace {

/// After a fault, nodes know again how many of them share the servers within this time.
constexpr Duration kMeshSettleTime = std::chrono::seconds(12);

}  // namespace

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

void RequestChecks::onLimit(const EndpointId& server, std::optional<double> per_second) {
  notices_.setLimit(server.value(), per_second, time_.now());
}

void RequestChecks::onAnswerOf(const EndpointId& server, const NodeId& node, bool has_limit,
                               bool is_leaving) {
  notices_.onForwarded(server.value(), node.value(), has_limit, is_leaving, time_.now());
}

void RequestChecks::onMeshDisturbed(Duration length) {
  mesh_disturbed_until_ = std::max(mesh_disturbed_until_, time_.now() + length + kMeshSettleTime);
}

void RequestChecks::onReceived(const EndpointId& server, const NodeId& node, TimePoint sent) {
  const testing::NoticedArrival arrival{server.value(), node.value(), sent};
  if (const auto late = notices_.lateForLeaving(arrival)) {
    onWorkForLeavingServer(server, node, *late);
  }
  if (time_.now() < mesh_disturbed_until_) return notices_.forgetArrivals(server.value());
  const auto over = notices_.overLimit(arrival, time_.now());
  if (!over) return;
  violations_.report(promises::kServerLimit,
                     server.value() + " received " + std::to_string(over->arrivals) +
                         " requests in a window that allows " + std::to_string(over->allowed));
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
