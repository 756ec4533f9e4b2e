#include "source/reader_discovery.h"

#include <algorithm>

namespace coursepond::source {

namespace {

std::vector<NodeMachine> machinesOf(const std::vector<model::ServerEntry>& servers) {
  MachineCollector collector;
  for (const model::ServerEntry& server : servers) collector.add(server);
  return collector.machines();
}

}  // namespace

ReaderDiscovery::ReaderDiscovery(const DiscoverySettings& settings, NodeMachine own,
                                 WatchClient& source, PeerStateClient& peers,
                                 Environment& environment)
    : settings_(settings),
      own_(std::move(own)),
      source_(source),
      peers_(peers),
      environment_(environment) {}

void ReaderDiscovery::start(FoundHandler on_found) {
  on_found_ = std::move(on_found);
  takeSample();
}

void ReaderDiscovery::takeSample() {
  ++samples_;
  source_.sample(settings_.sample_timeout,
                 [this, alive = std::weak_ptr<int>(alive_)](const Result<WatchBatch>& sample) {
                   if (!alive.expired()) onSample(sample);
                 });
}

void ReaderDiscovery::onSample(const Result<WatchBatch>& sample) {
  if (!sample) return finish({});
  const std::vector<NodeMachine> machines = machinesOf(sample->servers);
  if (machines.empty() && samples_ < settings_.max_samples) {
    environment_.schedule(settings_.sample_retry_delay, [this, alive = std::weak_ptr<int>(alive_)] {
      if (!alive.expired()) takeSample();
    });
    return;
  }
  if (sample->is_complete) return finish(machines);
  const ReaderPlan plan = planReaders(machines, {});
  const ReaderRole role = plan.roleOf(own_);
  if (role == ReaderRole::kReader) return finish({});
  candidates_ = parentOrder(own_, plan.parentsOf(role));
  askNext();
}

void ReaderDiscovery::askNext() {
  if (asked_ >= std::min(candidates_.size(), settings_.max_peers)) return finish({});
  // A stale answer is good enough: only the machines are needed from it, and it is never put in
  // force.
  peers_.read(
      candidates_[asked_++], StateRequest{}, settings_.peer_timeout,
      [this, alive = std::weak_ptr<int>(alive_)](const Result<std::optional<StateUpdate>>& answer) {
        if (!alive.expired()) onPeerAnswer(answer);
      });
}

void ReaderDiscovery::onPeerAnswer(const Result<std::optional<StateUpdate>>& answer) {
  if (!answer || !answer->has_value() || (*answer)->servers.empty()) return askNext();
  finish(machinesOf((*answer)->servers));
}

void ReaderDiscovery::finish(const std::vector<NodeMachine>& machines) {
  std::exchange(on_found_, nullptr)(machines);
}

}  // namespace coursepond::source
