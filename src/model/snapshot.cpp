#include "model/snapshot.h"

#include <algorithm>
#include <set>

#include "model/document.h"

namespace coursepond::model {
namespace {

bool isUsedIn(const Route& route, const ZoneId& zone) {
  return route.zones.empty() ||
         std::find(route.zones.begin(), route.zones.end(), zone) != route.zones.end();
}

Error missing(const Route& route, const std::string& kind, const std::string& name) {
  return Error{ErrorKind::kMissingDependency,
               "route '" + route.name.value() + "' needs " + kind + " '" + name +
                   "', which this proxy does not hold",
               "fetch the " + kind + " before the version is put in force"};
}

/// Returns the first service of `route` that is not defined, or null if all are defined.
const ServiceName* findAbsentService(const Configuration& configuration, const Route& route) {
  const ServiceName* absent = nullptr;
  forEachService(route, [&](const ServiceName& service) {
    const bool is_defined = absent != nullptr || configuration.services.contains(service);
    if (!is_defined) absent = &service;
  });
  return absent;
}

/// Returns the value of one secret that `route` uses after checking its digest.
Result<SecretValue> findSecret(const Configuration& configuration, const SecretValues& values,
                               const Route& route, const SecretName& name) {
  const auto descriptor = configuration.secrets.find(name);
  const auto value = values.find(name);
  if (descriptor == configuration.secrets.end() || value == values.end()) {
    return missing(route, "secret", name.value());
  }
  if (digestOfSecret(name, value->second) != descriptor->second.digest) {
    return Error{ErrorKind::kDigestMismatch,
                 "the value of secret '" + name.value() +
                     "' does not match its digest in version " +
                     std::to_string(configuration.version.value()) + " of the configuration",
                 "fetch the secret again"};
  }
  return value->second;
}

}  // namespace

std::vector<SecretName> secretsUsedInZone(const Configuration& configuration, const ZoneId& zone) {
  std::set<SecretName> names;
  for (const auto& [name, route] : configuration.routes) {
    if (!isUsedIn(route, zone)) continue;
    for (const SecretUse& use : route.secrets) names.insert(use.secret);
  }
  return {names.begin(), names.end()};
}

Result<SnapshotPointer> buildSnapshot(const Configuration& configuration,
                                      const SecretValues& secret_values, const ZoneId& zone) {
  return buildSnapshot(configuration, secret_values, zone, contentDigest(configuration));
}

Result<SnapshotPointer> buildSnapshot(const Configuration& configuration,
                                      const SecretValues& secret_values, const ZoneId& zone,
                                      const Digest& digest) {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->version = configuration.version;
  snapshot->digest = digest;
  snapshot->services = configuration.services;
  snapshot->limits = configuration.limits;
  snapshot->tenants.reserve(configuration.tenants.size());
  for (const auto& [name, tenant] : configuration.tenants) snapshot->tenants.push_back(tenant);
  snapshot->routes.reserve(configuration.routes.size());
  for (const auto& [name, route] : configuration.routes) {
    if (!isUsedIn(route, zone)) continue;
    if (const ServiceName* const absent = findAbsentService(configuration, route)) {
      return missing(route, "service", absent->value());
    }
    for (const SecretUse& use : route.secrets) {
      Result<SecretValue> value = findSecret(configuration, secret_values, route, use.secret);
      if (!value.has_value()) return value.error();
      snapshot->secrets.insert_or_assign(use.secret, *value);
    }
    snapshot->routes.push_back(route);
  }
  return SnapshotPointer(std::move(snapshot));
}

}  // namespace coursepond::model
