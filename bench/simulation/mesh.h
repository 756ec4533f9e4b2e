#pragma once

/// All nodes of a run, by machine. Starts, crashes, replaces and stops them.

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "calm.h"
#include "deployment.h"
#include "node_process.h"

namespace coursepond::simulation {

class Mesh {
 public:
  /// `on_machines_changed` is called when the platform's machine list must be updated.
  Mesh(const SimulationContext& context, const Deployment& deployment, std::uint64_t seed,
       Calm& calm, std::function<void()> on_machines_changed);

  /// Starts every machine, at random times within a short period.
  void startAll();
  std::size_t machineCount() const { return machines_.size(); }
  /// The running process of the machine, or null.
  NodeProcess* process(std::size_t machine);
  /// Running processes.
  std::vector<NodeProcess*> processes();
  NodeProcess* find(const NodeId& node);

  /// Crashes the process; its callers lose their connections. Does nothing if none is running.
  void crash(std::size_t machine);
  /// Starts a process without state, on the same machine or a new one. Does nothing if one is
  /// running.
  void restart(std::size_t machine, bool new_machine);
  /// Starts a planned stop; afterwards a process without state starts on a new machine.
  void stopAndReplace(std::size_t machine);
  void pause(std::size_t machine);
  void resume(std::size_t machine);

  /// Whether enough other running processes hold the newest accepted record if the processes of
  /// `machines` are lost.
  bool recordSurvivesLossOf(const std::vector<std::size_t>& machines);

  Duration sinceLastDeath() const { return context_.time.now() - last_death_; }

  /// The processes that hold an acceptance record.
  std::vector<RecordHolder> recordHolders();

  std::vector<model::ListedNode> listedNodes() const;
  std::vector<ProxyStatus> statuses();

 private:
  struct Machine {
    model::ListedNode identity;
    std::uint64_t start_number = 0;
    std::unique_ptr<NodeProcess> process;
  };

  void start(Machine& machine);
  void endProcess(Machine& machine, bool planned);
  void assignNewIdentity(Machine& machine);

  SimulationContext context_;
  RandomSource random_;
  Calm& calm_;
  std::function<void()> on_machines_changed_;
  control::ControlSettings settings_;
  std::vector<Machine> machines_;
  std::uint32_t machines_made_ = 0;
  std::uint64_t starts_ = 0;
  TimePoint last_death_{};
};

/// Bearer token of the operators.
inline constexpr char kOperatorToken[] = "operator-token";

}  // namespace coursepond::simulation
