#pragma once

/// The configuration as one proxy holds it: whole, checked and immutable.

#include <memory>
#include <vector>

#include "core/error.h"
#include "model/configuration.h"

namespace coursepond::model {

/// Built aside and swapped in as one pointer. A request keeps the snapshot it began with.
/// Invariant (relied on by proxy::RouteTable): each route's service is in `services` and each of
/// its secrets is in `secrets`.
struct Snapshot {
  Version version;
  Digest digest;
  std::vector<Route> routes;  ///< Only the routes of this proxy's zone, by name.
  std::map<ServiceName, Service> services;
  SecretValues secrets;  ///< Only those that `routes` use.
  /// None: requests need no API key.
  std::vector<Tenant> tenants;
  CallerLimits limits;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

/// The names of the secrets that routes of `zone` use.
std::vector<SecretName> secretsUsedInZone(const Configuration& configuration, const ZoneId& zone);

/// Builds the snapshot for a proxy of `zone`, or fails: kMissingDependency (service or secret value
/// absent), kDigestMismatch (a secret value is not the one the configuration names).
Result<SnapshotPointer> buildSnapshot(const Configuration& configuration,
                                      const SecretValues& secret_values, const ZoneId& zone);

/// The same with a digest that is known already, or that nobody asks for: working it out costs more
/// than the rest.
Result<SnapshotPointer> buildSnapshot(const Configuration& configuration,
                                      const SecretValues& secret_values, const ZoneId& zone,
                                      const Digest& digest);

}  // namespace coursepond::model
