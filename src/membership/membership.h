#pragma once

/// SWIM-style membership protocol of one node: joining, failure detection, gossip, and reachability
/// of the other zones. A decision class without sockets.

#include <functional>
#include <memory>
#include <vector>

#include "core/environment.h"
#include "membership/messages.h"
#include "membership/settings.h"
#include "membership/view.h"
#include "model/endpoint.h"

namespace coursepond::membership {

/// Receives notifications of changes. Called from inside Membership's functions; do not call back
/// into Membership.
class MembershipObserver {
 public:
  virtual ~MembershipObserver() = default;
  /// The view changed in members, zones or reachability.
  virtual void onViewChanged(const View& view) = 0;
  /// This process was paused for about `pause`. It holds no roles until peers have confirmed that
  /// it still takes part.
  virtual void onPauseDetected(Duration pause) = 0;
  /// Announces the peer address of a node, before the first message to it and again when the
  /// address changes. Covers members, contacts of other zones, joining nodes, and seeds that other
  /// zones reported.
  virtual void onPeerAddress(const NodeId& node, const Address& address) {
    (void)node;
    (void)address;
  }
};

/// Counters for /metrics and the simulator. Never reset.
struct MembershipStatistics {
  std::uint64_t probes_sent = 0;
  std::uint64_t indirect_probes_sent = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t refutations = 0;
  std::uint64_t deaths = 0;
  std::uint64_t joins_sent = 0;
  std::uint64_t joins_served = 0;
  std::uint64_t joins_deferred = 0;  ///< Join requests deferred by the handshake rate limit.
  std::uint64_t syncs_sent = 0;      ///< Table copies requested from peers.
  std::uint64_t zone_reports = 0;    ///< Reports about other zones published by this node.
  std::uint64_t pauses_detected = 0;
};

class Membership {
 public:
  /// `self.incarnation` must be above that of any earlier process with this node id; the wall-clock
  /// time at start in milliseconds is sufficient. All references must outlive this object.
  Membership(const Member& self, Settings settings, Environment& environment,
             MessageSender<Message>& sender, MembershipObserver& observer);
  ~Membership();

  /// Starts probing, and joining through the known seeds after a random delay (full jitter).
  void start();

  /// Passes the platform's machine list. It supplies seeds to join through and leaving marks; it
  /// never adds or removes members.
  void setListedNodes(const std::vector<model::ListedNode>& nodes);

  /// Adds the zones that the settings name. They are known from the start and never forgotten, so
  /// that a node that starts on the small side of a partition does not mistake its side for the
  /// whole mesh.
  void addZones(const std::vector<ZoneId>& zones);

  void onMessage(const NodeId& from, const Message& message);

  /// Announces to the neighbours that this node has left. It sends nothing afterwards.
  void leave();

  const View& view() const;
  /// Returns the roles under the current view. Empty while joining, after a pause until peers have
  /// confirmed this node, and after leave().
  Roles roles() const;
  /// Returns a node of this zone, a contact of another zone or a seed, or nullptr if unknown.
  const Member* find(const NodeId& id) const;
  /// Returns true if at least one peer has answered since the start, or the join timeout has passed
  /// without an answer.
  bool joined() const;
  const MembershipStatistics& statistics() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace coursepond::membership
