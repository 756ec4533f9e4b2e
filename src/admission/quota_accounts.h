#pragma once

/// What this node may pass of each tenant's requests: tokens lent by the owner of the tenant's
/// quota (quota.h), or an even share of the quota while nobody lends.
///
/// The load that this answers: few tenants send most requests and most tenants send few, from all
/// machines alike or through one zone. Of what a quota allows with 1.6 times as much as is asked,
/// an even share at each of 63 nodes refuses 0.84 of 5 requests a second, 0.03 of 161, and 0.48 of
/// those 161 where they come through one zone of three; tokens lent on demand refuse below 0.01 of
/// each, for 5, 60 and 23 questions a second of all nodes (quota_fleet_test, in virtual time).

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

/// A request that waits to hear whether its tenant's quota has room for it.
class QuotaWaiter {
 public:
  virtual ~QuotaWaiter() = default;
  virtual void onQuota(bool may_pass) = 0;
};

enum class QuotaVerdict {
  kPasses,
  kRefused,
  kAsked,  ///< The waiter will be told, unless it leaves.
};

/// Counters for /metrics. Never reset.
struct QuotaStatistics {
  std::uint64_t passed = 0;
  std::uint64_t refused = 0;
  std::uint64_t asked = 0;         ///< Questions to owners, this node's own pool included.
  std::uint64_t ask_failures = 0;  ///< Without an answer.
  std::uint64_t unowned = 0;       ///< Requests judged by the even share, for want of an owner.
};

class QuotaAccounts {
 public:
  /// `pool` (this node's own), `peers` and `environment` must outlive the accounts.
  QuotaAccounts(QuotaPool& pool, QuotaPeers& peers, Environment& environment,
                const QuotaSettings& settings = {});

  void changeSettings(const QuotaSettings& settings) { settings_ = settings; }
  /// The machines that run a node, by IP number, `own` this one's.
  void setMachines(std::string own, std::vector<std::string> hosts);
  /// How many nodes share the quotas; at least the number of machines.
  void setNodes(std::size_t nodes) { nodes_ = nodes; }

  /// Whether a request of the tenant, whose quota is limited, may pass. `waiter` is kept only when
  /// kAsked is returned, until it is told or leaves.
  QuotaVerdict take(const model::Tenant& tenant, QuotaWaiter& waiter);
  void leave(QuotaWaiter& waiter);
  /// A request that had passed was not run.
  void giveBack(const TenantName& tenant);
  /// When a request of the tenant that was refused should come back.
  Duration retryAfter(const TenantName& tenant) const;

  const QuotaStatistics& statistics() const { return statistics_; }
  std::size_t tenants() const { return accounts_.size(); }

 private:
  /// One tenant that is active here.
  struct Account {
    Account(const model::Tenant& tenant, TimePoint now);
    model::Quota quota;
    double lent = 0;          ///< Tokens at hand,
    TimePoint lease_end;      ///< until then.
    TimePoint refused_until;  ///< The owner has none before this.
    double demand = 0;        ///< Requests a second.
    TimePoint counted_at;
    QuotaBucket even_share;
    std::deque<QuotaWaiter*> waiters;
    bool is_asking = false;
  };

  /// Who lends the tokens of a tenant.
  struct Owner {
    std::string host;
    bool is_stand_in = false;
  };

  Account& accountOf(const model::Tenant& tenant, TimePoint now);
  void forgetIdle(TimePoint now);
  void count(Account& account, TimePoint now) const;
  static bool takeLent(Account& account);
  bool passesByShare(Account& account, TimePoint now);
  QuotaVerdict noted(bool may_pass);
  std::optional<Owner> ownerFor(const TenantName& tenant, TimePoint now) const;
  bool isAvoided(const std::string& host, TimePoint now) const;
  QuotaAsk makeAsk(const TenantName& tenant, Account& account, const Owner& owner,
                   TimePoint now) const;
  void borrowFromOwnPool(const TenantName& tenant, Account& account, const Owner& owner,
                         TimePoint now);
  void askPeer(const TenantName& tenant, Account& account, const Owner& owner, TimePoint now);
  void askForWaiters(const TenantName& tenant, Account& account, TimePoint now);
  static void takeIn(Account& account, const QuotaGrant& grant, TimePoint now);
  void onGrant(const TenantName& tenant, const QuotaGrant& grant);
  void onNoAnswer(const TenantName& tenant, const std::string& host);
  void serveWaiters(Account& account, bool refuses_rest);
  void tellFirst(Account& account, bool may_pass);

  QuotaPool& pool_;
  QuotaPeers& peers_;
  Environment& environment_;
  QuotaSettings settings_;
  std::string own_;
  struct Machine {
    std::string host;
    std::uint64_t hash = 0;
  };
  std::vector<Machine> machines_;
  std::map<std::string, TimePoint> avoided_until_;  ///< Hosts that did not answer.
  std::size_t nodes_ = 1;
  std::map<TenantName, Account> accounts_;
  TimePoint next_sweep_;
  QuotaStatistics statistics_;
  /// Callbacks hold a weak reference: they end with the accounts.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace coursepond::admission
