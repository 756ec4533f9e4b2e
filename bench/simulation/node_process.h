#pragma once

/// One life of one `coursepond node`: the production control plane and data path, with the
/// simulator's network, platform and clock around them.

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

/// What every process of a run shares.
struct Surroundings {
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
  /// For how long nothing has kept news of leaving servers from the nodes.
  std::function<Duration()> calm_for;
};

class NodeProcess final : public control::ControlObserver,
                          public MessageSender<control::PeerMessage> {
 public:
  NodeProcess(const Surroundings& surroundings, const control::ControlSettings& settings,
              model::ListedNode identity, std::uint64_t life, std::uint64_t seed);
  ~NodeProcess() override;

  void start();
  void pause();
  void resume();
  /// Requests in flight finish first; then `ended` is called, from a later event.
  void beginPlannedStop(std::function<void()> ended);

  /// Runs `event` in the process (later, while it is paused).
  ProcessEnvironment::Mailbox mailbox() { return environment_.mailbox(); }
  control::ControlPlane& control() { return *control_; }
  DataPath& dataPath() { return *data_path_; }
  ProxyStatus status() const;
  /// It was paused at some moment of the last `span`.
  bool pausedWithin(Duration span) const;
  const model::ListedNode& identity() const { return identity_; }

  /// The platform was read by this process.
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

  // Stand-ins for what a run is made without; see guard.h.
  void applyInPart(const model::Snapshot& whole);
  void applyWithoutSecrets(const distribution::AcceptanceRecord& record);
  void applyAsItArrives(Version version);
  void grantAlways(const NodeId& voter, control::PeerMessage& message);
  void pollPlatform();

  Surroundings surroundings_;
  model::ListedNode identity_;
  std::uint64_t life_;
  TimePoint started_;
  ProcessEnvironment environment_;
  std::unique_ptr<source::PlatformClient> platform_client_;
  proxy::ProxyState proxy_state_;
  std::unique_ptr<DataPath> data_path_;
  std::unique_ptr<control::ControlPlane> control_;
  std::map<Version, model::SnapshotPointer> held_;  ///< Kept for applyAsItArrives only.
  bool stopping_ = false;
  bool heard_since_wake_ = true;
  bool knew_peers_ = true;
  TimePoint paused_at_;
  TimePoint woken_;
};

}  // namespace coursepond::simulation
