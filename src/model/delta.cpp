#include "model/delta.h"

#include <boost/json.hpp>

#include "model/codec.h"
#include "model/document.h"
#include "model/json_reader.h"

namespace coursepond::model {
namespace {

using boost::json::storage_ptr;

constexpr NumberRange kVersionRange{0, kLargestExactNumber};

template <typename NameType, typename Item>
NameChanges<NameType> compare(const std::map<NameType, Item>& base,
                              const std::map<NameType, Item>& target) {
  NameChanges<NameType> changes;
  auto held = base.begin();
  // Both maps are sorted by name, so a single merge pass finds all differences.
  for (const auto& [name, item] : target) {
    while (held != base.end() && held->first < name) changes.removed.push_back((held++)->first);
    if (held == base.end() || name < held->first) {
      changes.added.push_back(name);
    } else if (!((held++)->second == item)) {
      changes.changed.push_back(name);
    }
  }
  while (held != base.end()) changes.removed.push_back((held++)->first);
  return changes;
}

template <typename NameType, typename Item>
std::vector<Item> upserts(const NameChanges<NameType>& changes,
                          const std::map<NameType, Item>& target) {
  std::vector<Item> items;
  for (const NameType& name : changes.added) items.push_back(target.at(name));
  for (const NameType& name : changes.changed) items.push_back(target.at(name));
  return items;
}

template <typename NameType, typename Item>
void change(std::map<NameType, Item>& items, const std::vector<Item>& upserted,
            const std::vector<NameType>& removed) {
  for (const NameType& name : removed) items.erase(name);
  for (const Item& item : upserted) items.insert_or_assign(item.name, item);
}

template <typename NameType>
boost::json::array namesToJson(const std::vector<NameType>& names, const storage_ptr& storage) {
  boost::json::array json(storage);
  json.reserve(names.size());
  for (const NameType& name : names) json.emplace_back(boost::json::string_view(name.value()));
  return json;
}

template <typename Item, typename Convert>
boost::json::array itemsToJson(const std::vector<Item>& items, const Convert& convert,
                               const storage_ptr& storage) {
  boost::json::array json(storage);
  json.reserve(items.size());
  for (const Item& item : items) json.push_back(convert(item, storage));
  return json;
}

template <typename NameType>
std::vector<NameType> readNames(ObjectReader& reader, std::string_view key) {
  std::vector<NameType> names;
  for (std::string& name : reader.sortedTexts(key, rules::kName)) {
    names.emplace_back(std::move(name));
  }
  return names;
}

template <typename Item>
std::vector<Item> readItems(ObjectReader& reader, std::string_view key,
                            Item (*read)(ObjectReader&)) {
  std::vector<Item> items;
  reader.optionalObjects(key,
                         [&items, read](ObjectReader& element) { items.push_back(read(element)); });
  return items;
}

/// Omits empty lists, because most deltas change only one kind of item.
void addUnlessEmpty(boost::json::object& json, std::string_view key, boost::json::array list) {
  if (!list.empty()) json.emplace(key, std::move(list));
}

}  // namespace

ConfigurationDiff diff(const Configuration& base, const Configuration& target) {
  return {compare(base.routes, target.routes), compare(base.services, target.services),
          compare(base.secrets, target.secrets), compare(base.tenants, target.tenants)};
}

Delta makeDelta(const Configuration& base, const Configuration& target, DeltaCheck check) {
  const ConfigurationDiff changes = diff(base, target);
  Delta delta;
  delta.base_version = base.version;
  delta.target_version = target.version;
  if (check == DeltaCheck::kDigests) {
    delta.base_digest = contentDigest(base);
    delta.target_digest = contentDigest(target);
  }
  delta.upserted_routes = upserts(changes.routes, target.routes);
  delta.removed_routes = changes.routes.removed;
  delta.upserted_services = upserts(changes.services, target.services);
  delta.removed_services = changes.services.removed;
  delta.upserted_secrets = upserts(changes.secrets, target.secrets);
  delta.removed_secrets = changes.secrets.removed;
  delta.upserted_tenants = upserts(changes.tenants, target.tenants);
  delta.removed_tenants = changes.tenants.removed;
  delta.limits = target.limits;
  return delta;
}

Result<Configuration> applyDelta(const Configuration& base, const Delta& delta, DeltaCheck check) {
  const bool by_digest = check == DeltaCheck::kDigests;
  const bool is_base =
      by_digest ? contentDigest(base) == delta.base_digest : base.version == delta.base_version;
  if (!is_base) {
    return Error{ErrorKind::kBaseMismatch,
                 "the delta's base digest does not match the content of version " +
                     std::to_string(base.version.value()),
                 "ask for the whole configuration"};
  }
  Configuration target = base;
  target.version = delta.target_version;
  change(target.routes, delta.upserted_routes, delta.removed_routes);
  change(target.services, delta.upserted_services, delta.removed_services);
  change(target.secrets, delta.upserted_secrets, delta.removed_secrets);
  change(target.tenants, delta.upserted_tenants, delta.removed_tenants);
  target.limits = delta.limits;
  if (by_digest && contentDigest(target) != delta.target_digest) {
    return Error{ErrorKind::kDigestMismatch,
                 "applying the delta does not produce the content it declares for version " +
                     std::to_string(delta.target_version.value()),
                 "ask for the whole configuration"};
  }
  return target;
}

std::string deltaToText(const Delta& delta) {
  boost::json::monotonic_resource memory;
  const storage_ptr storage(&memory);
  boost::json::object json(storage);
  json.emplace("base_digest", delta.base_digest.toHex());
  json.emplace("base_version", delta.base_version.value());
  if (delta.limits != CallerLimits()) json.emplace("limits", limitsToJson(delta.limits, storage));
  addUnlessEmpty(json, "removed_routes", namesToJson(delta.removed_routes, storage));
  addUnlessEmpty(json, "removed_secrets", namesToJson(delta.removed_secrets, storage));
  addUnlessEmpty(json, "removed_services", namesToJson(delta.removed_services, storage));
  addUnlessEmpty(json, "removed_tenants", namesToJson(delta.removed_tenants, storage));
  json.emplace("target_digest", delta.target_digest.toHex());
  json.emplace("target_version", delta.target_version.value());
  addUnlessEmpty(json, "upserted_routes", itemsToJson(delta.upserted_routes, routeToJson, storage));
  addUnlessEmpty(json, "upserted_secrets",
                 itemsToJson(delta.upserted_secrets, descriptorToJson, storage));
  addUnlessEmpty(json, "upserted_services",
                 itemsToJson(delta.upserted_services, serviceToJson, storage));
  addUnlessEmpty(json, "upserted_tenants",
                 itemsToJson(delta.upserted_tenants, tenantToJson, storage));
  return boost::json::serialize(json);
}

Result<Delta> deltaFromText(std::string_view text) {
  Mistakes mistakes;
  const std::optional<JsonDocument> json = parseJson(text, mistakes);
  if (!json) return mistakes.front().error;

  ObjectReader reader(json->root(), "", mistakes);
  Delta delta;
  delta.base_version = Version(reader.number("base_version", kVersionRange));
  delta.base_digest = reader.digest("base_digest");
  delta.target_version = Version(reader.number("target_version", kVersionRange));
  delta.target_digest = reader.digest("target_digest");
  delta.upserted_routes = readItems(reader, "upserted_routes", readRoute);
  delta.removed_routes = readNames<RouteName>(reader, "removed_routes");
  delta.upserted_services = readItems(reader, "upserted_services", readService);
  delta.removed_services = readNames<ServiceName>(reader, "removed_services");
  delta.upserted_secrets = readItems(reader, "upserted_secrets", readDescriptor);
  delta.removed_secrets = readNames<SecretName>(reader, "removed_secrets");
  delta.upserted_tenants = readItems(reader, "upserted_tenants", readTenant);
  delta.removed_tenants = readNames<TenantName>(reader, "removed_tenants");
  reader.optionalObject("limits",
                        [&delta](ObjectReader& element) { delta.limits = readLimits(element); });
  reader.refuseUnknownKeys();
  if (mistakes.empty()) return delta;
  Error error = mistakes.front().error;
  error.kind = ErrorKind::kMalformed;
  return error;
}

}  // namespace coursepond::model
