#pragma once

/// A node's view of the mesh, for the rest of the node. Roles are computed from a view alone.

#include <map>
#include <vector>

#include "membership/member.h"

namespace coursepond::membership {

/// This node's view of one zone. For the node's own zone, `members` lists every alive or suspect
/// member; for another zone it lists the few contacts in that zone's summary.
struct ZoneView {
  ZoneId zone;
  std::vector<Member> members;  ///< Sorted by id; none dead or left.
  std::size_t node_count = 0;   ///< Number of live nodes in the zone, as last known.
  bool reachable = false;       ///< The zone answered a gateway within the reachability timeout.
  friend bool operator==(const ZoneView&, const ZoneView&) = default;
};

struct View {
  NodeId self;
  ZoneId own_zone;
  std::map<ZoneId, ZoneView> zones;  ///< Every known zone, own and unreachable ones included.

  std::size_t nodeCount() const;           ///< Of all zones; unreachable ones as last known.
  std::size_t reachableZoneCount() const;  ///< Own zone included.
  const ZoneView* zone(const ZoneId& zone) const;
};

/// Roles of this node under a view. Two nodes with different views may hold the same role at the
/// same time, so every activity of a role must be safe if two nodes perform it.
struct Roles {
  bool source_reader = false;     ///< Reads the platform. At most two in a connected mesh.
  bool zone_distributor = false;  ///< Fetches content for its zone and distributes it.
  bool voter = false;             ///< Grants prepare requests for its zone.
  friend bool operator==(const Roles&, const Roles&) = default;
};

inline constexpr std::size_t kSourceReaders = 2;  ///< Source readers in a connected mesh.
inline constexpr std::size_t kDistributorsPerZone = 2;
inline constexpr std::size_t kVotersPerZone = 3;
/// Number of probing rings. A node has two neighbours on each.
inline constexpr std::size_t kProbeRings = 3;

Roles computeRoles(const View& view);

/// Returns the members of `zone` that hold the role, best-ranked first. For another zone they are
/// chosen among its contacts.
std::vector<Member> distributorsOf(const View& view, const ZoneId& zone);
std::vector<Member> votersOf(const View& view, const ZoneId& zone);

/// Returns this node's neighbours on the probing rings of its zone, with which it communicates all
/// the time. Regular exchanges with them need no further connections, whatever the zone's size, and
/// the union of these links over all nodes spreads data about as fast as a random graph.
std::vector<Member> ringNeighbours(const View& view);

/// Returns the members of this node's zone that other zones may contact: the distributors, the
/// voters and one spare of each, sorted by id. Their state is always set to alive.
std::vector<Member> ownContacts(const View& view);

}  // namespace coursepond::membership
