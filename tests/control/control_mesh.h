#pragma once

/// Complete control planes on a virtual network with a fake platform. Every message is encoded and
/// decoded.

#include <algorithm>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/control_plane.h"
#include "support/fake_platform.h"
#include "support/virtual_network.h"

namespace coursepond::testing {

using control::ControlEventKind;
using control::PeerMessage;
using nlohmann::json;

inline constexpr char kToken[] = "operator-token";
inline constexpr char kSecretValue[] = "first-secret-value";

/// One node and the data that its proxy would have received. Survives restarts of its control
/// plane.
struct ControlNode final : control::ControlObserver, MessageSender<PeerMessage> {
  ControlNode(VirtualNetwork<std::string>& virtual_network, NodeId node, ZoneId node_zone)
      : id(std::move(node)), zone(std::move(node_zone)), network(virtual_network) {}

  void send(const NodeId& to, const PeerMessage& message) override {
    const std::string bytes = control::encodePeerMessage(message);
    sent_bytes[control::kindOf(message)] += bytes.size();
    network.send(id, to, bytes);
  }
  void onSnapshot(model::SnapshotPointer snapshot) override {
    version_decreased = version_decreased || snapshot->version < in_force;
    in_force = snapshot->version;
    snapshots.push_back(snapshot);
  }
  void onEndpoints(const model::EndpointSet& set) override {
    endpoint_generation = std::max(endpoint_generation, set.generation);
  }
  void onNodeCount(std::size_t nodes) override { node_count = nodes; }
  void onPeerAddress(const NodeId&, const Address&) override {}
  void onEvent(const control::ControlEvent& event) override {
    ++events[event.kind];
    secret_leaked = secret_leaked || event.detail.find(kSecretValue) != std::string::npos;
  }

  NodeId id;
  ZoneId zone;
  VirtualNetwork<std::string>& network;
  std::uint64_t start_count = 0;
  std::unique_ptr<VirtualEnvironment> environment;
  std::unique_ptr<FakePlatformClient> client;
  std::unique_ptr<control::ControlPlane> plane;

  Version in_force;
  bool version_decreased = false;
  bool secret_leaked = false;
  std::vector<model::SnapshotPointer> snapshots;
  Generation endpoint_generation;
  std::size_t node_count = 0;
  std::map<ControlEventKind, std::size_t> events;
  std::map<control::MessageKind, std::uint64_t> sent_bytes;
};

/// A response of the operator API.
struct ApiResponse {
  int status = 0;
  json body;
  std::string text;
};

class ControlMesh {
 public:
  ControlMesh(std::size_t zones, std::size_t nodes_per_zone, std::uint64_t seed = 1)
      : network(time, seed), platform(time), seed_(seed) {
    for (std::size_t zone = 0; zone < zones; ++zone) {
      zone_ids.push_back(ZoneId("zone-" + std::to_string(zone)));
      for (std::size_t index = 0; index < nodes_per_zone; ++index) {
        const NodeId id(std::string(1, static_cast<char>('a' + zone)) + std::to_string(index));
        nodes[id] = std::make_unique<ControlNode>(network, id, zone_ids.back());
      }
    }
    publishMachines(1);
  }

  ControlNode& node(const std::string& name) { return *nodes.at(NodeId(name)); }

  model::ListedNode listed(const ControlNode& node) const {
    return model::ListedNode{node.id, node.zone, Address{"10.0.0.1", 7000}};
  }

  void publishMachines(std::uint64_t generation) {
    json list = {{"generation", generation}, {"nodes", json::array()}, {"backends", json::array()}};
    for (const auto& [id, node] : nodes) {
      list["nodes"].push_back({{"id", id.value()},
                               {"zone", node->zone.value()},
                               {"address", "10.0.0.1:7000"},
                               {"state", "live"}});
    }
    list["backends"].push_back({{"id", "server-1"},
                                {"service", "booking"},
                                {"zone", "zone-0"},
                                {"address", "10.0.1.1:80"},
                                {"state", "live"}});
    platform.setMachines(generation, list.dump());
  }

  /// Starts or restarts the node with a higher incarnation.
  void start(const std::string& name) {
    ControlNode& node = *nodes.at(NodeId(name));
    ++node.start_count;
    node.in_force = Version();
    node.environment =
        std::make_unique<VirtualEnvironment>(time, seed_ * 7919 + ++started_ * 104729);
    node.client = std::make_unique<FakePlatformClient>(platform, *node.environment);
    membership::Member self;
    self.id = node.id;
    self.zone = node.zone;
    self.peer_address = Address{"10.0.0.1", 7000};
    self.incarnation = Incarnation(node.start_count * 1'000'000);
    node.plane = std::make_unique<control::ControlPlane>(settings, self, *node.environment, node,
                                                         *node.client, node);
    network.add(node.id, *node.environment, [&node](const NodeId& from, const std::string& bytes) {
      const auto message = control::decodePeerMessage(bytes);
      if (message.has_error()) {
        throw std::logic_error("undecodable: " + describe(message.error()));
      }
      node.plane->onPeerMessage(from, *message);
    });
    node.plane->start();
  }

  void startAll() {
    for (const auto& [id, node] : nodes) {
      start(id.value());
    }
  }

  /// Stops the node without notifying its peers.
  void kill(const std::string& name) {
    ControlNode& node = *nodes.at(NodeId(name));
    network.remove(node.id);
    node.plane.reset();
    node.client.reset();
    node.environment.reset();
  }

  void pause(const std::string& name, Duration length) { node(name).environment->pauseFor(length); }

  void cut(std::set<ZoneId> zones) {
    network.setFilter([this, zones](const NodeId& from, const NodeId& to, const auto&) {
      return zones.contains(nodes.at(from)->zone) != zones.contains(nodes.at(to)->zone);
    });
  }
  void heal() { network.setFilter(nullptr); }

  std::vector<ControlNode*> alive() const {
    std::vector<ControlNode*> running;
    for (const auto& [id, node] : nodes) {
      if (node->plane != nullptr) {
        running.push_back(node.get());
      }
    }
    return running;
  }

  bool allInForce(std::uint64_t version) const {
    const auto running = alive();
    return std::all_of(running.begin(), running.end(), [version](const ControlNode* node) {
      return node->in_force == Version(version);
    });
  }

  bool runUntilInForce(std::uint64_t version, Duration limit) {
    return time.runUntilTrue([&] { return allInForce(version); }, limit);
  }

  std::size_t readers() const {
    const auto running = alive();
    return static_cast<std::size_t>(
        std::count_if(running.begin(), running.end(), [](const ControlNode* node) {
          return !node->environment->paused() && node->plane->roles().source_reader;
        }));
  }

  using Pending = std::shared_ptr<std::optional<ApiResponse>>;

  Pending ask(const std::string& at, const std::string& method, const std::string& path,
              const std::string& body = "", const std::string& token = kToken) {
    auto pending = std::make_shared<std::optional<ApiResponse>>();
    node(at).plane->api().handle(admin::AdminRequest{method, path, token, body}, [pending](
                                                                                     const auto&
                                                                                         response) {
      if (pending->has_value()) {
        throw std::logic_error("answered twice");
      }
      *pending = ApiResponse{response.status, json::parse(response.json_body), response.json_body};
    });
    return pending;
  }

  ApiResponse await(const Pending& pending) {
    if (!time.runUntilTrue([&] { return pending->has_value(); }, std::chrono::seconds(20))) {
      throw std::logic_error("no answer within twenty seconds");
    }
    return pending->value();
  }

  ApiResponse call(const std::string& at, const std::string& method, const std::string& path,
                   const std::string& body = "") {
    return await(ask(at, method, path, body));
  }

  ApiResponse plan(const std::string& at, std::uint64_t version) {
    return call(at, "POST", "/v1/plans", "{\"version\":" + std::to_string(version) + "}");
  }
  Pending askConfirm(const std::string& at, const std::string& id) {
    return ask(at, "POST", "/v1/plans/" + id + "/confirm");
  }
  ApiResponse confirm(const std::string& at, const std::string& id) {
    return await(askConfirm(at, id));
  }

  /// Publishes a version with `routes` routes.
  void publish(std::uint64_t version, std::size_t routes) {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < routes; ++i) {
      names.push_back("route-" + std::to_string(i));
    }
    platform.publish(version, documentText(version, names, kSecretValue));
  }

  VirtualTime time;
  VirtualNetwork<std::string> network;
  FakePlatform platform;
  control::ControlSettings settings = [] {
    control::ControlSettings defaults;
    defaults.admin.bearer_token = kToken;
    return defaults;
  }();
  std::vector<ZoneId> zone_ids;
  std::map<NodeId, std::unique_ptr<ControlNode>> nodes;

 private:
  std::uint64_t seed_;
  std::uint64_t started_ = 0;
};

}  // namespace coursepond::testing
