#pragma once

/// The configuration used by one proxy: complete, validated and immutable.

#include <memory>
#include <vector>

#include "core/error.h"
#include "model/configuration.h"

namespace coursepond::model {

/// A new snapshot is built while the current one stays in use, and is put in force by swapping one
/// pointer. A request uses the same snapshot from start to end.
/// Invariant (relied on by proxy::RouteTable): each route's service is in `services` and each of
/// its secrets is in `secrets`.
struct Snapshot {
  Version version;
  Digest digest;
  std::vector<Route> routes;  ///< Only the routes of this proxy's zone, sorted by name.
  std::map<ServiceName, Service> services;
  SecretValues secrets;  ///< Only those that `routes` use.
  /// Empty: requests need no API key.
  std::vector<Tenant> tenants;
  CallerLimits limits;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

/// Returns the names of the secrets that routes of `zone` use.
std::vector<SecretName> secretsUsedInZone(const Configuration& configuration, const ZoneId& zone);

/// Builds the snapshot for a proxy of `zone`. Fails with kMissingDependency if a service or a
/// secret value is absent, and with kDigestMismatch if a secret value does not match its digest in
/// the configuration.
Result<SnapshotPointer> buildSnapshot(const Configuration& configuration,
                                      const SecretValues& secret_values, const ZoneId& zone);

/// Same as above, for a digest that is already known or not needed. Computing the digest costs more
/// than the rest of the function.
Result<SnapshotPointer> buildSnapshot(const Configuration& configuration,
                                      const SecretValues& secret_values, const ZoneId& zone,
                                      const Digest& digest);

}  // namespace coursepond::model
