#include "admission/quota_pool.h"

#include <cmath>

#include "core/time_arithmetic.h"

namespace coursepond::admission {
namespace {

/// A grant lends at most one in this many of the spare tokens for expected requests, so that other
/// nodes can borrow as well.
constexpr double kSharers = 4;
/// A node that has not asked for this long no longer counts as one that shares the quota.
constexpr Duration kAskerTimeout = std::chrono::seconds(2);
/// Half-life of the tokens lent ahead. They are assumed to be used evenly over the lease, which
/// means half of them in half of that time.
constexpr Duration kLentHalfLife = kLeaseTime / 2;
/// Idle time after which a tenant is removed. Its bucket is full and its leases are over long
/// before that.
constexpr Duration kIdleTimeout = std::chrono::seconds(15);
/// Target rate of the token requests per second that an owner receives for one tenant whose quota
/// is exhausted. A token request costs about as much as one hop of a request, and a node with a
/// tenth of a core handles some hundreds of these per second.
constexpr double kAsksPerSecond = 150;
constexpr Duration kMinWait = std::chrono::milliseconds(50);
constexpr Duration kMaxWait = std::chrono::seconds(1);

}  // namespace

QuotaPool::TenantState& QuotaPool::stateOf(const TenantName& tenant, const model::Quota& quota,
                                           TimePoint now) {
  if (now >= next_sweep_) forgetIdle(now);
  // A new owner does not know what the previous owner has lent. It starts with the overshoot
  // fraction of the bucket, which is what both together may lend beyond the quota.
  return tenants_.try_emplace(tenant, settings_.overshoot * depthOf(quota), now).first->second;
}

void QuotaPool::forgetIdle(TimePoint now) {
  std::erase_if(tenants_,
                [now](const auto& item) { return now - item.second.last_asked > kIdleTimeout; });
  next_sweep_ = now + kIdleTimeout;
}

QuotaGrant QuotaPool::lend(const model::Quota& quota, const QuotaRequest& ask, TimePoint now) {
  TenantState& state = stateOf(ask.tenant, quota, now);
  state.last_asked = now;
  state.asked_at[ask.asker] = now;
  std::erase_if(state.asked_at,
                [now](const auto& item) { return now - item.second > kAskerTimeout; });
  const auto askers = static_cast<double>(state.asked_at.size());
  const double nodes = std::max(static_cast<double>(nodes_), askers);
  const double share = ask.is_stand_in ? settings_.unownedPart() * askers / nodes : 1.0;
  const double rate = share * rateOf(quota);

  QuotaBucket& bucket = ask.is_stand_in ? state.unowned : state.owned;
  bucket.giveBack(std::clamp(ask.returned, 0.0, depthOf(quota)));
  state.lent_ahead *= decayFactor(now - state.lent_at, kLentHalfLife);
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
  // The asker waits until the next token is available, and long enough that all askers together
  // stay within kAsksPerSecond.
  const Duration for_token = durationFromSeconds(std::max(0.0, 1 - bucket.tokens()) / rate);
  const Duration for_turn = durationFromSeconds(askers / kAsksPerSecond);
  grant.wait = std::clamp(std::max(for_token, for_turn), kMinWait, kMaxWait);
  return grant;
}

}  // namespace coursepond::admission
