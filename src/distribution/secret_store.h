#pragma once

/// Stores the secret values of a node. Values are never logged, and are sent only to nodes of a
/// zone whose routes use them.

#include <map>
#include <optional>
#include <vector>

#include "distribution/content_store.h"
#include "model/configuration.h"

namespace coursepond::distribution {

class SecretStore {
 public:
  /// Adds those of `values` whose name and digest appear in the configuration, and ignores the
  /// others. Returns the number of new values.
  std::size_t add(const model::Configuration& configuration, const model::SecretValues& values);

  /// Returns the names of the secrets that the zone's routes use and whose values are not held.
  std::vector<SecretName> missing(const model::Configuration& configuration,
                                  const ZoneId& zone) const;
  /// Returns whether the values of all secrets in the configuration are held.
  bool holdsAll(const model::Configuration& configuration) const;

  /// Returns the held values of the secrets that the zone's routes use.
  model::SecretValues valuesFor(const model::Configuration& configuration,
                                const ZoneId& zone) const;

  /// Drops the values that none of the configurations refers to. If a zone is given, also drops the
  /// values that its routes do not use in any of them.
  void prune(const std::vector<ConfigurationPointer>& configurations,
             const std::optional<ZoneId>& only_zone);

  std::size_t size() const { return values_.size(); }

 private:
  /// Identifies one value of a secret. Two versions may use different values of the same secret.
  struct Key {
    SecretName name;
    Digest digest;
    friend auto operator<=>(const Key&, const Key&) = default;
  };

  std::map<Key, model::SecretValue> values_;
};

}  // namespace coursepond::distribution
