#include "distribution/secret_store.h"

#include <set>

#include "model/snapshot.h"

namespace coursepond::distribution {

std::size_t SecretStore::add(const model::Configuration& configuration,
                             const model::SecretValues& values) {
  std::size_t added = 0;
  for (const auto& [name, value] : values) {
    const auto descriptor = configuration.secrets.find(name);
    if (descriptor == configuration.secrets.end()) continue;
    if (model::digestOfSecret(name, value) != descriptor->second.digest) continue;
    const bool is_new = values_.try_emplace(Key{name, descriptor->second.digest}, value).second;
    added += is_new ? 1 : 0;
  }
  return added;
}

std::vector<SecretName> SecretStore::missing(const model::Configuration& configuration,
                                             const ZoneId& zone) const {
  std::vector<SecretName> names;
  for (const SecretName& name : model::secretsUsedInZone(configuration, zone)) {
    const auto descriptor = configuration.secrets.find(name);
    const bool held = descriptor != configuration.secrets.end() &&
                      values_.contains(Key{name, descriptor->second.digest});
    if (!held) names.push_back(name);
  }
  return names;
}

bool SecretStore::holdsAll(const model::Configuration& configuration) const {
  for (const auto& [name, descriptor] : configuration.secrets) {
    if (!values_.contains(Key{name, descriptor.digest})) return false;
  }
  return true;
}

model::SecretValues SecretStore::valuesFor(const model::Configuration& configuration,
                                           const ZoneId& zone) const {
  model::SecretValues values;
  for (const SecretName& name : model::secretsUsedInZone(configuration, zone)) {
    const auto descriptor = configuration.secrets.find(name);
    if (descriptor == configuration.secrets.end()) continue;
    const auto value = values_.find(Key{name, descriptor->second.digest});
    if (value != values_.end()) values.emplace(name, value->second);
  }
  return values;
}

void SecretStore::prune(const std::vector<ConfigurationPointer>& configurations,
                        const std::optional<ZoneId>& only_zone) {
  std::set<Key> used;
  for (const ConfigurationPointer& configuration : configurations) {
    if (!only_zone) {
      for (const auto& [name, descriptor] : configuration->secrets) {
        used.insert(Key{name, descriptor.digest});
      }
      continue;
    }
    for (const SecretName& name : model::secretsUsedInZone(*configuration, *only_zone)) {
      const auto descriptor = configuration->secrets.find(name);
      if (descriptor != configuration->secrets.end()) {
        used.insert(Key{name, descriptor->second.digest});
      }
    }
  }
  std::erase_if(values_, [&used](const auto& entry) { return !used.contains(entry.first); });
}

}  // namespace coursepond::distribution
