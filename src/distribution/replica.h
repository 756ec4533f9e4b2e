#pragma once

/// Holds one node's copy of the configuration and of the endpoint sets, and keeps it up to date by
/// staging, commit, push trees, anti-entropy and cold start. Does no network I/O itself.
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

/// Receives notifications about what is in force at this node. Must not call the Replica from
/// within these functions.
class ReplicaObserver {
 public:
  virtual ~ReplicaObserver() = default;
  /// Called with a complete newer snapshot, which must be put in force now. Versions only increase.
  virtual void onSnapshot(model::SnapshotPointer snapshot) = 0;
  /// Called with a newer endpoint set of one service and zone.
  virtual void onEndpoints(const model::EndpointSet& endpoints) = 0;
  /// Called when no node that could be asked knows an accepted version, and this node is about to
  /// adopt `version`, the newest published one.
  virtual void onAdoption(Version version) { static_cast<void>(version); }
  /// Called when content was rejected. The rejection is counted and shown in the status.
  virtual void onRejected(const Error& error) = 0;
  /// Called when this node cannot get the content or all secret values of this accepted version
  /// from its peers. A source reader then reads the document again and calls Replica::stage; other
  /// nodes ignore the call. Repeated until the document has been staged.
  virtual void onDocumentNeeded(Version version) { static_cast<void>(version); }
};

/// Counters for /metrics and the simulator. Never reset.
struct ReplicaStatistics {
  std::uint64_t snapshots_applied = 0;
  std::uint64_t deltas_applied = 0;
  std::uint64_t full_contents_received = 0;
  std::uint64_t content_rejected = 0;
  std::uint64_t anti_entropy_rounds = 0;
  std::uint64_t repairs = 0;  ///< Records received by anti-entropy because a push was missed.
  /// Cold starts without any witness that adopted the newest published version.
  std::uint64_t adopted_after_loss = 0;
  std::uint64_t endpoint_changes_applied = 0;
  std::uint64_t endpoint_repairs = 0;     ///< Endpoint changes applied by anti-entropy.
  std::uint64_t busy_refusals = 0;        ///< Requests for full contents refused by the rate limit.
  std::uint64_t secrets_refused = 0;      ///< Secret requests from nodes whose zone is not known.
  std::uint64_t documents_requested = 0;  ///< See ReplicaObserver::onDocumentNeeded.
  std::uint64_t pauses = 0;
};

class Replica final : public AcceptanceRecordStore {
 public:
  Replica(NodeId self, ZoneId zone, Settings settings, Environment& environment,
          MessageSender<Message>& sender, ReplicaObserver& observer);
  ~Replica() override;

  void start();
  void onViewChanged(const membership::View& view, const membership::Roles& roles);
  void onMessage(const NodeId& from, const Message& message);
  /// Called when the process has been paused. The replica asks its peers for their state before it
  /// acts on any role again.
  void onPauseDetected();

  /// Adds a document from a source reader or a plan, and stages it to the mesh.
  void stage(const model::ConfigurationDocument& document);
  /// Applies the complete machine list from a source reader. A service and zone that is held but
  /// not listed is treated as having no servers. An empty list is ignored.
  void updateEndpoints(const std::vector<model::EndpointSet>& sets);

  // AcceptanceRecordStore
  const AcceptanceRecord& record() const override;
  bool offer(const AcceptanceRecord& record) override;

  /// Returns the configuration in force at this node, or null if there is none yet.
  std::shared_ptr<const model::Configuration> configurationInForce() const;
  /// Returns the staged or accepted configuration of a version, or null if it is not held.
  std::shared_ptr<const model::Configuration> find(Version version) const;
  /// Returns the newest version staged at this node; zero means none.
  Version newestStaged() const;
  /// Returns whether an accepted version, learned from peers or adopted without a witness, is in
  /// force.
  bool ready() const;
  /// Returns the states of the proxies known to this node: those of its whole zone if it is a
  /// distributor, otherwise only its own. Used by the operator API, which asks the distributors of
  /// every zone.
  std::vector<ProxyState> knownProxies() const;
  const ReplicaStatistics& statistics() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace coursepond::distribution
