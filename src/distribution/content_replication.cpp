#include "distribution/content_replication.h"

#include <algorithm>
#include <utility>

namespace coursepond::distribution {
namespace {

/// Maximum number of secret values requested in one message; further ones are requested afterwards.
constexpr std::size_t kSecretsPerFetch = 500;

}  // namespace

ContentReplication::ContentReplication(const ZoneId& zone, const Settings& settings,
                                       Environment& environment, MessageSender<Message>& sender,
                                       const Peers& peers, ContentObserver& observer)
    : zone_(zone),
      settings_(settings),
      sender_(sender),
      peers_(peers),
      observer_(observer),
      contents_(settings.content_size_limit),
      server_(settings, environment, sender, contents_),
      fetcher_(settings, environment, peers,
               [this](const NodeId& to, const ContentId& content) { sendRequest(to, content); }) {}

void ContentReplication::stage(const ContentId& content,
                               const model::ConfigurationDocument& document) {
  const bool was_complete = complete(content);
  const bool was_held = contents_.holds(content);
  contents_.add(content, document.configuration);
  const std::size_t new_secrets = secrets_.add(document.configuration, document.secret_values);
  if (was_held && new_secrets == 0) return;

  pending_spread_[content] = PendingSpread();
  if (spreading_paused_) {
    pending_spread_[content].add(ForwardMode::kZone);
  } else {
    announce(content, peers_.originTargets());
  }
  server_.onAvailable(content);
  fetcher_.forget(content);
  if (!was_complete) observer_.onContentComplete(content);
}

void ContentReplication::want(const ContentId& content) {
  if (content.version == Version() || complete(content)) return;
  fetcher_.want(content);
}

void ContentReplication::wantFrom(const NodeId& peer, const ContentId& content) {
  want(content);
  fetcher_.addSource(content, peer);
}

void ContentReplication::onAnnouncement(const NodeId& from,
                                        const ContentAnnouncement& announcement) {
  const ContentId& content = announcement.content;
  if (obsolete(content)) return;
  wantFrom(from, content);
  // The content is not fetched because it is older than all contents being fetched.
  if (!complete(content) && !fetcher_.fetching(content)) return;
  if (announcement.spread == ForwardMode::kDirect) return;

  if (pending_spread_[content].add(announcement.spread) && complete(content)) spread(content);
}

void ContentReplication::onFetch(const NodeId& from, const ContentFetch& fetch) {
  server_.onFetch(from, fetch, wantedId(fetch.content).has_value());
}

void ContentReplication::onDelta(const NodeId& from, const ContentDelta& delta) {
  const std::optional<ContentId> content = wantedId(delta.content);
  if (!content || contents_.holds(*content)) return;
  const Result<ConfigurationPointer> added = contents_.addDelta(*content, delta);
  if (added) ++statistics_.deltas_applied;
  onContentAdded(from, *content, added);
}

void ContentReplication::onFull(const NodeId& from, const ContentFull& full) {
  const std::optional<ContentId> content = wantedId(full.content);
  if (!content || contents_.holds(*content)) return;
  const Result<ConfigurationPointer> added = contents_.addFull(*content, full);
  if (added) ++statistics_.full_contents_received;
  onContentAdded(from, *content, added);
}

void ContentReplication::onRefusal(const NodeId& from, const ContentRefusal& refusal) {
  if (const auto content = wantedId(refusal.content)) fetcher_.onRefused(from, *content);
}

void ContentReplication::onSecretFetch(const NodeId& from, const SecretFetch& fetch) {
  const std::optional<ContentId> content = contents_.idOf(fetch.content);
  // The zone is taken from the membership view, never from what the node itself claims.
  const std::optional<ZoneId> zone = peers_.zoneOf(from);
  if (!zone) ++statistics_.secrets_refused;
  if (!content || !zone) {
    sender_.send(from, ContentRefusal{fetch.content, RefusalReason::kNotHeld});
    return;
  }
  SecretDelivery delivery{fetch.content, {}};
  const model::SecretValues usable = secrets_.valuesFor(*contents_.find(*content), *zone);
  for (const SecretName& name : fetch.names) {
    const auto value = usable.find(name);
    if (value != usable.end()) delivery.values.insert(*value);
  }
  sender_.send(from, delivery);
}

void ContentReplication::onSecretDelivery(const NodeId& from, const SecretDelivery& delivery) {
  const std::optional<ContentId> content = wantedId(delivery.content);
  if (!content || !contents_.holds(*content)) return;
  const std::size_t added = secrets_.add(*contents_.find(*content), delivery.values);
  if (added > 0 || complete(*content)) return continueFetch(from, *content);
  fetcher_.onRefused(from, *content);
}

void ContentReplication::onSecretHolder(const NodeId& peer) {
  for (const ContentId& content : fetcher_.wanted()) fetcher_.addSource(content, peer);
}

void ContentReplication::setSpreadingPaused(bool paused) {
  spreading_paused_ = paused;
  if (paused) return;
  std::vector<ContentId> waiting;
  for (const auto& [content, pending] : pending_spread_) waiting.push_back(content);
  for (const ContentId& content : waiting) {
    if (complete(content)) spread(content);
  }
}

void ContentReplication::prune(const ContentId& accepted, const ContentId& in_force,
                               bool all_secrets) {
  accepted_ = accepted;
  in_force_ = in_force;
  fetcher_.protect(accepted);
  for (const ContentId& content : fetcher_.wanted()) {
    if (obsolete(content)) fetcher_.forget(content);
  }
  contents_.prune(settings_.contents_kept, {accepted, in_force});
  std::erase_if(complete_, [this](const ContentId& content) { return !contents_.holds(content); });
  std::erase_if(pending_spread_, [this](const auto& entry) {
    return !contents_.holds(entry.first) && !fetcher_.fetching(entry.first);
  });
  std::vector<ConfigurationPointer> held;
  for (const ContentId& content : contents_.ids()) held.push_back(contents_.find(content));
  secrets_.prune(held, all_secrets ? std::nullopt : std::optional<ZoneId>(zone_));
}

bool ContentReplication::complete(const ContentId& content) const {
  if (complete_.contains(content)) return true;
  const ConfigurationPointer configuration = contents_.find(content);
  if (!configuration || !secrets_.missing(*configuration, zone_).empty()) return false;
  complete_.insert(content);
  return true;
}

ContentId ContentReplication::newestComplete() const {
  const std::vector<ContentId> ids = contents_.ids();
  const auto newest = std::find_if(ids.rbegin(), ids.rend(),
                                   [this](const ContentId& content) { return complete(content); });
  return newest == ids.rend() ? ContentId() : *newest;
}

bool ContentReplication::holdsAllSecretsOf(const ContentId& content) const {
  const ConfigurationPointer configuration = contents_.find(content);
  return configuration && secrets_.holdsAll(*configuration);
}

void ContentReplication::sendRequest(const NodeId& to, const ContentId& content) {
  const ConfigurationPointer configuration = contents_.find(content);
  if (!configuration) {
    sender_.send(to, ContentFetch{shortened(content), deltaBases()});
    return;
  }
  std::vector<SecretName> names = secrets_.missing(*configuration, zone_);
  if (names.size() > kSecretsPerFetch) names.resize(kSecretsPerFetch);
  sender_.send(to, SecretFetch{shortened(content), std::move(names)});
}

std::vector<ShortContentId> ContentReplication::deltaBases() const {
  std::vector<ShortContentId> bases;
  if (contents_.holds(in_force_)) bases.push_back(shortened(in_force_));
  const std::vector<ContentId> ids = contents_.ids();
  if (!ids.empty() && ids.back() != in_force_) bases.push_back(shortened(ids.back()));
  return bases;
}

std::optional<ContentId> ContentReplication::wantedId(const ShortContentId& content) const {
  for (const ContentId& wanted : fetcher_.wanted()) {
    if (shortened(wanted) == content) return wanted;
  }
  return std::nullopt;
}

void ContentReplication::onContentAdded(const NodeId& from, const ContentId& content,
                                        const Result<ConfigurationPointer>& added) {
  if (!added) {
    observer_.onContentRejected(added.error());
    fetcher_.onRefused(from, content);
    return;
  }
  server_.onAvailable(content);
  continueFetch(from, content);
}

void ContentReplication::continueFetch(const NodeId& from, const ContentId& content) {
  if (!complete(content)) return fetcher_.requestMore(from, content);
  fetcher_.forget(content);
  spread(content);
  observer_.onContentComplete(content);
}

void ContentReplication::spread(const ContentId& content) {
  if (spreading_paused_) return;
  const auto found = pending_spread_.find(content);
  if (found == pending_spread_.end()) return;
  std::vector<ForwardMode> due;
  std::swap(due, found->second.due);
  for (const ForwardMode way : due) announce(content, peers_.targets(way));
}

void ContentReplication::announce(const ContentId& content,
                                  const std::vector<PushTarget>& targets) {
  for (const PushTarget& target : targets) {
    sender_.send(target.to, ContentAnnouncement{target.spread, content});
  }
}

bool ContentReplication::obsolete(const ContentId& content) const {
  if (content.version < accepted_.version) return true;
  return content.version == accepted_.version && content.digest != accepted_.digest;
}

}  // namespace coursepond::distribution
