#include "distribution/endpoint_replication.h"

#include <algorithm>
#include <utility>

namespace coursepond::distribution {
namespace {

constexpr Duration kMinRepairInterval = std::chrono::milliseconds(400);
/// Maximum number of endpoints and names in one push message; each takes roughly 100 bytes.
constexpr std::size_t kElementsPerPush = 2000;

std::size_t elementsOf(const EndpointChange& change) {
  return 1 + change.upserted.size() + change.removed.size();
}

}  // namespace

EndpointReplication::EndpointReplication(Environment& environment, MessageSender<Message>& sender,
                                         const Peers& peers, EndpointCallback on_endpoints)
    : environment_(environment),
      sender_(sender),
      peers_(peers),
      on_endpoints_(std::move(on_endpoints)) {}

void EndpointReplication::updateFromList(const std::vector<model::EndpointSet>& sets) {
  if (sets.empty()) return;
  const std::vector<EndpointChange> changes = store_.updateFromList(sets);
  if (changes.empty()) return;
  for (const EndpointChange& change : changes) on_endpoints_(*store_.find(change.key));
  pushEverywhere(changes);
}

void EndpointReplication::onPush(const NodeId& from, const EndpointPush& push) {
  std::vector<EndpointChange> applied;
  std::vector<EndpointChange> reissued;
  std::vector<EndpointKey> to_fetch;
  for (const EndpointChange& change : push.changes) {
    if (apply(change, reissued, to_fetch)) applied.push_back(change);
  }
  if (push.spread == ForwardMode::kDirect) {
    statistics_.repairs += applied.size();
    if (warm_ && peers_.isDistributor()) this->push(peers_.targets(ForwardMode::kZone), applied);
  } else {
    this->push(peers_.targets(push.spread), changesToForward(push));
  }
  pushEverywhere(reissued);
  fetch(from, to_fetch);
}

void EndpointReplication::onBuckets(const NodeId& from, const EndpointBuckets& buckets) {
  if (environment_.now() < repair_allowed_) return;
  EndpointGenerations answer;
  for (std::size_t bucket = 0; bucket < kEndpointBuckets; ++bucket) {
    if (buckets.checksums[bucket] != store_.buckets()[bucket]) {
      answer.buckets.push_back(static_cast<std::uint8_t>(bucket));
    }
  }
  if (answer.buckets.empty()) return;
  repair_allowed_ = environment_.now() + kMinRepairInterval;
  answer.generations = store_.generationsIn(answer.buckets);
  sender_.send(from, answer);
}

void EndpointReplication::onGenerations(const NodeId& from,
                                        const EndpointGenerations& generations) {
  std::map<EndpointKey, Generation> theirs;
  for (const EndpointGeneration& entry : generations.generations) {
    theirs[entry.key] = entry.generation;
  }
  std::vector<EndpointChange> newer_here;
  for (const EndpointGeneration& ours : store_.generationsIn(generations.buckets)) {
    const auto their = theirs.find(ours.key);
    if (their == theirs.end() || their->second < ours.generation) {
      newer_here.push_back(*store_.fullSet(ours.key));
    }
    if (their != theirs.end() && their->second <= ours.generation) theirs.erase(their);
  }
  std::vector<EndpointKey> newer_there;
  newer_there.reserve(theirs.size());
  for (const auto& [key, generation] : theirs) newer_there.push_back(key);
  push({{from, ForwardMode::kDirect}}, newer_here);
  fetch(from, newer_there);
}

void EndpointReplication::onFetch(const NodeId& from, const EndpointFetch& fetch) {
  std::vector<EndpointChange> sets;
  for (const EndpointKey& key : fetch.keys) {
    if (std::optional<EndpointChange> set = store_.fullSet(key)) sets.push_back(std::move(*set));
  }
  push({{from, ForwardMode::kDirect}}, sets);
}

void EndpointReplication::beginRepair(const NodeId& peer) {
  EndpointBuckets buckets;
  buckets.checksums = store_.buckets();
  sender_.send(peer, buckets);
}

void EndpointReplication::pushEverywhere(const std::vector<EndpointChange>& changes) {
  push(peers_.remoteZoneTargets(), changes);
  if (!peers_.isDistributor()) return push(peers_.targets(ForwardMode::kZone), changes);

  std::vector<EndpointChange> own_half;
  std::vector<EndpointChange> other_half;
  for (const EndpointChange& change : changes) {
    const bool own = peers_.isTreeRootFor(EndpointStore::bucketOf(change.key));
    (own ? own_half : other_half).push_back(change);
  }
  std::vector<PushTarget> other_root;
  for (const NodeId& node : peers_.otherLocalDistributors()) {
    other_root.push_back({node, ForwardMode::kZone});
  }
  push(peers_.targets(ForwardMode::kZone), own_half);
  push(other_root, other_half);
}

void EndpointReplication::push(const std::vector<PushTarget>& targets,
                               const std::vector<EndpointChange>& changes) {
  EndpointPush message;
  std::size_t elements = 0;
  const auto flush = [&] {
    for (const PushTarget& target : targets) {
      message.spread = target.spread;
      sender_.send(target.to, message);
    }
    message.changes.clear();
    elements = 0;
  };
  for (const EndpointChange& change : changes) {
    if (elements != 0 && elements + elementsOf(change) > kElementsPerPush) flush();
    message.changes.push_back(change);
    elements += elementsOf(change);
  }
  if (elements != 0) flush();
}

bool EndpointReplication::apply(const EndpointChange& change, std::vector<EndpointChange>& reissued,
                                std::vector<EndpointKey>& to_fetch) {
  switch (store_.apply(change)) {
    case EndpointOutcome::kApplied:
      ++statistics_.changes_applied;
      on_endpoints_(*store_.find(change.key));
      return true;
    case EndpointOutcome::kBaseMissing:
      to_fetch.push_back(change.key);
      return false;
    case EndpointOutcome::kOutdated:
      reissued.push_back(store_.reissue(change.key));
      return false;
    case EndpointOutcome::kStale:
      return false;
  }
  return false;
}

std::vector<EndpointChange> EndpointReplication::changesToForward(const EndpointPush& push) {
  std::vector<EndpointChange> due;
  for (const EndpointChange& change : push.changes) {
    // Both distributors receive every change. Each of them starts the push tree for half of the
    // sets.
    const bool other_starts_tree = push.spread == ForwardMode::kZone && peers_.isDistributor() &&
                                   !peers_.isTreeRootFor(EndpointStore::bucketOf(change.key));
    if (other_starts_tree) continue;
    if (store_.markSpreadUsed(change.key, change.generation, push.spread)) due.push_back(change);
  }
  return due;
}

void EndpointReplication::fetch(const NodeId& from, const std::vector<EndpointKey>& keys) {
  for (std::size_t first = 0; first < keys.size(); first += kMaxListLength) {
    const std::size_t end = std::min(first + kMaxListLength, keys.size());
    sender_.send(from, EndpointFetch{{keys.begin() + static_cast<std::ptrdiff_t>(first),
                                      keys.begin() + static_cast<std::ptrdiff_t>(end)}});
  }
}

}  // namespace coursepond::distribution
