#include "admission/quota_accounts.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>
#include <utility>

#include "core/chance.h"
#include "core/rank.h"
#include "core/time_arithmetic.h"

namespace coursepond::admission {
namespace {

/// Half-life of the average demand. Shorter than the time in which loads change, and longer than
/// the gaps between the requests of a tenant for which borrowing ahead is worthwhile.
constexpr Duration kDemandHalfLife = std::chrono::seconds(1);
/// Idle time after which an account is removed. Its lease is over and its demand has decayed.
constexpr Duration kIdleTimeout = std::chrono::seconds(15);
/// How long a node that did not answer is not asked again. Longer than a process takes to restart.
constexpr Duration kAvoidanceTime = std::chrono::seconds(2);
/// Extra depth of the even-share bucket, in seconds of its rate. Where the share is less than one
/// token per node, a bucket that is rarely used would otherwise never have any tokens.
constexpr double kShareDepthSeconds = 1.0;

}  // namespace

QuotaAccounts::Account::Account(const model::Tenant& tenant, TimePoint now)
    : quota(tenant.quota), counted_at(now), even_share(0, now) {}

QuotaAccounts::QuotaAccounts(QuotaPool& pool, QuotaPeers& peers, Environment& environment,
                             const QuotaSettings& settings)
    : pool_(pool), peers_(peers), environment_(environment), settings_(settings) {}

void QuotaAccounts::setMachines(std::string own, std::vector<std::string> hosts) {
  own_host_ = std::move(own);
  machines_.clear();
  for (std::string& host : hosts) {
    const std::uint64_t hash = stableHash(host);
    machines_.push_back({std::move(host), hash});
  }
  nodes_ = std::max(nodes_, machines_.size());
}

// ---- Requests

QuotaVerdict QuotaAccounts::take(const model::Tenant& tenant, QuotaWaiter& waiter) {
  const TimePoint now = environment_.now();
  Account& account = accountOf(tenant, now);
  countDemand(account, now);
  if (now < account.lease_end && takeLentToken(account)) return countVerdict(true);
  if (now < account.refused_until) return countVerdict(false);
  if (account.is_asking) {
    account.waiters.push_back(&waiter);
    return QuotaVerdict::kPending;
  }
  const std::optional<Owner> owner = ownerFor(tenant.name, now);
  if (!owner) return countVerdict(passesByShare(account, now));
  account.waiters.push_back(&waiter);
  if (owner->host != own_host_) {
    askPeer(tenant.name, account, *owner, now);
    return QuotaVerdict::kPending;
  }
  borrowFromOwnPool(tenant.name, account, *owner, now);
  account.waiters.pop_back();
  return countVerdict(takeLentToken(account));
}

bool QuotaAccounts::takeLentToken(Account& account) {
  if (account.lent < 1) return false;
  account.lent -= 1;
  return true;
}

QuotaVerdict QuotaAccounts::countVerdict(bool may_pass) {
  ++(may_pass ? statistics_.passed : statistics_.refused);
  return may_pass ? QuotaVerdict::kPasses : QuotaVerdict::kRefused;
}

void QuotaAccounts::leave(QuotaWaiter& waiter) {
  for (auto& [name, account] : accounts_) std::erase(account.waiters, &waiter);
}

void QuotaAccounts::giveBack(const TenantName& tenant) {
  const auto found = accounts_.find(tenant);
  if (found == accounts_.end()) return;
  Account& account = found->second;
  if (environment_.now() < account.lease_end) account.lent += 1;
}

Duration QuotaAccounts::retryAfter(const TenantName& tenant) const {
  const auto found = accounts_.find(tenant);
  if (found == accounts_.end()) return Duration(0);
  return std::max(Duration(0), found->second.refused_until - environment_.now());
}

// ---- Accounts

QuotaAccounts::Account& QuotaAccounts::accountOf(const model::Tenant& tenant, TimePoint now) {
  if (now >= next_sweep_) forgetIdle(now);
  Account& account = accounts_.try_emplace(tenant.name, tenant, now).first->second;
  // Tokens that were lent under an earlier quota must not be used under the new one.
  if (std::exchange(account.quota, tenant.quota) != tenant.quota) account.lent = 0;
  return account;
}

void QuotaAccounts::forgetIdle(TimePoint now) {
  std::erase_if(accounts_, [now](const auto& item) {
    const Account& account = item.second;
    return account.waiters.empty() && !account.is_asking && now - account.counted_at > kIdleTimeout;
  });
  next_sweep_ = now + kIdleTimeout;
}

/// Updates the demand. Each request adds ln 2 / half-life, so that the decaying sum of a steady
/// stream of requests equals its rate.
void QuotaAccounts::countDemand(Account& account, TimePoint now) const {
  const double per_request = std::numbers::ln2 / toSeconds(kDemandHalfLife);
  account.demand *= decayFactor(now - account.counted_at, kDemandHalfLife);
  account.demand += per_request;
  account.counted_at = now;
}

/// With less than one token, a request passes with a probability equal to the tokens that are left,
/// and these are used up either way. So all nodes together pass as many requests as their shares
/// add up to.
bool QuotaAccounts::passesByShare(Account& account, TimePoint now) {
  ++statistics_.unowned;
  const auto nodes = static_cast<double>(std::max<std::size_t>(nodes_, 1));
  const double share = settings_.unownedPart() / nodes;
  const double rate = share * rateOf(account.quota);
  const double depth = share * depthOf(account.quota) + kShareDepthSeconds * rate;
  account.even_share.fill(rate, depth, now);
  const double tokens = account.even_share.tokens();
  account.even_share.take(std::min(tokens, 1.0));
  return tokens >= 1 || randomBool(environment_, tokens);
}

// ---- Owners

/// Returns the first machine in the tenant's rendezvous order, or the second while the first does
/// not answer.
std::optional<QuotaAccounts::Owner> QuotaAccounts::ownerFor(const TenantName& tenant,
                                                            TimePoint now) const {
  const RankSalt salt = stableHash(tenant.value());
  const Machine* first = nullptr;
  const Machine* second = nullptr;
  std::uint64_t first_rank = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t second_rank = first_rank;
  for (const Machine& machine : machines_) {
    const std::uint64_t rank = rankOf(machine.hash, salt);
    if (rank < first_rank) {
      second = std::exchange(first, &machine);
      second_rank = std::exchange(first_rank, rank);
    } else if (rank < second_rank) {
      second = &machine;
      second_rank = rank;
    }
  }
  if (first != nullptr && !isAvoided(first->host, now)) return Owner{first->host, false};
  if (second != nullptr && !isAvoided(second->host, now)) return Owner{second->host, true};
  return std::nullopt;
}

bool QuotaAccounts::isAvoided(const std::string& host, TimePoint now) const {
  const auto avoided = avoided_until_.find(host);
  return avoided != avoided_until_.end() && now < avoided->second;
}

QuotaRequest QuotaAccounts::makeAsk(const TenantName& tenant, Account& account, const Owner& owner,
                                    TimePoint now) const {
  QuotaRequest ask;
  ask.tenant = tenant;
  ask.asker = own_host_;
  ask.needed = static_cast<double>(account.waiters.size());
  ask.ahead = account.demand * toSeconds(kLeaseTime);
  // Older tokens are not worth returning: the owner's bucket is most likely full again.
  const bool is_recent = now - account.lease_end < kLeaseTime;
  if (is_recent) ask.returned = std::floor(account.lent);
  ask.is_stand_in = owner.is_stand_in;
  account.lent = 0;
  return ask;
}

void QuotaAccounts::borrowFromOwnPool(const TenantName& tenant, Account& account,
                                      const Owner& owner, TimePoint now) {
  ++statistics_.asked;
  applyGrant(account, pool_.lend(account.quota, makeAsk(tenant, account, owner, now), now), now);
}

void QuotaAccounts::askPeer(const TenantName& tenant, Account& account, const Owner& owner,
                            TimePoint now) {
  ++statistics_.asked;
  account.is_asking = true;
  peers_.ask(owner.host, makeAsk(tenant, account, owner, now),
             [this, tenant, host = owner.host,
              alive = std::weak_ptr<int>(alive_)](const Result<QuotaGrant>& grant) {
               if (alive.expired()) return;
               grant ? onGrant(tenant, *grant) : onNoAnswer(tenant, host);
             });
}

void QuotaAccounts::applyGrant(Account& account, const QuotaGrant& grant, TimePoint now) {
  account.lent += grant.tokens;
  account.lease_end = now + kLeaseTime;
  account.refused_until = now + grant.wait;
}

void QuotaAccounts::onGrant(const TenantName& tenant, const QuotaGrant& grant) {
  const TimePoint now = environment_.now();
  Account& account = accounts_.at(tenant);
  account.is_asking = false;
  applyGrant(account, grant, now);
  const bool is_exhausted = grant.wait > Duration(0) || grant.tokens < 1;
  serveWaiters(account, is_exhausted);
  if (!account.waiters.empty() && !account.is_asking) askForWaiters(tenant, account, now);
}

void QuotaAccounts::onNoAnswer(const TenantName& tenant, const std::string& host) {
  const TimePoint now = environment_.now();
  ++statistics_.ask_failures;
  avoided_until_[host] = now + kAvoidanceTime;
  Account& account = accounts_.at(tenant);
  account.is_asking = false;
  if (!account.waiters.empty()) askForWaiters(tenant, account, now);
}

void QuotaAccounts::askForWaiters(const TenantName& tenant, Account& account, TimePoint now) {
  const std::optional<Owner> owner = ownerFor(tenant, now);
  if (owner && owner->host != own_host_) return askPeer(tenant, account, *owner, now);
  if (owner) {
    borrowFromOwnPool(tenant, account, *owner, now);
    return serveWaiters(account, true);
  }
  for (std::size_t left = account.waiters.size(); left > 0 && !account.waiters.empty(); --left) {
    notifyFirst(account, passesByShare(account, now));
  }
}

/// Serves waiters in order while tokens are left. The rest keeps waiting, or is refused if
/// `refuses_rest` is set.
void QuotaAccounts::serveWaiters(Account& account, bool refuses_rest) {
  for (std::size_t left = account.waiters.size(); left > 0 && !account.waiters.empty(); --left) {
    const bool may_pass = takeLentToken(account);
    if (!may_pass && !refuses_rest) return;
    notifyFirst(account, may_pass);
  }
}

/// The waiter's callback may add or remove other waiters.
void QuotaAccounts::notifyFirst(Account& account, bool may_pass) {
  QuotaWaiter* const waiter = account.waiters.front();
  account.waiters.pop_front();
  countVerdict(may_pass);
  waiter->onQuotaChecked(may_pass);
}

}  // namespace coursepond::admission
