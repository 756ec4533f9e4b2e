#pragma once

/// Finds the tenant of a request by the digest of its API key, or by the tenant's name if another
/// node has already determined it.

#include <span>
#include <string_view>
#include <unordered_map>

#include "core/digest.h"
#include "model/configuration.h"

namespace coursepond::admission {

class TenantTable {
 public:
  /// `tenants` must outlive the table.
  explicit TenantTable(std::span<const model::Tenant> tenants);

  /// Without tenants, requests need no API key.
  bool empty() const { return by_name_.empty(); }
  /// Returns null if no tenant has this key.
  const model::Tenant* findByKey(const Digest& key_digest) const;
  /// Returns null if there is no tenant with this name.
  const model::Tenant* findByName(std::string_view name) const;

 private:
  struct SameKey {
    bool operator()(const Digest& left, const Digest& right) const {
      return left.equalsInConstantTime(right);
    }
  };
  std::unordered_map<Digest, const model::Tenant*, std::hash<Digest>, SameKey> by_key_;
  std::unordered_map<std::string_view, const model::Tenant*> by_name_;
};

}  // namespace coursepond::admission
