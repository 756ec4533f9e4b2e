#include "traffic.h"

namespace coursepond::simulation {
namespace {

/// Mean time between two requests to one node.
constexpr Duration kMeanInterval = std::chrono::milliseconds(100);
constexpr Duration kClientLatency = std::chrono::milliseconds(1);
/// Time after the deadline by which the answer must have arrived.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(100);
/// Probability that a burst of requests is sent in place of a single one.
constexpr double kBurstProbability = 0.01;
constexpr std::uint64_t kBurstRequests = 60;
constexpr double kEarlyLeaveProbability = 0.03;  ///< Probability that a caller leaves early.

}  // namespace

Traffic::Traffic(VirtualTime& time, Mesh& mesh, RequestChecks& checks, const Deployment& deployment,
                 std::uint64_t seed)
    : time_(time), mesh_(mesh), checks_(checks), deployment_(deployment), random_(seed) {}

void Traffic::start(Duration end) {
  end_ = end;
  for (std::size_t machine = 0; machine < mesh_.machineCount(); ++machine) sendNext(machine);
}

void Traffic::sendNext(std::size_t machine) {
  time_.schedule(random_.between(Duration(1), 2 * kMeanInterval), [this, machine] {
    if (time_.elapsed() >= end_) return;
    const std::uint64_t requests = random_.chance(kBurstProbability) ? kBurstRequests : 1;
    for (std::uint64_t request = 0; request < requests; ++request) send(machine);
    sendNext(machine);
  });
}

void Traffic::send(std::size_t machine) {
  NodeProcess* process = mesh_.process(machine);
  const ServiceShape& service = deployment_.services[random_.below(deployment_.services.size())];
  if (process == nullptr) return;  // The operating system refuses the connection.
  const CallerRequest request{"r" + std::to_string(++sent_), service.request};
  checks_.onSent(request.id, request.kind.may_repeat);
  time_.schedule(kClientLatency, [mailbox = process->mailbox(), process, request] {
    mailbox.deliver([process, request] { process->dataPath().serve(request); });
  });
  const Duration patience = request.kind.deadline + kAnswerMargin;
  const bool leaves_early = random_.chance(kEarlyLeaveProbability);
  const Duration wait = leaves_early ? random_.between(Duration(0), patience) : patience;
  const ProcessId process_id = process->status().process;
  time_.schedule(kClientLatency + wait, [this, machine, process_id, request, leaves_early] {
    if (checks_.concluded(request.id)) return;
    NodeProcess* current = mesh_.process(machine);
    const bool ran_all_the_time = current != nullptr && current->status().process == process_id &&
                                  !current->status().paused &&
                                  !current->pausedWithin(request.kind.deadline + kAnswerMargin);
    const bool must_be_concluded =
        ran_all_the_time && !leaves_early && !current->dataPath().answering(request.id);
    if (must_be_concluded) checks_.onOverdue(request.id);
    giveUp(machine, process_id, request.id);
  });
}

void Traffic::giveUp(std::size_t machine, const ProcessId& process_id, const RequestId& request) {
  NodeProcess* process = mesh_.process(machine);
  if (process == nullptr || process->status().process != process_id) {
    checks_.onConcluded(request, Conclusion::kConnectionLost);
    return;
  }
  process->mailbox().deliver([process, request] { process->dataPath().abandon(request); });
}

}  // namespace coursepond::simulation
