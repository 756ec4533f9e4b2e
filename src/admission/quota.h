#pragma once

/// What nodes say to each other so that the quota of a tenant holds over all of them together.
///
/// Each tenant has one owner among the nodes, chosen by rendezvous hashing: it holds the tenant's
/// token bucket and lends tokens to the nodes at which the tenant's requests arrive. A node asks
/// when it has none left, so that its state and messages follow the tenants that are active there.
/// When the owner does not answer, the next node in the tenant's order stands in for it.
///
/// What all nodes pass stays within the overshoot that operators are promised, also while they are
/// cut in two and each side asks a node of its own: the owner lends the whole quota, and whoever
/// stands in for it a part of the even shares of the nodes that ask (QuotaSettings::unownedPart).

#include <algorithm>
#include <functional>
#include <string>

#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"
#include "model/configuration.h"

namespace coursepond::admission {

/// A lent token may be used for so long. A quota that is lowered binds after it.
inline constexpr Duration kLeaseTime = std::chrono::seconds(1);

/// A node asks the owner of a tenant's quota for tokens.
struct QuotaAsk {
  TenantName tenant;
  std::string asker;         ///< IP number of its machine.
  double needed = 1;         ///< For requests that wait.
  double ahead = 0;          ///< For requests expected within the lease.
  double returned = 0;       ///< Lent before and not used.
  bool is_stand_in = false;  ///< The owner did not answer: the asked node stands in for it.
};

/// What the owner lends.
struct QuotaGrant {
  double tokens = 0;
  Duration wait{};  ///< Not to be asked for more before this is over.
};

/// Asks other nodes. Calls back once, never from inside ask(); an error when no answer comes soon.
class QuotaPeers {
 public:
  using Callback = std::function<void(const Result<QuotaGrant>& grant)>;
  virtual ~QuotaPeers() = default;
  virtual void ask(const std::string& host, const QuotaAsk& ask, Callback callback) = 0;
};

/// Tokens a second.
inline double rateOf(const model::Quota& quota) { return quota.rate_per_1000_s / 1000.0; }

/// Tokens that a full bucket holds. A tenth of a second's tokens beyond the burst, since requests
/// come in clumps: a quota without a burst would refuse some of a load that it allows.
inline double depthOf(const model::Quota& quota) {
  constexpr double kClumpSeconds = 0.1;
  return std::max(1.0, quota.burst + kClumpSeconds * rateOf(quota));
}

}  // namespace coursepond::admission
