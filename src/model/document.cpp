#include "model/document.h"

#include <algorithm>
#include <boost/json.hpp>
#include <unordered_map>

#include "model/codec.h"
#include "model/json_reader.h"

namespace coursepond::model {
namespace {

constexpr NumberRange kVersionRange{1, kLargestExactNumber};

/// Adds `item` under its name; a duplicate name is a mistake.
template <typename Items, typename Item>
void insertOnce(Items& items, Item item, ObjectReader& reader) {
  if (item.name.empty()) return;  // Already reported when the name was read.
  const std::string name = item.name.value();
  if (items.emplace(item.name, std::move(item)).second) return;
  reader.refuse("name", ErrorKind::kInvalidArgument, "'" + name + "' is used twice",
                "rename or remove one of them");
}

bool zonesOverlap(const std::vector<ZoneId>& left, const std::vector<ZoneId>& right) {
  if (left.empty() || right.empty()) return true;
  return std::any_of(left.begin(), left.end(), [&right](const ZoneId& zone) {
    return std::find(right.begin(), right.end(), zone) != right.end();
  });
}

struct MatchHash {
  std::size_t operator()(const RouteMatch& match) const {
    const std::hash<std::string> hash;
    return hash(match.host) * 31 + hash(match.path_prefix);
  }
};

/// Finds routes that match the same requests, because the choice between them would be undefined.
/// Groups routes by their match first, so that documents with many routes stay cheap to check.
class AmbiguityCheck {
 public:
  void add(const Route& route, ObjectReader& reader) {
    std::vector<Taker>& others = takers_[route.match];
    for (const Taker& other : others) {
      if (other.name == route.name || !zonesOverlap(route.zones, other.zones)) continue;
      reader.refuse("", ErrorKind::kInvalidArgument,
                    "route '" + route.name.value() + "' matches the same requests as route '" +
                        other.name.value() + "'",
                    "change the match or the zones of one of them");
      break;
    }
    others.push_back({route.name, route.zones});
  }

 private:
  struct Taker {
    RouteName name;
    std::vector<ZoneId> zones;
  };

  std::unordered_map<RouteMatch, std::vector<Taker>, MatchHash> takers_;
};

template <typename Items, typename Convert>
boost::json::array itemsToJson(const Items& items, const Convert& convert,
                               const boost::json::storage_ptr& storage) {
  boost::json::array json(storage);
  json.reserve(items.size());
  for (const auto& [name, item] : items) json.push_back(convert(item, storage));
  return json;
}

void readRoutes(ObjectReader& reader, Configuration& configuration) {
  AmbiguityCheck ambiguity;
  reader.requiredObjects("routes", [&](ObjectReader& element) {
    Route route = readRoute(element);
    ambiguity.add(route, element);
    insertOnce(configuration.routes, std::move(route), element);
  });
}

void readServices(ObjectReader& reader, Configuration& configuration) {
  reader.requiredObjects("services", [&configuration](ObjectReader& element) {
    insertOnce(configuration.services, readService(element), element);
  });
}

void readSecrets(ObjectReader& reader, ConfigurationDocument& document) {
  reader.optionalObjects("secrets", [&document](ObjectReader& element) {
    SecretDescriptor descriptor;
    descriptor.name = SecretName(element.text("name", rules::kName));
    const SecretValue value(element.text("value", rules::kSecretValue));
    descriptor.digest = digestOfSecret(descriptor.name, value);
    document.secret_values.emplace(descriptor.name, value);
    insertOnce(document.configuration.secrets, std::move(descriptor), element);
  });
}

void readTenants(ObjectReader& reader, Configuration& configuration) {
  reader.optionalObjects("tenants", [&configuration](ObjectReader& element) {
    insertOnce(configuration.tenants, readTenant(element), element);
  });
}

void readCallerLimits(ObjectReader& reader, Configuration& configuration) {
  reader.optionalObject("limits", [&configuration](ObjectReader& element) {
    configuration.limits = readLimits(element);
  });
}

/// Whether references can be checked. A name that could not be read is stored as an empty name, and
/// then it is unknown whether a reference to it is dangling. The same applies if no service could
/// be read at all.
bool canCheckClosure(const Configuration& configuration) {
  const bool services_named = !configuration.services.contains(ServiceName());
  const bool secrets_named = !configuration.secrets.contains(SecretName());
  return services_named && secrets_named && !configuration.services.empty();
}

/// Returns the configuration without references whose mistakes were already reported.
Configuration withoutUnnamedReferences(Configuration configuration) {
  std::erase_if(configuration.routes, [](const auto& item) {
    bool is_unnamed = false;
    forEachService(item.second, [&is_unnamed](const ServiceName& service) {
      is_unnamed = is_unnamed || service.empty();
    });
    return is_unnamed;
  });
  for (auto& [name, route] : configuration.routes) {
    std::erase_if(route.secrets, [](const SecretUse& use) { return use.secret.empty(); });
  }
  return configuration;
}

ConfigurationDocument readDocument(std::string_view text, Mistakes& mistakes) {
  ConfigurationDocument document;
  const std::optional<JsonDocument> json = parseJson(text, mistakes);
  if (!json) return document;

  ObjectReader reader(json->root(), "", mistakes);
  document.configuration.version = Version(reader.number("version", kVersionRange));
  readRoutes(reader, document.configuration);
  readServices(reader, document.configuration);
  readSecrets(reader, document);
  readCallerLimits(reader, document.configuration);
  reader.refuseUnknownKeys();

  const bool sections_read = mistakes.empty() || canCheckClosure(document.configuration);
  if (!sections_read) return document;
  const Mistakes missing = checkClosure(withoutUnnamedReferences(document.configuration));
  mistakes.insert(mistakes.end(), missing.begin(), missing.end());
  return document;
}

void requireService(const Configuration& configuration, const Route& route, const ServiceName& name,
                    Mistakes& mistakes) {
  if (configuration.services.contains(name)) return;
  const std::string& service = name.value();
  mistakes.push_back({"routes['" + route.name.value() + "'].service",
                      Error{ErrorKind::kMissingDependency,
                            "route '" + route.name.value() + "' needs service '" + service +
                                "', which is not defined",
                            "add '" + service + "' to services or change the route"}});
}

void requireSecret(const Configuration& configuration, const Route& route, const SecretName& secret,
                   Mistakes& mistakes) {
  if (configuration.secrets.contains(secret)) return;
  mistakes.push_back({"routes['" + route.name.value() + "'].secrets",
                      Error{ErrorKind::kMissingDependency,
                            "route '" + route.name.value() + "' needs secret '" + secret.value() +
                                "', which is not defined",
                            "add '" + secret.value() + "' to secrets or change the route"}});
}

/// Reports API keys shared by two tenants: the tenant of a request would be ambiguous.
void requireOwnKeys(const Configuration& configuration, Mistakes& mistakes) {
  std::map<Digest, const Tenant*> holders;
  for (const auto& [name, tenant] : configuration.tenants) {
    for (const Digest& key : tenant.key_digests) {
      const auto [holder, is_new] = holders.emplace(key, &tenant);
      if (is_new) continue;
      mistakes.push_back({"tenants['" + name.value() + "'].key_digests",
                          Error{ErrorKind::kInvalidArgument,
                                "tenants '" + holder->second->name.value() + "' and '" +
                                    name.value() + "' hold the same API key",
                                "give each tenant keys of its own"}});
    }
  }
}

}  // namespace

std::vector<DocumentMistake> checkDocument(std::string_view json) {
  Mistakes mistakes;
  readDocument(json, mistakes);
  return mistakes;
}

Result<ConfigurationDocument> parseDocument(std::string_view json) {
  Mistakes mistakes;
  ConfigurationDocument document = readDocument(json, mistakes);
  if (!mistakes.empty()) return mistakes.front().error;
  return document;
}

std::vector<DocumentMistake> checkClosure(const Configuration& configuration) {
  Mistakes mistakes;
  for (const auto& item : configuration.routes) {
    const Route& route = item.second;
    forEachService(route, [&](const ServiceName& service) {
      requireService(configuration, route, service, mistakes);
    });
    for (const SecretUse& use : route.secrets) {
      requireSecret(configuration, route, use.secret, mistakes);
    }
  }
  requireOwnKeys(configuration, mistakes);
  return mistakes;
}

std::string canonicalText(const Configuration& configuration) {
  boost::json::monotonic_resource memory;
  const boost::json::storage_ptr storage(&memory);
  boost::json::object json(storage);
  if (configuration.limits != CallerLimits()) {
    json.emplace("limits", limitsToJson(configuration.limits, storage));
  }
  json.emplace("routes", itemsToJson(configuration.routes, routeToJson, storage));
  json.emplace("secrets", itemsToJson(configuration.secrets, descriptorToJson, storage));
  json.emplace("services", itemsToJson(configuration.services, serviceToJson, storage));
  // Omitted if empty, so that the digest of configurations without tenants stays the same.
  if (!configuration.tenants.empty()) {
    json.emplace("tenants", itemsToJson(configuration.tenants, tenantToJson, storage));
  }
  return boost::json::serialize(json);
}

Result<Configuration> parseCanonical(Version version, std::string_view text) {
  Mistakes mistakes;
  Configuration configuration;
  configuration.version = version;
  const std::optional<JsonDocument> json = parseJson(text, mistakes);
  if (!json) return mistakes.front().error;

  ObjectReader reader(json->root(), "", mistakes);
  readRoutes(reader, configuration);
  readServices(reader, configuration);
  reader.requiredObjects("secrets", [&configuration](ObjectReader& element) {
    insertOnce(configuration.secrets, readDescriptor(element), element);
  });
  readTenants(reader, configuration);
  readCallerLimits(reader, configuration);
  reader.refuseUnknownKeys();
  if (mistakes.empty()) return configuration;
  Error error = mistakes.front().error;
  error.kind = ErrorKind::kMalformed;
  return error;
}

Digest contentDigest(const Configuration& configuration) {
  return Digest::of(canonicalText(configuration));
}

}  // namespace coursepond::model
