#pragma once

/// Enforces each tenant's quota on this node, with tokens lent by the owner of the quota (quota.h),
/// or with an even share of the quota while no owner can be reached.
///
/// A few tenants send most requests and most tenants send few, either through all machines or
/// through one zone. With a fixed even share per node, a quota that is large enough for the load
/// would still refuse many requests of a small tenant, and of a tenant whose requests all arrive in
/// one zone. Lending tokens on demand refuses hardly any (quota_fleet_test).

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission/quota.h"
#include "admission/quota_bucket.h"
#include "admission/quota_pool.h"
#include "admission/quota_settings.h"
#include "core/environment.h"

namespace coursepond::admission {

/// A request that waits for its tenant's quota to be checked.
class QuotaWaiter {
 public:
  virtual ~QuotaWaiter() = default;
  /// Called when the check is done. `may_pass` is false if the quota is exhausted.
  virtual void onQuotaChecked(bool may_pass) = 0;
};

enum class QuotaVerdict {
  kPasses,
  kRefused,
  kPending,  ///< Pending: the waiter's onQuotaChecked() will be called, unless it leaves first.
};

/// Counters for /metrics. Never reset.
struct QuotaStatistics {
  std::uint64_t passed = 0;
  std::uint64_t refused = 0;
  std::uint64_t asked = 0;         ///< Token requests to owners, including this node's own pool.
  std::uint64_t ask_failures = 0;  ///< Token requests without an answer.
  std::uint64_t unowned = 0;       ///< Requests checked against the even share, without an owner.
};

class QuotaAccounts {
 public:
  /// `pool` (this node's own), `peers` and `environment` must outlive the accounts.
  QuotaAccounts(QuotaPool& pool, QuotaPeers& peers, Environment& environment,
                const QuotaSettings& settings = {});

  void changeSettings(const QuotaSettings& settings) { settings_ = settings; }
  /// Sets the IP addresses of this machine and of all machines that run a node.
  void setMachines(std::string own, std::vector<std::string> hosts);
  /// Sets the number of nodes that share the quotas, which is at least the number of machines.
  void setNodes(std::size_t nodes) { nodes_ = nodes; }

  /// Takes a token for a request of the tenant, whose quota must be limited. `waiter` is only
  /// stored if kPending is returned, until its onQuotaChecked() is called or it leaves.
  QuotaVerdict take(const model::Tenant& tenant, QuotaWaiter& waiter);
  /// Removes a waiter that no longer needs an answer.
  void leave(QuotaWaiter& waiter);
  /// Returns the token of a request that passed but was not run.
  void giveBack(const TenantName& tenant);
  /// Returns the time after which a refused request of the tenant should be retried.
  Duration retryAfter(const TenantName& tenant) const;

  const QuotaStatistics& statistics() const { return statistics_; }
  std::size_t tenants() const { return accounts_.size(); }

 private:
  /// State of one tenant with recent requests on this node.
  struct Account {
    Account(const model::Tenant& tenant, TimePoint now);
    model::Quota quota;
    double lent = 0;          ///< Lent tokens that are left; valid until `lease_end`.
    TimePoint lease_end;      ///< End of the lease.
    TimePoint refused_until;  ///< The owner has no tokens before this time.
    double demand = 0;        ///< Decaying average in requests per second.
    TimePoint counted_at;     ///< Last update of `demand`.
    QuotaBucket even_share;
    std::deque<QuotaWaiter*> waiters;
    bool is_asking = false;
  };

  /// The node that lends the tokens of a tenant.
  struct Owner {
    std::string host;
    bool is_stand_in = false;
  };

  Account& accountOf(const model::Tenant& tenant, TimePoint now);
  void forgetIdle(TimePoint now);
  void countDemand(Account& account, TimePoint now) const;
  static bool takeLentToken(Account& account);
  bool passesByShare(Account& account, TimePoint now);
  QuotaVerdict countVerdict(bool may_pass);
  std::optional<Owner> ownerFor(const TenantName& tenant, TimePoint now) const;
  bool isAvoided(const std::string& host, TimePoint now) const;
  QuotaRequest makeAsk(const TenantName& tenant, Account& account, const Owner& owner,
                       TimePoint now) const;
  void borrowFromOwnPool(const TenantName& tenant, Account& account, const Owner& owner,
                         TimePoint now);
  void askPeer(const TenantName& tenant, Account& account, const Owner& owner, TimePoint now);
  void askForWaiters(const TenantName& tenant, Account& account, TimePoint now);
  static void applyGrant(Account& account, const QuotaGrant& grant, TimePoint now);
  void onGrant(const TenantName& tenant, const QuotaGrant& grant);
  void onNoAnswer(const TenantName& tenant, const std::string& host);
  void serveWaiters(Account& account, bool refuses_rest);
  void notifyFirst(Account& account, bool may_pass);

  QuotaPool& pool_;
  QuotaPeers& peers_;
  Environment& environment_;
  QuotaSettings settings_;
  std::string own_host_;
  struct Machine {
    std::string host;
    std::uint64_t hash = 0;
  };
  std::vector<Machine> machines_;
  std::map<std::string, TimePoint> avoided_until_;  ///< By host; those that did not answer.
  std::size_t nodes_ = 1;
  std::map<TenantName, Account> accounts_;
  TimePoint next_sweep_;
  QuotaStatistics statistics_;
  /// Callbacks hold a weak reference and do nothing once the accounts are destroyed.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace coursepond::admission
