/// Property tests with random input: merging of claims in any order, and roles under any view.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <set>

#include "membership/member_table.h"
#include "membership/view.h"

namespace coursepond::membership {
namespace {

/// Fixes the seed, so that every run tests the same cases. RC_PARAMS in the environment overrides
/// it.
const bool kSeedFixed = setenv("RC_PARAMS", "seed=20261202", 0) == 0;

/// Generates claims from a small range of values, so that all kinds of conflicts occur.
rc::Gen<Member> claimOf(const NodeId& id) {
  return rc::gen::map(rc::gen::tuple(rc::gen::inRange(1, 4), rc::gen::inRange(0, 4),
                                     rc::gen::arbitrary<bool>(), rc::gen::inRange(1, 3)),
                      [id](const std::tuple<int, int, bool, int>& parts) {
                        const auto& [incarnation, state, leaving, port] = parts;
                        return Member{id,
                                      ZoneId("a"),
                                      Address{"10.0.0.1", static_cast<std::uint16_t>(port)},
                                      Incarnation(static_cast<std::uint64_t>(incarnation)),
                                      static_cast<MemberState>(state),
                                      leaving};
                      });
}

NodeId nodeId(int number) { return NodeId("n" + std::to_string(number)); }

Member aliveMember(int number, const std::string& zone) {
  return Member{nodeId(number), ZoneId(zone),        Address{"10.0.0.1", 1},
                Incarnation(1), MemberState::kAlive, false};
}

/// Generates a connected mesh: zone "z0" has nodes n0, n1, ..., zone "z1" has n100, n101, ...
std::map<ZoneId, std::vector<Member>> randomMesh() {
  std::map<ZoneId, std::vector<Member>> mesh;
  const int zones = *rc::gen::inRange(1, 7);
  for (int zone = 0; zone < zones; ++zone) {
    const std::string name = "z" + std::to_string(zone);
    const int size = *rc::gen::inRange(1, 12);
    for (int number = 0; number < size; ++number) {
      mesh[ZoneId(name)].push_back(aliveMember(zone * 100 + number, name));
    }
  }
  return mesh;
}

View viewFrom(const std::map<ZoneId, std::vector<Member>>& mesh, const Member& self,
              const std::set<ZoneId>& cut_off) {
  View view;
  view.self = self.id;
  view.own_zone = self.zone;
  for (const auto& [id, members] : mesh) {
    const bool reachable = cut_off.contains(id) == cut_off.contains(self.zone);
    view.zones[id] = ZoneView{id, members, members.size(), reachable};
  }
  return view;
}

void check(const std::string& name, const std::function<void()>& property) {
  REQUIRE(kSeedFixed);
  CHECK_MESSAGE(rc::check(name, property), name);
}

}  // namespace

TEST_CASE("merging claims is commutative, associative and idempotent") {
  const NodeId id("n1");
  check("commutative", [&] {
    const Member left = *claimOf(id);
    const Member right = *claimOf(id);
    RC_ASSERT(mergeClaims(left, right) == mergeClaims(right, left));
  });
  check("associative", [&] {
    const Member one = *claimOf(id);
    const Member two = *claimOf(id);
    const Member three = *claimOf(id);
    RC_ASSERT(mergeClaims(mergeClaims(one, two), three) ==
              mergeClaims(one, mergeClaims(two, three)));
  });
  check("idempotent and rising", [&] {
    const Member left = *claimOf(id);
    const Member merged = mergeClaims(left, *claimOf(id));
    RC_ASSERT(mergeClaims(merged, left) == merged);
    RC_ASSERT(merged.incarnation >= left.incarnation);
    RC_ASSERT(merged.incarnation > left.incarnation || merged.state >= left.state);
  });
}

TEST_CASE("tables agree after the same claims in any order, with or without duplicates") {
  check("order", [] {
    std::vector<Member> claims;
    for (int node = 1; node < 4; ++node) {
      const auto more = *rc::gen::container<std::vector<Member>>(claimOf(nodeId(node)));
      claims.insert(claims.end(), more.begin(), more.end());
    }
    MemberTable left(aliveMember(0, "a"), 3, TimePoint());
    MemberTable right(aliveMember(0, "a"), 3, TimePoint());
    for (const Member& claim : claims) {
      left.merge(claim, TimePoint());
    }
    const auto shuffled =
        *rc::gen::map(rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(
                          0, std::max<std::size_t>(claims.size(), 1))),
                      [](std::vector<std::size_t> order) { return order; });
    for (const std::size_t index : shuffled) {
      if (index < claims.size()) {
        right.merge(claims[index], TimePoint());
      }
    }
    for (auto claim = claims.rbegin(); claim != claims.rend(); ++claim) {
      right.merge(*claim, TimePoint());
    }
    RC_ASSERT(left.allMembers() == right.allMembers());
    RC_ASSERT(left.digest() == right.digest());
    RC_ASSERT(left.neighbours() == right.neighbours());
  });
}

TEST_CASE("a connected mesh has at most two readers, a partitioned one at most one per part") {
  check("readers", [] {
    const auto mesh = randomMesh();
    std::set<ZoneId> cut_off;
    for (const auto& [id, members] : mesh) {
      if (*rc::gen::arbitrary<bool>()) {
        cut_off.insert(id);
      }
    }
    const bool divided = !cut_off.empty() && cut_off.size() < mesh.size();
    std::map<bool, std::set<ZoneId>> reader_zones;
    std::map<bool, std::size_t> readers;
    std::size_t nodes = 0;
    for (const auto& [id, members] : mesh) {
      for (const Member& self : members) {
        ++nodes;
        if (computeRoles(viewFrom(mesh, self, cut_off)).source_reader) {
          const bool part = divided && cut_off.contains(id);
          ++readers[part];
          reader_zones[part].insert(id);
        }
      }
    }
    if (divided) {
      RC_ASSERT(readers[false] == 1U);
      RC_ASSERT(readers[true] == 1U);
    } else {
      RC_ASSERT(readers[false] == std::min(kSourceReaders, nodes));
      RC_ASSERT(reader_zones[false].size() == std::min(kSourceReaders, mesh.size()));
    }
  });
}

TEST_CASE("every zone has its distributors and voters, and all its nodes agree on them") {
  check("zone roles", [] {
    const auto mesh = randomMesh();
    for (const auto& [id, members] : mesh) {
      std::size_t distributors = 0;
      std::size_t voters = 0;
      for (const Member& self : members) {
        const Roles roles = computeRoles(viewFrom(mesh, self, {}));
        distributors += roles.zone_distributor ? 1 : 0;
        voters += roles.voter ? 1 : 0;
      }
      RC_ASSERT(distributors == std::min(kDistributorsPerZone, members.size()));
      RC_ASSERT(voters == std::min(kVotersPerZone, members.size()));
    }
  });
}

TEST_CASE("the neighbours computed from a view are the table's ring neighbours") {
  check("neighbours", [] {
    const auto mesh = randomMesh();
    for (const auto& [id, members] : mesh) {
      for (const Member& self : members) {
        MemberTable table(self, kProbeRings, TimePoint());
        for (const Member& member : members) {
          if (member.id != self.id) {
            table.merge(member, TimePoint());
          }
        }
        std::set<NodeId> neighbours;
        for (const Member& member : ringNeighbours(viewFrom(mesh, self, {}))) {
          neighbours.insert(member.id);
        }
        const std::set<NodeId> expected(table.neighbours().begin(), table.neighbours().end());
        RC_ASSERT(neighbours == expected);
      }
    }
  });
}

TEST_CASE("suspecting a reader does not create a third one, and a leaving node holds no role") {
  std::map<ZoneId, std::vector<Member>> mesh;
  for (int number = 0; number < 6; ++number) {
    mesh[ZoneId("z0")].push_back(aliveMember(number, "z0"));
  }
  const auto readersIn = [&] {
    std::vector<std::size_t> readers;
    for (std::size_t i = 0; i < mesh[ZoneId("z0")].size(); ++i) {
      if (computeRoles(viewFrom(mesh, mesh[ZoneId("z0")][i], {})).source_reader) {
        readers.push_back(i);
      }
    }
    return readers;
  };
  const std::vector<std::size_t> before = readersIn();
  REQUIRE(before.size() == kSourceReaders);
  Member& reader = mesh[ZoneId("z0")][before.front()];
  reader.state = MemberState::kSuspect;
  CHECK(readersIn() == before);
  reader.state = MemberState::kAlive;
  reader.leaving = true;
  CHECK(readersIn() != before);
  CHECK(computeRoles(viewFrom(mesh, reader, {})) == Roles{});
}

}  // namespace coursepond::membership
