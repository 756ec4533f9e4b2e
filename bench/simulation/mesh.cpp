#include "mesh.h"

#include <algorithm>

namespace coursepond::simulation {
namespace {

constexpr Duration kStartSpread = std::chrono::milliseconds(500);
constexpr std::uint16_t kPeerPort = 7000;
constexpr std::size_t kSeedsPerZone = 2;
/// Minimum number of processes that must still hold the newest accepted record after a fault; see
/// docs/PROOFS.md.
constexpr std::size_t kMinRecordHolders = 2;

Address machineAddress(std::uint32_t number) {
  return {"10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1),
          kPeerPort};
}

}  // namespace

Mesh::Mesh(const SimulationContext& context, const Deployment& deployment, std::uint64_t seed,
           Calm& calm, std::function<void()> on_machines_changed)
    : context_(context),
      random_(seed),
      calm_(calm),
      on_machines_changed_(std::move(on_machines_changed)) {
  settings_.admin.bearer_token = kOperatorToken;
  settings_.zones = deployment.zones;
  if (context.without == Guard::kAdoptionWait) {
    settings_.distribution.adoption_wait = Duration(0);
    settings_.distribution.adoption_wait_cut_off = Duration(0);
  }
  for (const ZoneId& zone : deployment.zones) {
    for (std::uint32_t index = 0; index < deployment.nodes_per_zone; ++index) {
      Machine& machine = machines_.emplace_back();
      machine.identity.zone = zone;
      assignNewIdentity(machine);
      if (index < kSeedsPerZone) settings_.seeds.push_back(machine.identity);
    }
  }
}

void Mesh::assignNewIdentity(Machine& machine) {
  const std::uint32_t number = ++machines_made_;
  machine.identity.id = NodeId("node-" + std::to_string(number));
  machine.identity.peer_address = machineAddress(number);
  machine.identity.state = model::MachineState::kLive;
}

void Mesh::startAll() {
  on_machines_changed_();
  for (Machine& machine : machines_) {
    context_.time.schedule(random_.between(Duration(0), kStartSpread),
                           [this, &machine] { start(machine); });
  }
}

void Mesh::start(Machine& machine) {
  calm_.disturb();
  machine.start_number = ++starts_;
  machine.process = std::make_unique<NodeProcess>(context_, settings_, machine.identity,
                                                  machine.start_number, random_.below(1ULL << 62U));
  context_.trace.note(context_.time.elapsed(), machine.identity.id.value(), "starts");
  machine.process->start();
}

NodeProcess* Mesh::process(std::size_t machine) { return machines_[machine].process.get(); }

std::vector<NodeProcess*> Mesh::processes() {
  std::vector<NodeProcess*> running;
  for (Machine& machine : machines_) {
    if (machine.process) running.push_back(machine.process.get());
  }
  return running;
}

NodeProcess* Mesh::find(const NodeId& node) {
  for (Machine& machine : machines_) {
    if (machine.identity.id == node) return machine.process.get();
  }
  return nullptr;
}

void Mesh::crash(std::size_t machine) { endProcess(machines_[machine], false); }

void Mesh::endProcess(Machine& machine, bool planned) {
  if (!machine.process) return;
  calm_.disturb();
  last_death_ = context_.time.now();
  context_.trace.note(context_.time.elapsed(), machine.identity.id.value(),
                      planned ? "ends its planned stop" : "dies");
  for (const RequestId& request : machine.process->dataPath().inFlight()) {
    if (planned) context_.request_checks.onCutByPlannedStop(request, machine.identity.id);
    context_.request_checks.onConcluded(request, Conclusion::kConnectionLost);
  }
  machine.process.reset();
}

void Mesh::restart(std::size_t index, bool new_machine) {
  Machine& machine = machines_[index];
  if (machine.process) return;
  if (new_machine || machine.identity.state == model::MachineState::kLeaving) {
    assignNewIdentity(machine);
    on_machines_changed_();
  }
  start(machine);
}

void Mesh::stopAndReplace(std::size_t index) {
  Machine& machine = machines_[index];
  if (!machine.process || machine.process->status().paused || machine.process->status().stopping) {
    return;
  }
  context_.trace.note(context_.time.elapsed(), machine.identity.id.value(),
                      "begins its planned stop");
  machine.identity.state = model::MachineState::kLeaving;
  on_machines_changed_();
  calm_.disturb();
  const std::uint64_t start_number = machine.start_number;
  machine.process->beginPlannedStop([this, index, start_number] {
    Machine& stopped = machines_[index];
    if (stopped.start_number != start_number || !stopped.process)
      return;  // It crashed during the stop.
    endProcess(stopped, true);
    restart(index, true);
  });
}

void Mesh::pause(std::size_t machine) {
  NodeProcess* process = this->process(machine);
  if (process != nullptr && !process->status().paused) process->pause();
}

void Mesh::resume(std::size_t machine) {
  NodeProcess* process = this->process(machine);
  if (process != nullptr && process->status().paused) process->resume();
}

bool Mesh::recordSurvivesLossOf(const std::vector<std::size_t>& machines) {
  const Version newest = context_.configuration_checks.newestAccepted();
  std::size_t holders = 0;
  for (std::size_t index = 0; index < machines_.size(); ++index) {
    NodeProcess* process = this->process(index);
    const bool lost = std::find(machines.begin(), machines.end(), index) != machines.end();
    if (process == nullptr || lost || process->status().paused || process->status().stopping) {
      continue;
    }
    if (process->control().replica().record().version >= newest) ++holders;
  }
  return holders >= kMinRecordHolders;
}

std::vector<RecordHolder> Mesh::recordHolders() {
  std::vector<RecordHolder> holders;
  for (NodeProcess* process : processes()) {
    const Version version = process->control().replica().record().version;
    if (version != Version()) holders.push_back({process->identity().id, version});
  }
  return holders;
}

std::vector<model::ListedNode> Mesh::listedNodes() const {
  std::vector<model::ListedNode> nodes;
  for (const Machine& machine : machines_) nodes.push_back(machine.identity);
  return nodes;
}

std::vector<ProxyStatus> Mesh::statuses() {
  std::vector<ProxyStatus> statuses;
  for (const NodeProcess* process : processes()) statuses.push_back(process->status());
  return statuses;
}

}  // namespace coursepond::simulation
