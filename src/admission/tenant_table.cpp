#include "admission/tenant_table.h"

namespace coursepond::admission {

TenantTable::TenantTable(std::span<const model::Tenant> tenants) {
  by_name_.reserve(tenants.size());
  for (const model::Tenant& tenant : tenants) {
    by_name_.emplace(tenant.name.value(), &tenant);
    for (const Digest& key : tenant.key_digests) by_key_.emplace(key, &tenant);
  }
}

const model::Tenant* TenantTable::findByKey(const Digest& key_digest) const {
  const auto found = by_key_.find(key_digest);
  return found == by_key_.end() ? nullptr : found->second;
}

const model::Tenant* TenantTable::findByName(std::string_view name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : found->second;
}

}  // namespace coursepond::admission
