#include "distribution/endpoint_store.h"

#include <algorithm>
#include <set>
#include <utility>

#include "membership/rank.h"

namespace coursepond::distribution {
namespace {

std::uint64_t hashOf(const EndpointKey& key, Generation generation) {
  const std::uint64_t name = membership::mixBits(membership::stableHash(key.service.value())) ^
                             membership::stableHash(key.zone.value());
  return membership::mixBits(name ^ membership::mixBits(generation.value()));
}

EndpointKey keyOf(const model::EndpointSet& set) { return {set.service, set.zone}; }

/// Sorts by id, so that equal sets compare equal regardless of their order in the platform's list.
std::vector<model::Endpoint> sorted(std::vector<model::Endpoint> endpoints) {
  std::sort(endpoints.begin(), endpoints.end(),
            [](const model::Endpoint& a, const model::Endpoint& b) { return a.id < b.id; });
  return endpoints;
}

EndpointChange fullChange(const model::EndpointSet& set) {
  return EndpointChange{keyOf(set), Generation(), set.generation, set.endpoints, {}};
}

/// Returns the change from `base` to `target`, or the full target if that is not larger.
EndpointChange changeBetween(const model::EndpointSet& base, const model::EndpointSet& target) {
  EndpointChange change{keyOf(target), base.generation, target.generation, {}, {}};
  std::map<EndpointId, const model::Endpoint*> known;
  for (const model::Endpoint& endpoint : base.endpoints) known[endpoint.id] = &endpoint;
  for (const model::Endpoint& endpoint : target.endpoints) {
    const auto previous = known.find(endpoint.id);
    if (previous == known.end() || *previous->second != endpoint) {
      change.upserted.push_back(endpoint);
    }
    if (previous != known.end()) known.erase(previous);
  }
  for (const auto& [id, endpoint] : known) change.removed.push_back(id);
  const std::size_t size = change.upserted.size() + change.removed.size();
  return size < target.endpoints.size() ? change : fullChange(target);
}

model::EndpointSet applyTo(const model::EndpointSet& base, const EndpointChange& change) {
  std::map<EndpointId, model::Endpoint> endpoints;
  if (change.base_generation != Generation()) {
    for (const model::Endpoint& endpoint : base.endpoints) endpoints[endpoint.id] = endpoint;
  }
  for (const EndpointId& id : change.removed) endpoints.erase(id);
  for (const model::Endpoint& endpoint : change.upserted) endpoints[endpoint.id] = endpoint;

  model::EndpointSet set{change.key.service, change.key.zone, change.generation, {}};
  for (auto& [id, endpoint] : endpoints) set.endpoints.push_back(std::move(endpoint));
  return set;
}

}  // namespace

EndpointOutcome EndpointStore::apply(const EndpointChange& change) {
  const auto held = entries_.find(change.key);
  const Generation held_generation =
      held == entries_.end() ? Generation() : held->second.set.generation;
  if (change.generation <= held_generation) return EndpointOutcome::kStale;
  if (change.base_generation != Generation() && change.base_generation != held_generation) {
    return EndpointOutcome::kBaseMissing;
  }
  Entry& entry = entries_[change.key];
  model::EndpointSet set = applyTo(entry.set, change);
  if (change.generation < entry.confirmed && set.endpoints != entry.set.endpoints) {
    return EndpointOutcome::kOutdated;
  }
  replace(change.key, entry, std::move(set));
  return EndpointOutcome::kApplied;
}

std::vector<EndpointChange> EndpointStore::updateFromList(
    const std::vector<model::EndpointSet>& sets) {
  std::vector<EndpointChange> changes;
  Generation list_generation;
  std::set<EndpointKey> listed;
  const auto take = [this, &changes](model::EndpointSet set) {
    const EndpointKey key = keyOf(set);
    Entry& entry = entries_[key];
    if (set.generation <= entry.confirmed || set.generation <= entry.set.generation) return;
    entry.confirmed = set.generation;
    const bool is_new = entry.set.generation == Generation();
    if (!is_new && set.endpoints == entry.set.endpoints) return;
    changes.push_back(is_new ? fullChange(set) : changeBetween(entry.set, set));
    replace(key, entry, std::move(set));
  };
  for (const model::EndpointSet& set : sets) {
    list_generation = std::max(list_generation, set.generation);
    listed.insert(keyOf(set));
    model::EndpointSet ordered = set;
    ordered.endpoints = sorted(std::move(ordered.endpoints));
    take(std::move(ordered));
  }
  for (const auto& [key, entry] : entries_) {
    if (!listed.contains(key)) take({key.service, key.zone, list_generation, {}});
  }
  return changes;
}

EndpointChange EndpointStore::reissue(const EndpointKey& key) {
  Entry& entry = entries_.at(key);
  model::EndpointSet set = entry.set;
  set.generation = entry.confirmed;
  replace(key, entry, set);
  return fullChange(set);
}

std::optional<EndpointChange> EndpointStore::fullSet(const EndpointKey& key) const {
  const model::EndpointSet* set = find(key);
  if (set == nullptr) return std::nullopt;
  return fullChange(*set);
}

const model::EndpointSet* EndpointStore::find(const EndpointKey& key) const {
  const auto entry = entries_.find(key);
  if (entry == entries_.end() || entry->second.set.generation == Generation()) return nullptr;
  return &entry->second.set;
}

bool EndpointStore::markSpreadUsed(const EndpointKey& key, Generation generation,
                                   ForwardMode spread) {
  Entry& entry = entries_[key];
  if (generation < entry.spread_generation) return false;
  if (generation > entry.spread_generation) {
    entry.spread_generation = generation;
    entry.spread.reset();
  }
  return entry.spread.markUsed(spread);
}

std::uint64_t EndpointStore::checksum() const {
  std::uint64_t sum = 0;
  for (const std::uint64_t bucket : buckets_) sum = membership::mixBits(sum ^ bucket);
  return sum;
}

std::vector<EndpointGeneration> EndpointStore::generationsIn(
    const std::vector<std::uint8_t>& buckets) const {
  std::vector<EndpointGeneration> generations;
  for (const auto& [key, entry] : entries_) {
    const bool wanted = std::find(buckets.begin(), buckets.end(), bucketOf(key)) != buckets.end();
    const bool held = entry.set.generation != Generation();
    if (wanted && held && generations.size() < kMaxListLength) {
      generations.push_back({key, entry.set.generation});
    }
  }
  return generations;
}

std::uint8_t EndpointStore::bucketOf(const EndpointKey& key) {
  return static_cast<std::uint8_t>(hashOf(key, Generation()) % kEndpointBuckets);
}

void EndpointStore::replace(const EndpointKey& key, Entry& entry, model::EndpointSet set) {
  std::uint64_t& bucket = buckets_[bucketOf(key)];
  if (entry.set.generation != Generation()) bucket ^= hashOf(key, entry.set.generation);
  entry.set = std::move(set);
  bucket ^= hashOf(key, entry.set.generation);
}

}  // namespace coursepond::distribution
