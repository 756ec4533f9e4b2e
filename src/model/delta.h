#pragma once

/// Differences between two configurations, used for plans and as deltas between peers.

#include <cstddef>
#include <string>
#include <vector>

#include "core/error.h"
#include "model/configuration.h"

namespace coursepond::model {

/// Names of the items of one kind that were added, changed and removed.
template <typename NameType>
struct NameChanges {
  std::vector<NameType> added;
  std::vector<NameType> changed;
  std::vector<NameType> removed;
  bool empty() const { return added.empty() && changed.empty() && removed.empty(); }
};

struct ConfigurationDiff {
  NameChanges<RouteName> routes;
  NameChanges<ServiceName> services;
  NameChanges<SecretName> secrets;
  NameChanges<TenantName> tenants;
  bool empty() const {
    return routes.empty() && services.empty() && secrets.empty() && tenants.empty();
  }
};

ConfigurationDiff diff(const Configuration& base, const Configuration& target);

/// Turns the configuration with digest `base_digest` into the one with `target_digest`.
struct Delta {
  Version base_version;
  Digest base_digest;
  Version target_version;
  Digest target_digest;
  std::vector<Route> upserted_routes;
  std::vector<RouteName> removed_routes;
  std::vector<Service> upserted_services;
  std::vector<ServiceName> removed_services;
  std::vector<SecretDescriptor> upserted_secrets;
  std::vector<SecretName> removed_secrets;
  std::vector<Tenant> upserted_tenants;
  std::vector<TenantName> removed_tenants;
  CallerLimits limits;  ///< Limits of the target configuration.
  friend bool operator==(const Delta&, const Delta&) = default;
};

/// How a delta identifies its base and target. Digests are valid no matter who assigned the version
/// numbers, but the digest of 800 routes takes 1 ms of CPU time. Versions are sufficient if a
/// single source assigns them all and never reuses a number.
enum class DeltaCheck { kDigests, kVersions };

Delta makeDelta(const Configuration& base, const Configuration& target,
                DeltaCheck check = DeltaCheck::kDigests);

/// Returns the target configuration, kBaseMismatch if the delta was made for another base, or
/// kDigestMismatch if the result does not have the target digest. Never changes `base`.
Result<Configuration> applyDelta(const Configuration& base, const Delta& delta,
                                 DeltaCheck check = DeltaCheck::kDigests);

/// Converts a delta to JSON text and back. The parser returns kMalformed with the location.
std::string deltaToText(const Delta& delta);
Result<Delta> deltaFromText(std::string_view text);

}  // namespace coursepond::model
