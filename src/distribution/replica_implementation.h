#pragma once

/// Implementation of Replica: the acceptance record, the content in force, anti-entropy and
/// reports. Content, endpoints, cold start and peer selection are handled by separate classes.

#include <memory>
#include <string>
#include <vector>

#include "distribution/cold_start.h"
#include "distribution/content_replication.h"
#include "distribution/endpoint_replication.h"
#include "distribution/peers.h"
#include "distribution/proxy_reports.h"
#include "distribution/replica.h"
#include "distribution/scoped_timer.h"

namespace coursepond::distribution {

class Replica::Implementation final : private ContentObserver {
 public:
  Implementation(NodeId self, ZoneId zone, Settings settings, Environment& environment,
                 MessageSender<Message>& sender, ReplicaObserver& observer);

  void start();
  void onViewChanged(const membership::View& view, const membership::Roles& roles);
  void onMessage(const NodeId& from, const Message& message);
  void onPauseDetected();
  void stage(const model::ConfigurationDocument& document);
  void updateEndpoints(const std::vector<model::EndpointSet>& sets);

  const AcceptanceRecord& record() const { return record_; }
  bool offer(const AcceptanceRecord& record);
  ConfigurationPointer configurationInForce() const { return content_.contents().find(in_force_); }
  ConfigurationPointer find(Version version) const;
  Version newestStaged() const { return content_.newestComplete().version; }
  bool ready() const { return in_force_.version != Version(); }
  std::vector<ProxyState> knownProxies() const;
  const ReplicaStatistics& statistics() const;

 private:
  // Message handlers, one overload per type.
  void handle(const NodeId& from, const Summary& summary);
  void handle(const NodeId& from, const RecordPush& push);
  void handle(const NodeId& from, const ContentAnnouncement& announcement);
  void handle(const NodeId& from, const ContentFetch& fetch) { content_.onFetch(from, fetch); }
  void handle(const NodeId& from, const ContentDelta& delta) { content_.onDelta(from, delta); }
  void handle(const NodeId& from, const ContentFull& full) { content_.onFull(from, full); }
  void handle(const NodeId& from, const ContentRefusal& refusal) {
    content_.onRefusal(from, refusal);
  }
  void handle(const NodeId& from, const SecretFetch& fetch) { content_.onSecretFetch(from, fetch); }
  void handle(const NodeId& from, const SecretDelivery& delivery) {
    content_.onSecretDelivery(from, delivery);
  }
  void handle(const NodeId& from, const EndpointPush& push) { endpoints_.onPush(from, push); }
  void handle(const NodeId& from, const EndpointBuckets& buckets) {
    endpoints_.onBuckets(from, buckets);
  }
  void handle(const NodeId& from, const EndpointGenerations& generations) {
    endpoints_.onGenerations(from, generations);
  }
  void handle(const NodeId& from, const EndpointFetch& fetch) { endpoints_.onFetch(from, fetch); }

  // ContentObserver
  void onContentComplete(const ContentId& content) override;
  void onContentRejected(const Error& error) override;

  // The acceptance record and the content in force.
  ContentId acceptedContent() const { return {record_.version, record_.digest}; }
  bool merge(const AcceptanceRecord& record);
  void spreadRecord();
  void applyIfPossible();
  void putInForce(const ContentId& content, model::SnapshotPointer snapshot);
  void acceptPublished();
  void adoptIfNoWitness();
  ContentId newestPublished() const;
  void requestDocumentIfNeeded();
  void reject(const Error& error);
  void prune();
  bool keepsAllSecrets() const;

  // Anti-entropy.
  void scheduleTick();
  void tick();
  bool needsAnswers();
  void sendSummaries();
  Summary summary();
  void answerSummary(const NodeId& from, const Summary& theirs);
  bool sendNewerState(const NodeId& to, const Summary& theirs);
  void endRecheck();

  // Reports to the zone's distributors.
  void scheduleReport();
  void report();
  Duration jittered(Duration interval);
  Duration randomUpTo(Duration limit);

  NodeId self_;
  ZoneId zone_;
  Settings settings_;
  Environment& environment_;
  MessageSender<Message>& sender_;
  ReplicaObserver& observer_;
  Peers peers_;
  ContentReplication content_;
  EndpointReplication endpoints_;
  ColdStart cold_start_;
  ProxyReports reports_;
  ScopedTimer tick_timer_;
  ScopedTimer report_timer_;

  membership::Roles roles_;
  AcceptanceRecord record_;
  PendingSpread pending_record_spread_;
  ContentId in_force_;
  ContentId published_;  ///< The newest content staged from the platform at this node.
  ContentId unusable_;   ///< Accepted content from which building a snapshot failed.
  std::string last_error_;

  bool rechecking_ = false;  ///< The process was paused and no peer has answered since.
  TimePoint recheck_since_;
  bool report_due_soon_ = false;
  TimePoint all_secrets_until_;
  bool kept_all_secrets_ = false;  ///< Value of keepsAllSecrets() at the last pruning.
  TimePoint next_document_request_;
  Duration document_request_interval_;
  mutable ReplicaStatistics statistics_;
};

}  // namespace coursepond::distribution
