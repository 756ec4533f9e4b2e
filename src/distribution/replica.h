#pragma once

/// One node's copy of the configuration and of the endpoint records, and how it keeps up:
/// staging, commit, push down the tree, anti-entropy, cold start. No sockets.
/// See docs/design/DISTRIBUTION.md.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/environment.h"
#include "core/error.h"
#include "distribution/acceptance.h"
#include "distribution/acceptance_record.h"
#include "distribution/messages.h"
#include "distribution/proxy_reports.h"
#include "distribution/settings.h"
#include "membership/view.h"
#include "model/configuration.h"
#include "model/endpoint.h"
#include "model/snapshot.h"

namespace coursepond::distribution {

/// Told of what is in force here. Do not call back into the Replica from inside.
class ReplicaObserver {
 public:
  virtual ~ReplicaObserver() = default;
  /// A whole newer snapshot is to be put in force now. Versions only rise.
  virtual void onSnapshot(model::SnapshotPointer snapshot) = 0;
  /// A newer endpoint set of one service and zone.
  virtual void onEndpoints(const model::EndpointSet& endpoints) = 0;
  /// Nobody that could be asked knew an accepted version: `version`, the newest published, follows.
  virtual void onAdoption(Version version) { static_cast<void>(version); }
  /// Content was refused (counted and shown in status).
  virtual void onRejected(const Error& error) = 0;
  /// No reachable peer holds the content or the secret values of this accepted version. A source
  /// reader reads its document again and calls Replica::stage; other nodes ignore it. Repeated
  /// until the document has come.
  virtual void onDocumentNeeded(Version version) { static_cast<void>(version); }
};

/// Counters for /metrics and the simulator. Never reset.
struct ReplicaStatistics {
  std::uint64_t snapshots_applied = 0;
  std::uint64_t deltas_applied = 0;
  std::uint64_t full_contents_received = 0;
  std::uint64_t content_rejected = 0;
  std::uint64_t anti_entropy_rounds = 0;
  std::uint64_t repairs = 0;  ///< Anti-entropy brought something a push had missed.
  std::uint64_t adopted_after_loss =
      0;  ///< Cold start without any witness: newest published taken.
  std::uint64_t endpoint_changes_applied = 0;
  std::uint64_t endpoint_repairs = 0;     ///< Of these, brought by anti-entropy.
  std::uint64_t busy_refusals = 0;        ///< Whole contents not handed out: over the rate.
  std::uint64_t secrets_refused = 0;      ///< Asked for by a node whose zone is not known.
  std::uint64_t documents_requested = 0;  ///< See ReplicaObserver::onDocumentNeeded.
  std::uint64_t pauses = 0;
};

class Replica final : public RecordHolder {
 public:
  Replica(NodeId self, ZoneId zone, Settings settings, Environment& environment,
          MessageSender<Message>& sender, ReplicaObserver& observer);
  ~Replica() override;

  void start();
  void onViewChanged(const membership::View& view, const membership::Roles& roles);
  void onMessage(const NodeId& from, const Message& message);
  /// The process was paused: asks peers before it acts on any role.
  void onPauseDetected();

  /// From a source reader or a plan: content becomes known here and is staged to the mesh.
  void stage(const model::ConfigurationDocument& document);
  /// From a source reader: the whole machine list. A service and zone that is held but not listed
  /// is taken as without servers. An empty list is ignored.
  void updateEndpoints(const std::vector<model::EndpointSet>& sets);

  // RecordHolder
  const AcceptanceRecord& record() const override;
  bool offer(const AcceptanceRecord& record) override;

  /// The configuration in force here, or nothing before the first.
  std::shared_ptr<const model::Configuration> configurationInForce() const;
  /// A staged or accepted configuration by version, when held.
  std::shared_ptr<const model::Configuration> find(Version version) const;
  /// The newest version staged here (zero: none).
  Version newestStaged() const;
  /// The accepted version learned from peers (or adopted when there was no witness) is in force.
  bool ready() const;
  /// States of proxies as known here: own zone in full when this node is a distributor, summaries
  /// otherwise. Used by the operator API, which asks distributors of every zone.
  std::vector<ProxyState> knownProxies() const;
  const ReplicaStatistics& statistics() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace coursepond::distribution
