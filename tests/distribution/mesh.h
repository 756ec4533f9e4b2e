#pragma once

/// A mesh of Replicas on an in-memory network with fault injection. Checks the invariants of the
/// protocol at every step.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "distribution/replica.h"
#include "virtual_time.h"

namespace coursepond::distribution::testing {

/// Size of the documents that the simulated platform publishes.
struct DocumentShape {
  std::size_t routes = 20;
  std::vector<ZoneId> zones;  ///< Each zone has one route and one secret of its own.
};

/// Returns the document of a version. Versions differ in the timeout of one route; every tenth
/// version also changes the values of the zones' secrets.
model::ConfigurationDocument makeDocument(std::uint64_t version, const DocumentShape& shape);
SecretName zoneSecret(const ZoneId& zone);

struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  Duration jitter = std::chrono::microseconds(300);
};

class Mesh;

/// The process of one node. A restart creates a new one.
class Process final : public ReplicaObserver, public MessageSender<Message> {
 public:
  Process(Mesh& mesh, NodeId id, ZoneId zone, std::uint64_t seed);

  void onSnapshot(model::SnapshotPointer snapshot) override;
  void onEndpoints(const model::EndpointSet& endpoints) override;
  void onRejected(const Error& error) override;
  void onDocumentNeeded(Version version) override;
  void send(const NodeId& to, const Message& message) override;

  Mesh& mesh;
  NodeId id;
  ZoneId zone;
  ProcessEnvironment environment;
  Replica replica;
  model::SnapshotPointer snapshot;
  TimePoint in_force_since;
  std::map<EndpointKey, model::EndpointSet> endpoints;
  std::vector<ErrorKind> rejected;
  std::uint64_t bytes_sent = 0;
  std::uint64_t full_contents_sent = 0;
  std::uint64_t cross_zone_contents = 0;  ///< Contents and deltas sent to another zone.
  bool platform_readable = true;
};

class Mesh {
 public:
  Mesh(std::size_t zones, std::size_t nodes_per_zone, std::uint64_t seed, Settings settings = {});

  // Control of the simulation.
  void runFor(Duration duration) { time.runFor(duration); }
  /// Runs until `done` returns true, but at most for `limit`. Returns the last result of `done`.
  template <typename Condition>
  bool runUntil(Condition done, Duration limit) {
    const TimePoint end = time.now() + limit;
    while (!done() && time.now() < end) time.runFor(std::chrono::milliseconds(5));
    return done();
  }

  /// Publishes a version on the platform. Source readers read it within a second.
  void publish(std::uint64_t version);
  void publishMachines(std::vector<model::EndpointSet> sets);
  /// Simulates a confirmed plan: sends the record to the voters of every zone reachable from
  /// `from`.
  void accept(std::uint64_t version, const NodeId& from);
  void accept(std::uint64_t version) { accept(version, anyNode()); }

  void kill(const NodeId& id);
  void restart(const NodeId& id);
  void pause(const NodeId& id, Duration duration);
  void cut(const ZoneId& zone, bool is_cut);
  void setPlatformReadable(bool readable) { platform_readable = readable; }

  // Inspection.
  std::vector<NodeId> ids() const;
  std::vector<Process*> living();
  Process& process(const NodeId& id) { return *processes.at(id); }
  NodeId anyNode() const { return processes.begin()->first; }
  std::vector<NodeId> readers();
  std::vector<NodeId> distributors(const ZoneId& zone);
  bool allInForce(std::uint64_t version);
  std::uint64_t bytesSent() const;
  std::uint64_t adoptions() const;
  AcceptanceRecord recordOf(std::uint64_t version) const;
  std::vector<ZoneId> zoneIds() const { return shape.zones; }

  // Used by Process.
  void deliver(const NodeId& from, const NodeId& to, const Message& message);
  void checkSnapshot(const Process& process, const model::Snapshot& snapshot);
  void readDocument(const NodeId& reader, Version version);

  VirtualTime time;
  Settings settings;
  NetworkFaults faults;
  DocumentShape shape;
  std::map<std::uint64_t, model::ConfigurationDocument> published;
  std::map<std::uint64_t, Digest> digests;               ///< Digests of the published versions.
  std::map<NodeId, std::unique_ptr<Process>> processes;  ///< Running processes.
  std::uint64_t documents_read = 0;
  bool platform_readable = true;
  /// A zone may have several secrets, whose names start with zoneSecret().
  bool several_secrets = false;
  /// The greatest version each node ever had in force, across restarts.
  std::map<NodeId, Version> greatest_held;
  std::uint64_t regressions_across_restarts = 0;

 private:
  struct Machine {
    ZoneId zone;
    bool alive = true;
  };

  void start(const NodeId& id);
  void scheduleViews();
  void updateViews();
  membership::View viewOf(const NodeId& id) const;
  void pollPlatform();
  bool connected(const NodeId& a, const NodeId& b) const;
  void checkSecretDelivery(const NodeId& to, const SecretDelivery& delivery);

  std::mt19937_64 engine_;
  std::map<NodeId, Machine> machines_;
  std::set<ZoneId> cut_zones_;
  std::uint64_t newest_published_ = 0;
  std::vector<model::EndpointSet> machine_list_;
  std::map<NodeId, std::uint64_t> machines_read_;
  std::uint64_t machine_generation_ = 0;
};

}  // namespace coursepond::distribution::testing
