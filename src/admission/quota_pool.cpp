#include "admission/quota_pool.h"

#include <cmath>

#include "core/time_arithmetic.h"

namespace coursepond::admission {
namespace {

/// Tokens for requests to come are lent only from what others leave: so many may share it.
constexpr double kSharers = 4;
/// A node that did not ask for so long is not counted among those that share a quota.
constexpr Duration kAskerHold = std::chrono::seconds(2);
/// What was lent ahead is used evenly over its lease: half of it in half of that time.
constexpr Duration kLentHalfLife = kLeaseTime / 2;
/// A bucket is full again and its leases are over long before this.
constexpr Duration kIdleHold = std::chrono::seconds(15);
/// Questions a second that an owner takes of the nodes which want more of a tenant than there is.
/// An estimate, not measured: a question costs about as much as a hop of a request, and a node of a
/// tenth of a core takes some hundreds of those a second.
constexpr double kAsksPerSecond = 150;
constexpr Duration kShortestWait = std::chrono::milliseconds(50);
constexpr Duration kLongestWait = std::chrono::seconds(1);

}  // namespace

QuotaPool::TenantState& QuotaPool::stateOf(const TenantName& tenant, const model::Quota& quota,
                                           TimePoint now) {
  if (now >= next_sweep_) forgetIdle(now);
  // A new owner does not know what the one before has lent: it begins with the part of the burst
  // that the two together may lend.
  return tenants_.try_emplace(tenant, settings_.overshoot * depthOf(quota), now).first->second;
}

void QuotaPool::forgetIdle(TimePoint now) {
  std::erase_if(tenants_,
                [now](const auto& item) { return now - item.second.last_asked > kIdleHold; });
  next_sweep_ = now + kIdleHold;
}

QuotaGrant QuotaPool::lend(const model::Quota& quota, const QuotaAsk& ask, TimePoint now) {
  TenantState& state = stateOf(ask.tenant, quota, now);
  state.last_asked = now;
  state.asked_at[ask.asker] = now;
  std::erase_if(state.asked_at, [now](const auto& item) { return now - item.second > kAskerHold; });
  const auto askers = static_cast<double>(state.asked_at.size());
  const double nodes = std::max(static_cast<double>(nodes_), askers);
  const double share = ask.is_stand_in ? settings_.unownedPart() * askers / nodes : 1.0;
  const double rate = share * rateOf(quota);

  QuotaBucket& bucket = ask.is_stand_in ? state.unowned : state.owned;
  bucket.giveBack(std::clamp(ask.returned, 0.0, depthOf(quota)));
  state.lent_ahead *= leftAfter(now - state.lent_at, kLentHalfLife);
  state.lent_at = now;
  const double depth = share * depthOf(quota);
  bucket.fill(rate, std::max(1.0, depth - state.lent_ahead), now);
  const double available = bucket.tokens();
  QuotaGrant grant;
  if (available >= 1) {
    const double needed = std::min(std::max(ask.needed, 0.0), available);
    const double room = std::max(0.0, depth - state.lent_ahead);
    const double spare = std::min(room, (available - needed) / kSharers);
    grant.tokens = std::floor(needed + std::min(std::max(ask.ahead, 0.0), spare));
    bucket.take(grant.tokens);
    state.lent_ahead += std::max(0.0, grant.tokens - needed);
  }
  const bool is_short = grant.tokens < std::floor(ask.needed);
  if (!is_short) return grant;
  // Who is told to wait comes back when there is a token for it, all of them in some order.
  const Duration for_token = inSeconds(std::max(0.0, 1 - bucket.tokens()) / rate);
  const Duration for_turn = inSeconds(askers / kAsksPerSecond);
  grant.wait = std::clamp(std::max(for_token, for_turn), kShortestWait, kLongestWait);
  return grant;
}

}  // namespace coursepond::admission
