#pragma once

/// All nodes of a run, machine by machine: starting, dying, being replaced, stopping.

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
  /// `on_machines_changed` is called when the platform's list should change.
  Mesh(const Surroundings& surroundings, const Deployment& deployment, std::uint64_t seed,
       Calm& calm, std::function<void()> on_machines_changed);

  /// Starts every machine, spread over a short time.
  void startAll();
  std::size_t machineCount() const { return machines_.size(); }
  /// The running process, or null.
  NodeProcess* process(std::size_t machine);
  /// Running processes.
  std::vector<NodeProcess*> processes();
  NodeProcess* find(const NodeId& node);

  /// The process dies; its callers lose their connections. Does nothing when it is down.
  void crash(std::size_t machine);
  /// Starts an empty process, on the same machine or on a new one. Does nothing when one runs.
  void restart(std::size_t machine, bool new_machine);
  /// A planned stop; an empty process follows on a new machine.
  void stopAndReplace(std::size_t machine);
  void pause(std::size_t machine);
  void resume(std::size_t machine);

  /// Whether a process can be lost and the newest accepted record still be held by others.
  bool mayLose(const std::vector<std::size_t>& machines);

  Duration sinceLastDeath() const { return surroundings_.time.now() - last_death_; }

  /// The processes that know an acceptance record.
  std::vector<RecordHolder> recordHolders();

  std::vector<model::ListedNode> listedNodes() const;
  std::vector<ProxyStatus> statuses();

 private:
  struct Machine {
    model::ListedNode identity;
    std::uint64_t life = 0;
    std::unique_ptr<NodeProcess> process;
  };

  void start(Machine& machine);
  void endProcess(Machine& machine, bool planned);
  void renew(Machine& machine);

  Surroundings surroundings_;
  RandomSource random_;
  Calm& calm_;
  std::function<void()> on_machines_changed_;
  control::ControlSettings settings_;
  std::vector<Machine> machines_;
  std::uint32_t machines_made_ = 0;
  std::uint64_t lives_ = 0;
  TimePoint last_death_{};
};

/// The token that operators present.
inline constexpr char kOperatorToken[] = "operator-token";

}  // namespace coursepond::simulation
