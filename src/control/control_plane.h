#pragma once

/// The control plane of one node. Combines membership, source reading, distribution, acceptance and
/// the operator API. It has no sockets, threads or clock of its own, so that the real process and
/// the simulator can run the same class.

#include <memory>
#include <string>
#include <string_view>

#include "admin/admin_api.h"
#include "control/control_settings.h"
#include "control/peer_message.h"
#include "core/environment.h"
#include "distribution/replica.h"
#include "membership/membership.h"
#include "model/endpoint.h"
#include "model/snapshot.h"
#include "source/platform_client.h"
#include "source/source_reader.h"

namespace coursepond::control {

/// A state change that is logged as one line.
enum class ControlEventKind {
  kRolesChanged,
  kZonesChanged,  ///< A zone became reachable or unreachable.
  kPauseDetected,
  kSnapshotInForce,
  kContentRejected,
  kSourceTrouble,  ///< The platform failed, recovered, or sent content that was rejected.
  kPlanConfirmed,
  kPlanRefused,
  kOutcomeUnknown,
  kAdopted,  ///< The accepted version was lost; the newest published one was adopted.
};

/// Returns the name for log lines and counters, such as "roles_changed".
std::string_view kindName(ControlEventKind kind);

struct ControlEvent {
  ControlEventKind kind = ControlEventKind::kRolesChanged;
  std::string detail;  ///< Never contains the value of a secret.
  Version version;     ///< Version of the configuration concerned; zero if there is none.
};

/// Notifies the rest of the node of changes. Called from inside ControlPlane's functions; the
/// implementation must not call back into ControlPlane.
class ControlObserver {
 public:
  virtual ~ControlObserver() = default;
  virtual void onSnapshot(model::SnapshotPointer snapshot) = 0;
  virtual void onEndpoints(const model::EndpointSet& endpoints) = 0;
  virtual void onNodeCount(std::size_t nodes) = 0;
  /// Reports the address of a seed, a listed node or a member. Called again when the address
  /// changes.
  virtual void onPeerAddress(const NodeId& node, const Address& address) = 0;
  virtual void onEvent(const ControlEvent& event) = 0;
};

/// Counters of all components, for /metrics and the simulator.
struct ControlStatistics {
  membership::MembershipStatistics membership;
  distribution::ReplicaStatistics replica;
  source::SourceStatistics source;
  std::uint64_t plans_made = 0;
  std::uint64_t plans_confirmed = 0;
  std::uint64_t plans_refused = 0;
  std::uint64_t plans_unknown = 0;
  std::uint64_t admin_unauthorized = 0;
};

class ControlPlane {
 public:
  /// `self.incarnation` must be greater than that of any earlier run of a node with this id. All
  /// references must outlive this. Messages to this node itself are not passed to `sender`.
  ControlPlane(ControlSettings settings, const membership::Member& self, Environment& environment,
               MessageSender<PeerMessage>& sender, source::PlatformClient& platform,
               ControlObserver& observer);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  void start();
  void onPeerMessage(const NodeId& from, const PeerMessage& message);

  /// Planned stop: notifies peers and gives up all roles. Sends nothing afterwards.
  void leave();

  admin::AdminApi& api();
  const membership::View& view() const;
  membership::Roles roles() const;
  /// Whether this node knows the accepted version and has it in force, or knows that no version is
  /// accepted.
  bool ready() const;
  const distribution::Replica& replica() const;
  ControlStatistics statistics() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace coursepond::control
