#pragma once

/// One process of `coursepond node`, from start to end: the production control plane and data path
/// on the simulated network, platform and clock.

#include <map>
#include <memory>
#include <vector>

#include "configuration_checks.h"
#include "control/control_plane.h"
#include "data_path.h"
#include "guard.h"
#include "network.h"
#include "platform_model.h"
#include "process_environment.h"
#include "proxy/proxy_state.h"
#include "request_checks.h"

namespace coursepond::simulation {

/// Objects that all processes of a run share.
struct SimulationContext {
  VirtualTime& time;
  Network& network;
  PlatformModel& platform;
  RequestChecks& request_checks;
  ConfigurationChecks& configuration_checks;
  MemoryChecks& memory_checks;
  Violations& violations;
  Trace& trace;
  Guard without = Guard::kNone;
  BackendDirectory backends;
  /// Time since the last disturbance that could delay updates about leaving servers.
  std::function<Duration()> calm_for;
};

class NodeProcess final : public control::ControlObserver,
                          public MessageSender<control::PeerMessage> {
 public:
  NodeProcess(const SimulationContext& context, const control::ControlSettings& settings,
              model::ListedNode identity, std::uint64_t start_number, std::uint64_t seed);
  ~NodeProcess() override;

  void start();
  void pause();
  void resume();
  /// Waits for requests in flight to finish, then calls `ended` from a separate event.
  void beginPlannedStop(std::function<void()> ended);

  /// Delivers events to the process; while it is paused, they run when it resumes.
  ProcessEnvironment::Mailbox mailbox() { return environment_.mailbox(); }
  control::ControlPlane& control() { return *control_; }
  DataPath& dataPath() { return *data_path_; }
  ProxyStatus status() const;
  /// Whether the process was paused at any time during the last `span`.
  bool pausedWithin(Duration span) const;
  const model::ListedNode& identity() const { return identity_; }

  /// Called when this process read the platform.
  void onPlatformRead();

 private:
  // control::ControlObserver
  void onSnapshot(model::SnapshotPointer snapshot) override;
  void onEndpoints(const model::EndpointSet& endpoints) override;
  void onNodeCount(std::size_t nodes) override;
  void onPeerAddress(const NodeId&, const Address&) override {}
  void onEvent(const control::ControlEvent& event) override;
  // MessageSender
  void send(const NodeId& to, const control::PeerMessage& message) override;

  void onPeerMessage(const NodeId& from, control::PeerMessage message, bool fresh);
  void putInForce(const model::SnapshotPointer& snapshot);
  void waitForRequests(std::function<void()> ended);

  // Emulate disabled safeguards; see guard.h.
  void applyInPart(const model::Snapshot& whole);
  void applyWithoutSecrets(const distribution::AcceptanceRecord& record);
  void applyAsItArrives(Version version);
  void grantAlways(const NodeId& voter, control::PeerMessage& message);
  void pollPlatform();

  SimulationContext context_;
  model::ListedNode identity_;
  std::uint64_t start_number_;
  TimePoint started_;
  ProcessEnvironment environment_;
  std::unique_ptr<source::PlatformClient> platform_client_;
  proxy::ProxyState proxy_state_;
  std::unique_ptr<DataPath> data_path_;
  std::unique_ptr<control::ControlPlane> control_;
  std::map<Version, model::SnapshotPointer>
      snapshots_by_version_;  ///< Used only by applyAsItArrives.
  bool stopping_ = false;
  bool peer_heard_since_resume_ = true;
  bool knew_peers_before_pause_ = true;
  TimePoint paused_at_;
  TimePoint resumed_at_;
};

}  // namespace coursepond::simulation
