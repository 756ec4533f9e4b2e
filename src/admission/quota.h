#pragma once

/// The messages with which nodes enforce the quota of a tenant across all of them.
///
/// Each tenant has one owner among the nodes, chosen by rendezvous hashing. The owner keeps the
/// tenant's token bucket and lends tokens to the nodes that receive the tenant's requests. A node
/// asks for tokens when it has none left, so that its state and its messages only depend on the
/// tenants that are active there. When the owner does not answer, the next node in the tenant's
/// rendezvous order stands in for it.
///
/// All nodes together stay within the overshoot that operators are promised, even while a network
/// partition makes each side ask a different node: the owner lends the whole quota, and a stand-in
/// only lends a fraction of the even shares of the nodes that ask (QuotaSettings::unownedPart).

#include <algorithm>
#include <functional>
#include <string>

#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"
#include "model/configuration.h"

namespace coursepond::admission {

/// How long a lent token may be used. A lowered quota takes full effect after this time.
inline constexpr Duration kLeaseTime = std::chrono::seconds(1);

/// A node asks the owner of a tenant's quota for tokens.
struct QuotaRequest {
  TenantName tenant;
  std::string asker;         ///< IP address of the asking machine.
  double needed = 1;         ///< Tokens for requests that are waiting.
  double ahead = 0;          ///< Tokens for requests expected within the lease.
  double returned = 0;       ///< Unused tokens of an earlier grant.
  bool is_stand_in = false;  ///< The owner did not answer, and the asked node stands in for it.
};

/// The owner's answer to a QuotaRequest.
struct QuotaGrant {
  double tokens = 0;
  Duration wait{};  ///< Time until the asker may ask for more.
};

/// Sends a QuotaRequest to another node. The callback is called exactly once, never from inside
/// ask(), and with an error if no answer arrives in time.
class QuotaPeers {
 public:
  using Callback = std::function<void(const Result<QuotaGrant>& grant)>;
  virtual ~QuotaPeers() = default;
  virtual void ask(const std::string& host, const QuotaRequest& ask, Callback callback) = 0;
};

/// Refill rate in tokens per second.
inline double rateOf(const model::Quota& quota) { return quota.rate_per_1000_s / 1000.0; }

/// Capacity of the bucket in tokens: the burst plus the tokens of a tenth of a second. Requests do
/// not arrive evenly, so a quota without a burst would otherwise refuse some of the load that its
/// rate allows.
inline double depthOf(const model::Quota& quota) {
  constexpr double kClumpSeconds = 0.1;
  return std::max(1.0, quota.burst + kClumpSeconds * rateOf(quota));
}

}  // namespace coursepond::admission
