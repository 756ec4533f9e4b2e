#include <doctest/doctest.h>

#include <string>

#include "control/control_mesh.h"

namespace coursepond::testing {
namespace {

using namespace std::chrono_literals;

/// Three zones of three nodes, with version 2 confirmed and version 3 published but not confirmed.
struct ConfirmedMesh : ControlMesh {
  ConfirmedMesh() : ControlMesh(3, 3) {
    settings.zones = zone_ids;
    for (const auto& [id, node] : nodes) {
      settings.seeds.push_back(listed(*node));
    }
    publish(1, 3);
    startAll();
    REQUIRE(runUntilInForce(1, 60s));
    time.runFor(5s);
    publish(2, 4);
    time.runFor(3s);
    REQUIRE(confirm("a0", plan("a0", 2).body["id"]).status == 200);
    REQUIRE(runUntilInForce(2, 2s));
    publish(3, 5);
    time.runFor(3s);
  }

  std::vector<std::string> names() const {
    std::vector<std::string> all;
    for (const auto& [id, node] : nodes) {
      all.push_back(id.value());
    }
    return all;
  }

  std::uint64_t adoptions() const {
    std::uint64_t count = 0;
    for (const ControlNode* running : alive()) {
      count += running->plane->statistics().replica.adopted_after_loss;
    }
    return count;
  }
};

TEST_CASE_FIXTURE(ConfirmedMesh, "a replaced node has the accepted version before it is ready") {
  kill("b1");
  time.runFor(10s);
  start("b1");
  CHECK_FALSE(node("b1").plane->ready());
  CHECK(time.runUntilTrue([&] { return node("b1").plane->ready(); }, 5s));
  CHECK(node("b1").in_force == Version(2));
}

TEST_CASE_FIXTURE(ConfirmedMesh,
                  "a zone that lost all its nodes restarts with the accepted version") {
  for (const char* name : {"c0", "c1", "c2"}) {
    kill(name);
  }
  const std::uint64_t before = adoptions();  // Of version 1, at the mesh's first start.
  time.runFor(20s);
  for (const char* name : {"c0", "c1", "c2"}) {
    start(name);
  }
  CHECK(runUntilInForce(2, 10s));
  CHECK(adoptions() == before);
}

TEST_CASE_FIXTURE(
    ConfirmedMesh,
    "one surviving node is enough to recover the accepted version, even without the platform") {
  platform.mode = FakePlatform::Mode::kDown;
  for (const std::string& name : names()) {
    if (name != "b2") {
      kill(name);
    }
  }
  time.runFor(20s);
  CHECK(node("b2").in_force == Version(2));
  for (const std::string& name : names()) {
    if (name != "b2") {
      start(name);
    }
  }
  CHECK(runUntilInForce(2, 20s));
  CHECK(adoptions() == 0);
}

TEST_CASE_FIXTURE(
    ConfirmedMesh,
    "after the loss of all nodes, the newest published version is adopted and counted") {
  for (const std::string& name : names()) {
    kill(name);
  }
  time.runFor(5s);
  startAll();
  CHECK(runUntilInForce(3, 60s));
  CHECK(adoptions() >= 1);
  const ApiResponse status = call("a0", "GET", "/v1/status");
  CHECK(status.body["accepted"]["version"] == 3);
}

TEST_CASE_FIXTURE(
    ConfirmedMesh,
    "after the loss of all nodes, no node is ready while the platform is unavailable") {
  for (const std::string& name : names()) {
    kill(name);
  }
  platform.mode = FakePlatform::Mode::kDown;
  startAll();
  time.runFor(120s);
  for (const ControlNode* running : alive()) {
    CHECK_FALSE(running->plane->ready());
    CHECK(running->in_force == Version());
  }
  CHECK(plan("a0", 3).status >= 400);
  platform.mode = FakePlatform::Mode::kUp;
  CHECK(runUntilInForce(3, 90s));
}

TEST_CASE_FIXTURE(
    ConfirmedMesh,
    "a coordinator that crashes while confirming leaves no conflicting accepted versions") {
  const std::string id = plan("a0", 3).body["id"];
  for (const Duration wait : {1ms, 3ms, 4ms, 5ms}) {
    CAPTURE(wait.count());
    askConfirm("a1", id);
    time.runFor(wait);
    kill("a1");
    time.runFor(5s);
    const ApiResponse again = confirm("b0", id);
    CHECK_MESSAGE(again.status == 200, again.text);
    CHECK(call("c1", "GET", "/v1/plans/" + id).body["status"] == "accepted");
    start("a1");
    time.runFor(10s);
  }
  CHECK(allInForce(3));
}

}  // namespace
}  // namespace coursepond::testing
