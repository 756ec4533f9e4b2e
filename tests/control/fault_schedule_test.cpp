#include <doctest/doctest.h>

#include <random>
#include <string>

#include "control/control_mesh.h"

namespace coursepond::testing {
namespace {

using namespace std::chrono_literals;

/// Operators plan and confirm versions while processes crash, pause and are partitioned. The
/// answers they receive are compared with the versions that are put in force.
class FaultSchedule {
 public:
  explicit FaultSchedule(std::uint64_t seed)
      : random_(seed), mesh_(3, 3 + seed % 3, seed), version_(1) {
    mesh_.settings.zones = mesh_.zone_ids;
    for (const auto& [id, node] : mesh_.nodes) {
      mesh_.settings.seeds.push_back(mesh_.listed(*node));
      names_.push_back(id.value());
    }
    mesh_.publish(1, 3);
    mesh_.startAll();
    REQUIRE(mesh_.runUntilInForce(1, 90s));
    mesh_.time.runFor(5s);
  }

  void run() {
    for (int round = 0; round < 4; ++round) {
      publishNext();
      mesh_.time.runFor(Duration(random_() % 4'000'000));
      const std::uint64_t rival = version_;
      if (random_() % 2 == 0) {
        publishNext();
        mesh_.time.runFor(Duration(random_() % 4'000'000));
      }
      applyFault();
      mesh_.time.runFor(Duration(random_() % 3'000'000));
      std::vector<ControlMesh::Pending> plans = {makePlan("\"newest\""),
                                                 makePlan(std::to_string(rival))};
      mesh_.time.runFor(10s);
      confirmAll(plans);
      healAll();
      checkConverged();
    }
  }

  Duration longestConvergence() const { return longest_; }
  std::size_t acceptedCount() const { return accepted_.size(); }

 private:
  struct Confirmation {
    json plan;
    ControlMesh::Pending answer;
  };

  const std::string& randomName() { return names_[random_() % names_.size()]; }

  void applyFault() {
    switch (random_() % 6) {
      case 0:
        mesh_.cut({mesh_.zone_ids[random_() % mesh_.zone_ids.size()]});
        break;
      case 1:
        for (std::size_t i = 0; i < names_.size() / 2; ++i) {
          killIfAlive(randomName());
        }
        break;
      case 2:
        for (int i = 0; i < 3; ++i) {
          pauseIfAlive(randomName());
        }
        break;
      case 3:
        mesh_.platform.mode = FakePlatform::Mode::kDown;
        break;
      case 4:
        mesh_.network.setFaults({20, 20, 1ms, 150ms});
        break;
      default:
        break;
    }
  }

  void killIfAlive(const std::string& name) {
    if (mesh_.node(name).plane != nullptr) {
      mesh_.kill(name);
    }
  }

  void pauseIfAlive(const std::string& name) {
    if (mesh_.node(name).plane != nullptr) {
      mesh_.pause(name, Duration(random_() % 15'000'000));
    }
  }

  void publishNext() {
    ++version_;
    mesh_.publish(version_, 3 + version_);
  }

  ControlMesh::Pending makePlan(const std::string& version) {
    const std::string& at = randomName();
    if (mesh_.node(at).plane == nullptr) {
      return nullptr;
    }
    return mesh_.ask(at, "POST", "/v1/plans", "{\"version\":" + version + "}");
  }

  /// Confirms each plan at a random node; in half of the rounds almost concurrently.
  void confirmAll(const std::vector<ControlMesh::Pending>& plans) {
    std::vector<Confirmation> running;
    for (const auto& plan : plans) {
      const std::string& at = randomName();
      if (plan == nullptr || !plan->has_value() || plan->value().status != 201 ||
          mesh_.node(at).plane == nullptr) {
        continue;
      }
      running.push_back({plan->value().body, mesh_.askConfirm(at, plan->value().body["id"])});
      mesh_.time.runFor(Duration(random_() % 2 == 0 ? 500 : 3'000'000));
    }
    mesh_.time.runFor(20s);
    for (const Confirmation& confirmation : running) {
      noteOutcome(confirmation);
    }
  }

  void noteOutcome(const Confirmation& confirmation) {
    const std::string id = confirmation.plan["id"];
    if (!confirmation.answer->has_value()) {
      noteUnknown(confirmation);  // The node was killed or is still paused, so there is no answer.
      return;
    }
    const ApiResponse& answer = confirmation.answer->value();
    if (answer.status == 200) {
      accepted_[confirmation.plan["base"].get<std::uint64_t>()].insert(id);
      newest_accepted_ =
          std::max(newest_accepted_, confirmation.plan["version"].get<std::uint64_t>());
    } else if (answer.body["took_effect"] == "unknown") {
      noteUnknown(confirmation);
    } else {
      CHECK_FALSE(answer.body["error"]["remedy"].get<std::string>().empty());
    }
  }

  void noteUnknown(const Confirmation& confirmation) {
    newest_unknown_ = std::max(newest_unknown_, confirmation.plan["version"].get<std::uint64_t>());
  }

  void healAll() {
    mesh_.heal();
    mesh_.network.setFaults({});
    mesh_.platform.mode = FakePlatform::Mode::kUp;
    for (const std::string& name : names_) {
      if (mesh_.node(name).plane == nullptr) {
        mesh_.start(name);
      }
    }
  }

  bool agreed() const {
    const auto alive = mesh_.alive();
    const Version first = alive.front()->in_force;
    return first.value() >= newest_accepted_ &&
           std::all_of(alive.begin(), alive.end(),
                       [first](const ControlNode* node) { return node->in_force == first; });
  }

  void checkConverged() {
    const TimePoint healed = mesh_.time.now();
    const bool converged = mesh_.time.runUntilTrue([this] { return agreed(); }, 30s);
    CHECK_MESSAGE(converged, describeNodes());
    longest_ = std::max(longest_, std::chrono::duration_cast<Duration>(mesh_.time.now() - healed));
    mesh_.time.runFor(20s);
    CHECK_MESSAGE(agreed(), describeNodes());
    CHECK_MESSAGE(
        mesh_.alive().front()->in_force.value() <= std::max(newest_accepted_, newest_unknown_),
        "in force without having been confirmed: ", describeNodes());
    for (const auto& [id, node] : mesh_.nodes) {
      CHECK_FALSE_MESSAGE(node->version_decreased, id.value());
      CHECK_FALSE_MESSAGE(node->secret_leaked, id.value());
    }
    for (const auto& [base, plans] : accepted_) {
      CHECK_MESSAGE(plans.size() == 1, "several plans accepted on base ", base);
    }
    CHECK(mesh_.readers() <= 2);
  }

  std::string describeNodes() const {
    std::string text = "newest accepted " + std::to_string(newest_accepted_) + ":";
    for (const ControlNode* node : mesh_.alive()) {
      text += " " + node->id.value() + "=" + std::to_string(node->in_force.value()) + "/" +
              std::to_string(node->plane->replica().record().version.value());
    }
    return text;
  }

  std::mt19937_64 random_;
  ControlMesh mesh_;
  std::vector<std::string> names_;
  std::uint64_t version_;
  std::uint64_t newest_accepted_ = 1;
  std::map<std::uint64_t, std::set<std::string>> accepted_;
  std::uint64_t newest_unknown_ = 0;
  Duration longest_{};
};

TEST_CASE("under random faults, operators get correct answers and the mesh converges") {
  Duration longest{};
  std::size_t accepted = 0;
  for (std::uint64_t seed = 1; seed <= 25; ++seed) {
    CAPTURE(seed);
    FaultSchedule schedule(seed);
    schedule.run();
    longest = std::max(longest, schedule.longestConvergence());
    accepted += schedule.acceptedCount();
  }
  MESSAGE("longest convergence after healing: ", toMilliseconds(longest),
          " ms; accepted plans: ", accepted);
  CHECK(accepted > 25);
}

}  // namespace
}  // namespace coursepond::testing
