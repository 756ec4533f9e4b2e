#include "source/held_state.h"

#include <algorithm>

#include "model/unlisted.h"

namespace coursepond::source {
namespace {

/// Removals remembered: more than a whole zone that goes at once.
constexpr std::size_t kMostRemovals = 512;

}  // namespace

bool HeldState::updateConfiguration(const WatchBatch& batch) {
  bool has_changed = updateZones(batch);
  for (const ConfigurationPointer& configuration : batch.configurations) {
    if (hold(configuration)) has_changed = true;
  }
  configuration_revision_ = std::max(configuration_revision_, batch.revision);
  return has_changed;
}

bool HeldState::updateServers(const WatchBatch& batch, bool is_complete) {
  bool has_changed = false;
  // Who went before the first list is not known.
  if (servers_revision_ == Generation()) forgotten_until_ = batch.revision;
  for (const model::ServerEntry& entry : batch.servers) {
    if (put(entry)) has_changed = true;
  }
  for (const EndpointId& id : batch.removed_servers) {
    if (remove(id, batch.revision)) has_changed = true;
  }
  if (is_complete && removeUnlisted(batch.servers, batch.revision)) has_changed = true;
  servers_revision_ = std::max(servers_revision_, batch.revision);
  return has_changed;
}

bool HeldState::updateZones(const WatchBatch& batch) {
  std::set<ZoneId> drained = batch.lists_zones ? std::set<ZoneId>() : drained_zones_;
  for (const ZoneChange& change : batch.zone_changes) {
    if (change.is_drained) {
      drained.insert(change.zone);
    } else {
      drained.erase(change.zone);
    }
  }
  if (drained == drained_zones_) return false;
  drained_zones_ = std::move(drained);
  zones_changed_ = std::max(zones_changed_, batch.revision);
  return true;
}

bool HeldState::put(const model::ServerEntry& entry) {
  model::ServerEntry& held = servers_[entry.id];
  if (entry.revision < held.revision || held == entry) return false;
  held = entry;
  last_change_ = std::max(last_change_, entry.revision);
  return true;
}

bool HeldState::remove(const EndpointId& id, Generation revision) {
  if (servers_.erase(id) == 0) return false;
  removals_.push_back({revision, id});
  last_change_ = std::max(last_change_, revision);
  if (removals_.size() > kMostRemovals) {
    forgotten_until_ = removals_.front().revision;
    removals_.pop_front();
  }
  return true;
}

bool HeldState::removeUnlisted(const std::vector<model::ServerEntry>& listed, Generation revision) {
  const std::vector<EndpointId> gone = model::unlistedIds(servers_, listed);
  for (const EndpointId& id : gone) remove(id, revision);
  return !gone.empty();
}

bool HeldState::hold(const ConfigurationPointer& configuration) {
  if (configuration->version <= version()) return false;
  configurations_.push_back(configuration);
  forgetVersions();
  return true;
}

void HeldState::rememberVersions(std::size_t count) {
  remembered_versions_ = std::max<std::size_t>(count, 1);
  forgetVersions();
}

void HeldState::forgetVersions() {
  while (configurations_.size() > remembered_versions_) configurations_.pop_front();
}

ConfigurationPointer HeldState::find(Version version) const {
  for (const ConfigurationPointer& configuration : configurations_) {
    if (configuration->version == version) return configuration;
  }
  return nullptr;
}

bool HeldState::hasServersSince(Generation after) const {
  return last_change_ > after || after < forgotten_until_;
}

StateUpdate HeldState::serversSince(Generation after) const {
  StateUpdate update;
  update.revision = servers_revision_;
  update.is_complete = after < forgotten_until_ || after == Generation();
  for (const auto& [id, entry] : servers_) {
    if (update.is_complete || entry.revision > after) update.servers.push_back(entry);
  }
  if (!update.is_complete) {
    for (const Removal& removal : removals_) {
      const bool is_back = servers_.contains(removal.id);
      if (removal.revision > after && !is_back) update.removed_servers.push_back(removal.id);
    }
  }
  return update;
}

StateUpdate HeldState::configurationSince(Version version) const {
  StateUpdate update;
  update.revision = configuration_revision_;
  update.drained_zones.emplace(drained_zones_.begin(), drained_zones_.end());
  if (this->version() <= version) return update;
  if (const ConfigurationPointer base = find(version)) {
    update.delta = model::makeDelta(*base, *newest(), model::DeltaCheck::kVersions);
  } else {
    update.configuration = newest();
  }
  return update;
}

}  // namespace coursepond::source
