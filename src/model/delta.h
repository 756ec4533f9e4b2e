#pragma once

/// What differs between two configurations: for plans, and as deltas between peers.

#include <cstddef>
#include <string>
#include <vector>

#include "core/error.h"
#include "model/configuration.h"

namespace coursepond::model {

/// Names added, changed and removed of one kind of thing.
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
  CallerLimits limits;  ///< Of the target.
  friend bool operator==(const Delta&, const Delta&) = default;
};

/// How a delta names its base and target. Digests hold whoever numbered the versions; a digest of
/// 800 routes takes 1 ms of a processor. Versions are enough where one source numbers them all and
/// never gives a number twice.
enum class DeltaCheck { kDigests, kVersions };

Delta makeDelta(const Configuration& base, const Configuration& target,
                DeltaCheck check = DeltaCheck::kDigests);

/// The target configuration, or kBaseMismatch (base is another) or kDigestMismatch (the outcome is
/// not what the delta promised). `base` is never changed.
Result<Configuration> applyDelta(const Configuration& base, const Delta& delta,
                                 DeltaCheck check = DeltaCheck::kDigests);

/// The delta as JSON text, and back (kMalformed with the place).
std::string deltaToText(const Delta& delta);
Result<Delta> deltaFromText(std::string_view text);

}  // namespace coursepond::model
