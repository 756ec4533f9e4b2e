#include "admission/tenant_table.h"

#include <doctest/doctest.h>

namespace coursepond::admission {
namespace {

model::Tenant makeTenant(const std::string& name, std::initializer_list<std::string> keys) {
  model::Tenant tenant;
  tenant.name = TenantName(name);
  for (const std::string& key : keys) tenant.key_digests.push_back(Digest::of(key));
  return tenant;
}

}  // namespace

TEST_CASE("a tenant is found by each of its keys and by its name") {
  const std::vector<model::Tenant> tenants = {makeTenant("farm", {"k1", "k2"}),
                                              makeTenant("shop", {"k3"}), makeTenant("none", {})};
  const TenantTable table(tenants);
  CHECK_FALSE(table.empty());
  CHECK(table.findByKey(Digest::of("k1")) == &tenants[0]);
  CHECK(table.findByKey(Digest::of("k2")) == &tenants[0]);
  CHECK(table.findByKey(Digest::of("k3")) == &tenants[1]);
  CHECK(table.findByName("none") == &tenants[2]);
}

TEST_CASE("an unknown key, a prefix of a key, an empty key and an empty digest find no tenant") {
  const std::vector<model::Tenant> tenants = {makeTenant("farm", {"k1"})};
  const TenantTable table(tenants);
  for (const char* key : {"", "k", "k11", "K1"}) CHECK(table.findByKey(Digest::of(key)) == nullptr);
  CHECK(table.findByKey(Digest()) == nullptr);
  CHECK(table.findByName("") == nullptr);
  CHECK(TenantTable({}).empty());
}

}  // namespace coursepond::admission
