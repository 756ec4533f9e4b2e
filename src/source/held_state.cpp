#include "source/held_state.h"

#include <algorithm>

namespace coursepond::source {

bool HeldState::updateConfiguration(const WatchBatch& batch) {
  const SourceRevision before = configuration_revision_;
  bool has_changed = zones_.update(batch, configuration_revision_);
  if (has_changed) zones_changed_ = std::max(zones_changed_, batch.revision);
  for (const ConfigurationPointer& configuration : batch.configurations) {
    if (addVersion(configuration)) has_changed = true;
  }
  configuration_revision_ = std::max(configuration_revision_, batch.revision);
  countRestore(before, configuration_revision_);
  if (has_changed || configuration_revision_ != before) ++configuration_edition_;
  return has_changed;
}

ServerChanges HeldState::updateServers(const WatchBatch& batch, bool is_complete) {
  const SourceRevision before = servers_.revision();
  ServerChanges changes = servers_.update(batch, is_complete);
  countRestore(before, servers_.revision());
  if (changes || servers_.revision() != before) ++servers_edition_;
  return changes;
}

void HeldState::countRestore(SourceRevision before, SourceRevision after) {
  if (before != SourceRevision() && after.era > before.era) ++restores_;
}

ServerChanges HeldState::dropUnconfirmedServers() {
  ++servers_edition_;
  return servers_.dropUnconfirmed();
}

ServerChanges HeldState::acceptDoubtedServers() {
  ++servers_edition_;
  return servers_.acceptDoubted();
}

bool HeldState::settleZones() {
  ++configuration_edition_;
  return zones_.settle();
}

bool HeldState::addVersion(const ConfigurationPointer& configuration) {
  if (configuration->version <= version()) return false;
  configurations_.push_back(configuration);
  dropOldVersions();
  return true;
}

void HeldState::keepVersions(std::size_t count) {
  remembered_versions_ = std::max<std::size_t>(count, 1);
  dropOldVersions();
}

void HeldState::dropOldVersions() {
  while (configurations_.size() > remembered_versions_) configurations_.pop_front();
}

ConfigurationPointer HeldState::find(Version version) const {
  for (const ConfigurationPointer& configuration : configurations_) {
    if (configuration->version == version) return configuration;
  }
  return nullptr;
}

StateUpdate HeldState::configurationSince(Version version) const {
  StateUpdate update;
  update.revision = configuration_revision_;
  update.drained_zones.emplace(zones_.drained().begin(), zones_.drained().end());
  if (this->version() <= version) return update;
  if (const ConfigurationPointer base = find(version)) {
    update.delta = model::makeDelta(*base, *newest(), model::DeltaCheck::kVersions);
  } else {
    update.configuration = newest();
  }
  return update;
}

}  // namespace coursepond::source
