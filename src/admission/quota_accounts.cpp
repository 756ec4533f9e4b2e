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

/// Demand is counted over about this: shorter than the loads change, longer than the gaps between
/// the requests of a tenant that is worth asking ahead for.
constexpr Duration kDemandHalfLife = std::chrono::seconds(1);
/// An account says nothing more after this: its lease is over and its demand forgotten.
constexpr Duration kIdleHold = std::chrono::seconds(15);
/// A node that did not answer is not asked for so long. Longer than a process takes to start again.
constexpr Duration kAvoidSilent = std::chrono::seconds(2);
/// An even share that was not used is kept for so long: with fewer tokens than one at each node,
/// one that is used seldom would never have any to stake.
constexpr double kShareStockSeconds = 1.0;

}  // namespace

QuotaAccounts::Account::Account(const model::Tenant& tenant, TimePoint now)
    : quota(tenant.quota), counted_at(now), even_share(0, now) {}

QuotaAccounts::QuotaAccounts(QuotaPool& pool, QuotaPeers& peers, Environment& environment,
                             const QuotaSettings& settings)
    : pool_(pool), peers_(peers), environment_(environment), settings_(settings) {}

void QuotaAccounts::setMachines(std::string own, std::vector<std::string> hosts) {
  own_ = std::move(own);
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
  count(account, now);
  if (now < account.lease_end && takeLent(account)) return noted(true);
  if (now < account.refused_until) return noted(false);
  if (account.is_asking) {
    account.waiters.push_back(&waiter);
    return QuotaVerdict::kAsked;
  }
  const std::optional<Owner> owner = ownerFor(tenant.name, now);
  if (!owner) return noted(passesByShare(account, now));
  account.waiters.push_back(&waiter);
  if (owner->host != own_) {
    askPeer(tenant.name, account, *owner, now);
    return QuotaVerdict::kAsked;
  }
  borrowFromOwnPool(tenant.name, account, *owner, now);
  account.waiters.pop_back();
  return noted(takeLent(account));
}

bool QuotaAccounts::takeLent(Account& account) {
  if (account.lent < 1) return false;
  account.lent -= 1;
  return true;
}

QuotaVerdict QuotaAccounts::noted(bool may_pass) {
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
  // Tokens lent under another quota are not used under this one.
  if (std::exchange(account.quota, tenant.quota) != tenant.quota) account.lent = 0;
  return account;
}

void QuotaAccounts::forgetIdle(TimePoint now) {
  std::erase_if(accounts_, [now](const auto& item) {
    const Account& account = item.second;
    return account.waiters.empty() && !account.is_asking && now - account.counted_at > kIdleHold;
  });
  next_sweep_ = now + kIdleHold;
}

/// The decaying count of a steady stream is its rate by this.
void QuotaAccounts::count(Account& account, TimePoint now) const {
  const double per_request = std::numbers::ln2 / toSeconds(kDemandHalfLife);
  account.demand *= leftAfter(now - account.counted_at, kDemandHalfLife);
  account.demand += per_request;
  account.counted_at = now;
}

/// Where the share holds less than one token, what there is is staked on a chance of a whole one:
/// all nodes together pass what their shares add up to.
bool QuotaAccounts::passesByShare(Account& account, TimePoint now) {
  ++statistics_.unowned;
  const auto nodes = static_cast<double>(std::max<std::size_t>(nodes_, 1));
  const double share = settings_.unownedPart() / nodes;
  const double rate = share * rateOf(account.quota);
  const double depth = share * depthOf(account.quota) + kShareStockSeconds * rate;
  account.even_share.fill(rate, depth, now);
  const double tokens = account.even_share.tokens();
  account.even_share.take(std::min(tokens, 1.0));
  return tokens >= 1 || happens(environment_, tokens);
}

// ---- Owners

/// The first machine in the tenant's order, or the second while the first does not answer.
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

QuotaAsk QuotaAccounts::makeAsk(const TenantName& tenant, Account& account, const Owner& owner,
                                TimePoint now) const {
  QuotaAsk ask;
  ask.tenant = tenant;
  ask.asker = own_;
  ask.needed = static_cast<double>(account.waiters.size());
  ask.ahead = account.demand * toSeconds(kLeaseTime);
  // Older tokens are as good as spent: the owner's bucket is most likely full again.
  const bool is_recent = now - account.lease_end < kLeaseTime;
  if (is_recent) ask.returned = std::floor(account.lent);
  ask.is_stand_in = owner.is_stand_in;
  account.lent = 0;
  return ask;
}

void QuotaAccounts::borrowFromOwnPool(const TenantName& tenant, Account& account,
                                      const Owner& owner, TimePoint now) {
  ++statistics_.asked;
  takeIn(account, pool_.lend(account.quota, makeAsk(tenant, account, owner, now), now), now);
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

void QuotaAccounts::takeIn(Account& account, const QuotaGrant& grant, TimePoint now) {
  account.lent += grant.tokens;
  account.lease_end = now + kLeaseTime;
  account.refused_until = now + grant.wait;
}

void QuotaAccounts::onGrant(const TenantName& tenant, const QuotaGrant& grant) {
  const TimePoint now = environment_.now();
  Account& account = accounts_.at(tenant);
  account.is_asking = false;
  takeIn(account, grant, now);
  const bool has_no_more = grant.wait > Duration(0) || grant.tokens < 1;
  serveWaiters(account, has_no_more);
  if (!account.waiters.empty() && !account.is_asking) askForWaiters(tenant, account, now);
}

void QuotaAccounts::onNoAnswer(const TenantName& tenant, const std::string& host) {
  const TimePoint now = environment_.now();
  ++statistics_.ask_failures;
  avoided_until_[host] = now + kAvoidSilent;
  Account& account = accounts_.at(tenant);
  account.is_asking = false;
  if (!account.waiters.empty()) askForWaiters(tenant, account, now);
}

void QuotaAccounts::askForWaiters(const TenantName& tenant, Account& account, TimePoint now) {
  const std::optional<Owner> owner = ownerFor(tenant, now);
  if (owner && owner->host != own_) return askPeer(tenant, account, *owner, now);
  if (owner) {
    borrowFromOwnPool(tenant, account, *owner, now);
    return serveWaiters(account, true);
  }
  for (std::size_t left = account.waiters.size(); left > 0 && !account.waiters.empty(); --left) {
    tellFirst(account, passesByShare(account, now));
  }
}

/// In order, with the tokens at hand. Those without one go on waiting, or are refused when the
/// owner has no more.
void QuotaAccounts::serveWaiters(Account& account, bool refuses_rest) {
  for (std::size_t left = account.waiters.size(); left > 0 && !account.waiters.empty(); --left) {
    const bool may_pass = takeLent(account);
    if (!may_pass && !refuses_rest) return;
    tellFirst(account, may_pass);
  }
}

/// What the waiter does may make others come or leave.
void QuotaAccounts::tellFirst(Account& account, bool may_pass) {
  QuotaWaiter* const waiter = account.waiters.front();
  account.waiters.pop_front();
  noted(may_pass);
  waiter->onQuota(may_pass);
}

}  // namespace coursepond::admission
