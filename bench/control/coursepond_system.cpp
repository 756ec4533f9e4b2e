#include "coursepond_system.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "control/control_plane.h"
#include "process_environment.h"

namespace coursepond::bench {
namespace {

using Json = nlohmann::json;

constexpr char kToken[] = "bench";
/// All nodes start within this time, as in a rollout.
constexpr Duration kStartSpread = std::chrono::seconds(2);
/// Number of seed peers in the settings of each node.
constexpr std::size_t kSeeds = 6;

simulation::NetworkQuality qualityOf(const MeshShape& shape) {
  simulation::NetworkQuality quality;
  quality.zone_latency = shape.zone_latency;
  return quality;
}

control::ControlSettings settingsOf(const MeshShape& shape) {
  control::ControlSettings settings;
  settings.admin.bearer_token = kToken;
  for (std::uint32_t zone = 0; zone < shape.zones; ++zone) {
    settings.zones.push_back(zoneName(zone));
  }
  settings.distribution.zones = settings.zones;
  settings.seeds = makeNodes(shape);
  settings.seeds.resize(std::min(settings.seeds.size(), kSeeds));
  return settings;
}

membership::Member memberOf(const model::ListedNode& listed) {
  membership::Member member;
  member.id = listed.id;
  member.zone = listed.zone;
  member.peer_address = listed.peer_address;
  member.incarnation = Incarnation(1);
  return member;
}

}  // namespace

/// The control plane of one node with its platform client and network connection.
class CoursepondSystem::Node final : public control::ControlObserver,
                                     public MessageSender<control::PeerMessage> {
 public:
  Node(CoursepondSystem& system, const model::ListedNode& listed,
       simulation::PlatformModel& platform, std::uint64_t seed)
      : system_(system),
        listed_(listed),
        environment_(system.time_, seed, true),
        client_(platform.makeClient(listed.id, environment_), system.platform_traffic_),
        control_(settingsOf(system.shape_), memberOf(listed), environment_, *this, client_, *this) {
  }

  void start() {
    system_.network_.attach(listed_.id, listed_.zone,
                            [this](const NodeId& from, const control::PeerMessage& message) {
                              control_.onPeerMessage(from, message);
                            });
    control_.start();
  }

  admin::AdminApi& api() { return control_.api(); }
  double bytesSent() const { return bytes_sent_; }

 private:
  void onSnapshot(model::SnapshotPointer snapshot) override {
    system_.recorder_.onInForce(listed_.id, snapshot->version);
  }
  void onEndpoints(const model::EndpointSet& set) override {
    system_.recorder_.onEndpoints(listed_.id, {set.service, set.zone}, set.generation);
  }
  void onNodeCount(std::size_t) override {}
  void onPeerAddress(const NodeId&, const Address&) override {}
  void onEvent(const control::ControlEvent&) override {}

  void send(const NodeId& to, const control::PeerMessage& message) override {
    const std::uint64_t before = system_.network_.statistics().bytes();
    system_.network_.send(listed_.id, to, message);
    bytes_sent_ += static_cast<double>(system_.network_.statistics().bytes() - before);
  }

  CoursepondSystem& system_;
  model::ListedNode listed_;
  simulation::ProcessEnvironment environment_;
  CountingClient client_;
  control::ControlPlane control_;
  double bytes_sent_ = 0;
};

CoursepondSystem::CoursepondSystem(const MeshShape& shape, simulation::VirtualTime& time,
                                   simulation::PlatformModel& platform, Recorder& recorder,
                                   std::uint64_t seed)
    : shape_(shape), time_(time), recorder_(recorder), network_(time, seed, qualityOf(shape)) {
  std::uint64_t node_seed = seed;
  for (const model::ListedNode& listed : makeNodes(shape)) {
    nodes_.push_back(std::make_unique<Node>(*this, listed, platform, ++node_seed));
  }
}

CoursepondSystem::~CoursepondSystem() = default;

void CoursepondSystem::start() {
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    const Duration delay = kStartSpread * static_cast<int>(node) / static_cast<int>(nodes_.size());
    time_.schedule(delay, [this, node] { nodes_[node]->start(); });
  }
}

void CoursepondSystem::confirm(Version version) {
  next_operator_ = (next_operator_ + 7) % nodes_.size();
  admin::AdminApi& api = nodes_[next_operator_]->api();
  const std::string body = Json({{"version", version.value()}}).dump();
  api.handle({"POST", "/v1/plans", kToken, body}, [this, &api,
                                                   version](const admin::AdminResponse& planned) {
    if (planned.status / 100 != 2) {
      std::fprintf(stderr, "plan refused: %s\n", planned.json_body.c_str());
      return;
    }
    const auto id = Json::parse(planned.json_body).at("id").get<std::string>();
    recorder_.onAccepted(version);
    api.handle({"POST", "/v1/plans/" + id + "/confirm", kToken, ""},
               [](const admin::AdminResponse& confirmed) {
                 if (confirmed.status / 100 == 2) return;
                 std::fprintf(stderr, "confirmation failed: %s\n", confirmed.json_body.c_str());
               });
  });
}

PhaseBytes CoursepondSystem::bytes() const {
  const auto& by_kind = network_.statistics().bytes_by_kind;
  const auto of = [&by_kind](control::MessageKind kind) {
    return static_cast<double>(by_kind[static_cast<std::size_t>(kind)]);
  };
  PhaseBytes bytes;
  bytes.membership = of(control::MessageKind::kMembership);
  bytes.distribution = of(control::MessageKind::kDistribution);
  bytes.acceptance = of(control::MessageKind::kAcceptance);
  bytes.admin = of(control::MessageKind::kAdmin);
  bytes.platform = platform_traffic_.bytes;
  return bytes;
}

std::vector<double> CoursepondSystem::bytesByNode() const {
  std::vector<double> bytes;
  for (const auto& node : nodes_) bytes.push_back(node->bytesSent());
  return bytes;
}

double CoursepondSystem::crossingBytes() const {
  return static_cast<double>(network_.statistics().cross_zone_bytes);
}

}  // namespace coursepond::bench
