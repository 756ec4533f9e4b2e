#include "admission/suspect_gossip.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "support/fingerprints.h"
#include "support/virtual_environment.h"

namespace coursepond::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time within which all nodes must know of a third server end.
constexpr Duration kConvergenceTime = seconds(5);
const RequestFingerprint kGuilty(77);

/// Nodes that gossip with each other in virtual time.
class GossipMesh {
 public:
  GossipMesh(std::size_t size, std::size_t zones) : zones_(zones) {
    for (std::size_t index = 0; index < size; ++index) {
      nodes_.push_back(std::make_unique<Node>(*this));
    }
    settings.longest_pause = kConvergenceTime / 2;
    for (std::size_t index = 0; index < size; ++index) begin(index);
  }

  /// Restarts the node, which loses its table.
  void restart(std::size_t index) {
    nodes_[index] = std::make_unique<Node>(*this);
    begin(index);
  }

  /// The server of each of these nodes ends while it runs the request.
  void endServers(std::initializer_list<std::size_t> indexes) {
    for (const std::size_t index : indexes) {
      nodes_[index]->suspects.onServerEnd(++last_end_, std::vector{wholeRequest(kGuilty)},
                                          environment.now());
    }
  }
  void run(Duration span) { environment.advance(span); }

  /// Returns the number of nodes that know of at least `ends` server ends.
  std::size_t nodesWithEnds(std::size_t ends) const {
    return static_cast<std::size_t>(
        std::count_if(nodes_.begin(), nodes_.end(), [ends](const std::unique_ptr<Node>& node) {
          return node->suspects.ends(kGuilty) >= ends;
        }));
  }
  CrashSuspects& suspects(std::size_t index) { return nodes_[index]->suspects; }

  proxy::VirtualEnvironment environment;
  SuspectGossipSettings settings;
  /// Nodes whose messages are lost in both directions.
  std::vector<bool> is_cut = std::vector<bool>(1000);
  std::size_t messages = 0;
  std::size_t reports = 0;

 private:
  struct Node final : SuspectPeers {
    explicit Node(GossipMesh& its_mesh) : mesh(its_mesh) {}
    void exchange(const std::string& host, const SuspectMessage& message,
                  Callback callback) override {
      mesh.deliver(*this, std::stoul(host), message, std::move(callback));
    }
    GossipMesh& mesh;
    std::size_t index = 0;
    CrashSuspects suspects;
    std::unique_ptr<SuspectGossip> gossip;
  };

  void begin(std::size_t index) {
    Node& node = *nodes_[index];
    node.index = index;
    node.gossip = std::make_unique<SuspectGossip>(node.suspects, node, environment, settings);
    std::vector<std::string> own_zone;
    std::vector<std::string> others;
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      if (other == index) continue;
      (other % zones_ == index % zones_ ? own_zone : others).push_back(std::to_string(other));
    }
    node.gossip->setPeers(std::move(own_zone), std::move(others));
  }

  void deliver(Node& from, std::size_t to, const SuspectMessage& message,
               SuspectPeers::Callback callback) {
    ++messages;
    reports += message.reports.size();
    if (is_cut[from.index] || is_cut[to]) {
      environment.schedule(milliseconds(500), [callback] { callback(std::nullopt); });
      return;
    }
    environment.schedule(kDelay, [this, to, message, callback] {
      const SuspectMessage reply = nodes_[to]->gossip->onMessage(message);
      reports += reply.reports.size();
      environment.schedule(kDelay, [reply, callback] { callback(reply); });
    });
  }

  /// Average delay at a node that has used up its tenth of a core.
  static constexpr Duration kDelay = milliseconds(50);

  std::size_t zones_;
  std::vector<std::unique_ptr<Node>> nodes_;
  ServerEndId last_end_ = 0;
};

}  // namespace

TEST_CASE("all of 984 nodes learn of three server ends in time, with few messages per node") {
  GossipMesh mesh(984, 6);
  mesh.run(seconds(6));
  const std::size_t before = mesh.messages;
  mesh.endServers({5, 300, 700});
  mesh.run(kConvergenceTime / 2);
  CHECK(mesh.nodesWithEnds(3) == 984);
  const double each = static_cast<double>(mesh.messages - before) / 984;
  MESSAGE("messages of each node in 2.5 s: " << each);
  CHECK(each < 20);
}

TEST_CASE("without changes, each node exchanges one summary per pause and sends no reports") {
  GossipMesh mesh(120, 3);
  mesh.run(seconds(20));
  const std::size_t before = mesh.messages;
  const std::size_t reports = mesh.reports;
  mesh.run(seconds(10));
  const double each = static_cast<double>(mesh.messages - before) / 120;
  CHECK(each <= 10 / 1.8);
  CHECK(mesh.reports == reports);
}

TEST_CASE("nodes that were partitioned or restarted catch up soon after they are back") {
  GossipMesh mesh(60, 3);
  mesh.run(seconds(6));
  for (std::size_t index = 0; index < 20; ++index) mesh.is_cut[index] = true;
  mesh.endServers({30, 40, 50});
  mesh.run(seconds(30));
  CHECK(mesh.nodesWithEnds(3) == 40);
  for (std::size_t index = 0; index < 20; ++index) mesh.is_cut[index] = false;
  for (std::size_t index = 40; index < 50; ++index) mesh.restart(index);
  mesh.run(kConvergenceTime);
  CHECK(mesh.nodesWithEnds(3) == 60);
}

TEST_CASE("a node whose process was paused exchanges at once when it resumes") {
  GossipMesh mesh(40, 2);
  mesh.run(seconds(6));
  mesh.is_cut[7] = true;
  mesh.endServers({1, 2, 3});
  mesh.run(seconds(20));
  mesh.environment.pause(seconds(3));
  mesh.is_cut[7] = false;
  mesh.run(milliseconds(400));
  CHECK(mesh.nodesWithEnds(3) == 40);
}

TEST_CASE("reports survive the restart of the nodes that sent them") {
  GossipMesh mesh(30, 3);
  mesh.run(seconds(6));
  mesh.endServers({1, 2, 3});
  mesh.run(milliseconds(300));
  for (const std::size_t index : {1, 2, 3}) mesh.restart(index);
  mesh.run(kConvergenceTime);
  CHECK(mesh.nodesWithEnds(3) == 30);
}

TEST_CASE("an answer clears the request on all nodes, including those that were partitioned") {
  GossipMesh mesh(60, 3);
  mesh.run(seconds(6));
  mesh.endServers({30, 40, 50});
  mesh.run(seconds(3));
  mesh.is_cut[9] = true;
  mesh.suspects(20).onAnswered(kGuilty, mesh.environment.now());
  mesh.run(seconds(5));
  CHECK(mesh.nodesWithEnds(1) == 1);
  mesh.is_cut[9] = false;
  mesh.run(kConvergenceTime);
  CHECK(mesh.nodesWithEnds(1) == 0);
}

}  // namespace coursepond::admission
