#pragma once

/// SWIM-style membership of one node, as a decision class without sockets.

#include <functional>
#include <memory>
#include <vector>

#include "core/environment.h"
#include "membership/messages.h"
#include "membership/settings.h"
#include "membership/view.h"
#include "model/endpoint.h"

namespace coursepond::membership {

/// Told of changes. Calls come from inside Membership's own calls; do not call back into it.
class MembershipObserver {
 public:
  virtual ~MembershipObserver() = default;
  /// The view changed in members, zones or reachability.
  virtual void onViewChanged(const View& view) = 0;
  /// This process was paused for about `pause`; its roles count as lost until peers answer.
  virtual void onPauseDetected(Duration pause) = 0;
  /// Where a node can be reached, told before the first message to it and again when it moves:
  /// members, contacts of other zones, joiners, and seeds that other zones named.
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
  std::uint64_t joins_deferred = 0;  ///< Answered "later" by the handshake cap.
  std::uint64_t syncs_sent = 0;      ///< Differing digests or a pause led to a table copy.
  std::uint64_t zone_reports = 0;    ///< Reports of other zones made by this node.
  std::uint64_t pauses_detected = 0;
};

class Membership {
 public:
  /// `self.incarnation` must be above that of any earlier life of the id (wall-clock milliseconds
  /// at start will do; the caller supplies it). All references must outlive this.
  Membership(const Member& self, Settings settings, Environment& environment,
             MessageSender<Message>& sender, MembershipObserver& observer);
  ~Membership();

  /// Begins to join through the seeds known so far, with full jitter, and to probe.
  void start();

  /// The platform's list: hints to join through, and sticky leaving marks. It decides nothing.
  void addHints(const std::vector<model::ListedNode>& nodes);

  /// The zones of the mesh by settings: known from the start and never forgotten, so that a node
  /// that starts on the small side of a cut does not take its side for the whole mesh.
  void addZones(const std::vector<ZoneId>& zones);

  void onMessage(const NodeId& from, const Message& message);

  /// Tells peers that this node leaves; afterwards it sends nothing more.
  void leave();

  const View& view() const;
  /// Roles under the current view; none while joining, after a pause until peers answered, or
  /// when leaving.
  Roles roles() const;
  /// Where to reach a member, or nothing when unknown.
  const Member* find(const NodeId& id) const;
  /// At least one peer answered since the start, or none was ever known for the join timeout.
  bool joined() const;
  const MembershipStatistics& statistics() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace coursepond::membership
