#pragma once

/// The control plane of one node, put together: membership, source reading, distribution,
/// acceptance and the operator API. No sockets, no threads and no clock of its own; the real
/// process and the simulator drive the same class.

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

/// A change of state worth one line in the log.
enum class ControlEventKind {
  kRolesChanged,
  kZonesChanged,  ///< A zone became reachable or unreachable.
  kPauseDetected,
  kSnapshotInForce,
  kContentRejected,
  kSourceTrouble,  ///< The platform failed, recovered, or gave something that was refused.
  kPlanConfirmed,
  kPlanRefused,
  kOutcomeUnknown,
  kAdopted,  ///< Nobody remembered what was accepted: the newest published version follows.
};

/// "roles_changed" and so on, for log lines and counters.
std::string_view kindName(ControlEventKind kind);

struct ControlEvent {
  ControlEventKind kind = ControlEventKind::kRolesChanged;
  std::string detail;  ///< Never holds the value of a secret.
  Version version;     ///< Of the configuration it is about; zero when it is about none.
};

/// Told of what the rest of the node needs. Calls come from inside the ControlPlane's own calls; do
/// not call back into it.
class ControlObserver {
 public:
  virtual ~ControlObserver() = default;
  virtual void onSnapshot(model::SnapshotPointer snapshot) = 0;
  virtual void onEndpoints(const model::EndpointSet& endpoints) = 0;
  virtual void onNodeCount(std::size_t nodes) = 0;
  /// Where a peer can be reached: seeds, listed nodes and members. Called again when it moves.
  virtual void onPeerAddress(const NodeId& node, const Address& address) = 0;
  virtual void onEvent(const ControlEvent& event) = 0;
};

/// Counters of the parts, for /metrics and the simulator.
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
  /// `self.incarnation` must be above that of any earlier life of the id. All references must
  /// outlive this. `sender` never gets a message to this node itself.
  ControlPlane(ControlSettings settings, const membership::Member& self, Environment& environment,
               MessageSender<PeerMessage>& sender, source::PlatformClient& platform,
               ControlObserver& observer);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  void start();
  void onPeerMessage(const NodeId& from, const PeerMessage& message);

  /// A planned stop: tells peers, gives up roles; afterwards it sends nothing more.
  void leave();

  admin::AdminApi& api();
  const membership::View& view() const;
  membership::Roles roles() const;
  /// This node knows what is accepted and has it in force (or knows that nothing is accepted).
  bool ready() const;
  const distribution::Replica& replica() const;
  ControlStatistics statistics() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace coursepond::control
