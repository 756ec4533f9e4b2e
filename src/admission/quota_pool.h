#pragma once

/// The tokens of the tenants whose quota this node owns, or stands in for the owner of. Holds
/// something of those tenants only that were asked for lately.

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
  /// How many nodes share the quotas.
  void setNodes(std::size_t nodes) { nodes_ = nodes; }

  /// Answers `ask` for a tenant of this quota, which must be limited.
  QuotaGrant lend(const model::Quota& quota, const QuotaAsk& ask, TimePoint now);

  std::size_t tenants() const { return tenants_.size(); }

 private:
  struct TenantState {
    TenantState(double first_tokens, TimePoint now)
        : owned(first_tokens, now), unowned(0, now), last_asked(now), lent_at(now) {}
    QuotaBucket owned;
    QuotaBucket unowned;                        ///< Lent while this node stands in.
    std::map<std::string, TimePoint> asked_at;  ///< By asker.
    TimePoint last_asked;
    /// Lent for requests to come, and most likely not used yet. What is at the nodes may be used at
    /// once with what is here: both together are the burst.
    double lent_ahead = 0;
    TimePoint lent_at;  ///< When that was so.
  };

  TenantState& stateOf(const TenantName& tenant, const model::Quota& quota, TimePoint now);
  void forgetIdle(TimePoint now);

  QuotaSettings settings_;
  std::size_t nodes_ = 1;
  std::map<TenantName, TenantState> tenants_;
  TimePoint next_sweep_;
};

}  // namespace coursepond::admission
