#pragma once

/// Token buckets of the tenants whose quota this node owns, or for whose owner it stands in. Only
/// has state for tenants for which other nodes asked recently.

#include <cstdint>
#include <map>
#include <string>

#include "admission/quota.h"
#include "admission/quota_bucket.h"
#include "admission/quota_settings.h"

namespace coursepond::admission {

class QuotaPool {
 public:
  explicit QuotaPool(const QuotaSettings& settings = {}) : settings_(settings) {}

  void changeSettings(const QuotaSettings& settings) { settings_ = settings; }
  /// Sets the number of nodes that share the quotas.
  void setNodes(std::size_t nodes) { nodes_ = nodes; }

  /// Answers `ask` for a tenant with this quota, which must be limited.
  QuotaGrant lend(const model::Quota& quota, const QuotaRequest& ask, TimePoint now);

  std::size_t tenants() const { return tenants_.size(); }

 private:
  struct TenantState {
    TenantState(double first_tokens, TimePoint now)
        : owned(first_tokens, now), unowned(0, now), last_asked(now), lent_at(now) {}
    QuotaBucket owned;
    QuotaBucket unowned;                        ///< Used while this node stands in for the owner.
    std::map<std::string, TimePoint> asked_at;  ///< Time of the last token request, by asker.
    TimePoint last_asked;
    /// Estimated number of tokens that were lent for expected requests and are not used yet. The
    /// borrowing nodes may use them at the same time as the tokens in this bucket, so that both
    /// together must not exceed the burst.
    double lent_ahead = 0;
    TimePoint lent_at;  ///< Last update of `lent_ahead`.
  };

  TenantState& stateOf(const TenantName& tenant, const model::Quota& quota, TimePoint now);
  void forgetIdle(TimePoint now);

  QuotaSettings settings_;
  std::size_t nodes_ = 1;
  std::map<TenantName, TenantState> tenants_;
  TimePoint next_sweep_;
};

}  // namespace coursepond::admission
