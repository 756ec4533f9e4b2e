#pragma once

/// Receives configuration content and the secret values it needs, and forwards them to other nodes.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "distribution/acceptance_record.h"
#include "distribution/content_server.h"
#include "distribution/content_store.h"
#include "distribution/fetcher.h"
#include "distribution/secret_store.h"

namespace coursepond::distribution {

/// Receives notifications about content. Called synchronously from the functions of
/// ContentReplication.
class ContentObserver {
 public:
  virtual ~ContentObserver() = default;
  /// Called when this node has the content and all secret values that its zone needs.
  virtual void onContentComplete(const ContentId& content) = 0;
  /// Called when content from a peer was rejected. Another peer is asked for it.
  virtual void onContentRejected(const Error& error) = 0;
};

struct ContentStatistics {
  std::uint64_t deltas_applied = 0;
  std::uint64_t full_contents_received = 0;
  std::uint64_t secrets_refused = 0;  ///< Requests from nodes whose zone is not known.
};

class ContentReplication {
 public:
  ContentReplication(const ZoneId& zone, const Settings& settings, Environment& environment,
                     MessageSender<Message>& sender, const Peers& peers, ContentObserver& observer);

  /// Adds a document read from the platform. Announces it to every zone if the content or any of
  /// its secret values is new to this node.
  void stage(const ContentId& content, const model::ConfigurationDocument& document);
  /// Starts fetching the content unless it is complete.
  void want(const ContentId& content);
  /// The same, with `peer` as a known source.
  void wantFrom(const NodeId& peer, const ContentId& content);

  void onAnnouncement(const NodeId& from, const ContentAnnouncement& announcement);
  void onFetch(const NodeId& from, const ContentFetch& fetch);
  void onDelta(const NodeId& from, const ContentDelta& delta);
  void onFull(const NodeId& from, const ContentFull& full);
  void onRefusal(const NodeId& from, const ContentRefusal& refusal);
  void onSecretFetch(const NodeId& from, const SecretFetch& fetch);
  void onSecretDelivery(const NodeId& from, const SecretDelivery& delivery);
  /// Called when a peer reports that it holds every secret value of its newest content.
  void onSecretHolder(const NodeId& peer);

  /// Suspends or resumes announcements to other nodes. Suspended after a pause of the process until
  /// a peer has answered.
  void setSpreadingPaused(bool paused);
  /// Drops contents and secret values that are needed neither by the accepted record, nor by the
  /// content in force, nor by recently staged content. `all_secrets`: keep the secret values of
  /// every zone.
  void prune(const ContentId& accepted, const ContentId& in_force, bool all_secrets);

  bool complete(const ContentId& content) const;
  /// Returns the newest complete content; version zero means none.
  ContentId newestComplete() const;
  bool holdsAllSecretsOf(const ContentId& content) const;
  TimePoint missingSince(const ContentId& content) const { return fetcher_.since(content); }

  const ContentStore& contents() const { return contents_; }
  const SecretStore& secrets() const { return secrets_; }
  const ContentStatistics& statistics() const { return statistics_; }
  std::uint64_t busyRefusals() const { return server_.busyRefusals(); }

 private:
  void sendRequest(const NodeId& to, const ContentId& content);
  std::vector<ShortContentId> deltaBases() const;
  /// Returns the full id of the content being fetched that has this short id.
  std::optional<ContentId> wantedId(const ShortContentId& content) const;
  void onContentAdded(const NodeId& from, const ContentId& content,
                      const Result<ConfigurationPointer>& added);
  void continueFetch(const NodeId& from, const ContentId& content);
  void spread(const ContentId& content);
  void announce(const ContentId& content, const std::vector<PushTarget>& targets);
  bool obsolete(const ContentId& content) const;

  ZoneId zone_;
  const Settings& settings_;
  MessageSender<Message>& sender_;
  const Peers& peers_;
  ContentObserver& observer_;
  ContentStore contents_;
  SecretStore secrets_;
  ContentServer server_;
  Fetcher fetcher_;
  std::map<ContentId, PendingSpread> pending_spread_;
  /// Contents known to be complete. They stay complete as long as they are held.
  mutable std::set<ContentId> complete_;
  ContentId accepted_;
  ContentId in_force_;
  bool spreading_paused_ = false;
  ContentStatistics statistics_;
};

}  // namespace coursepond::distribution
