#include "membership/member.h"

#include <algorithm>
#include <tuple>

namespace coursepond::membership {
namespace {

/// Orders claims of the same incarnation that name different zones or addresses. Such contradicting
/// claims occur only in a misconfigured mesh.
auto zoneAndAddress(const Member& member) { return std::tie(member.zone, member.peer_address); }

/// Maximum number of refutations by one process. Incarnations start as milliseconds and a restart
/// takes longer than this many milliseconds, so a new process is always further away.
constexpr std::uint64_t kMaximumRefutations = 100;

}  // namespace

bool isSameProcess(Incarnation left, Incarnation right) {
  const std::uint64_t low = std::min(left.value(), right.value());
  const std::uint64_t high = std::max(left.value(), right.value());
  return high - low <= kMaximumRefutations;
}

Member mergeClaims(const Member& left, const Member& right) {
  if (left.incarnation != right.incarnation) {
    return left.incarnation > right.incarnation ? left : right;
  }
  Member merged = zoneAndAddress(left) >= zoneAndAddress(right) ? left : right;
  merged.state = std::max(left.state, right.state);
  merged.leaving = left.leaving || right.leaving;
  return merged;
}

}  // namespace coursepond::membership
