#include <doctest/doctest.h>

#include <string>

#include "control/control_mesh.h"

namespace coursepond::testing {
namespace {

using namespace std::chrono_literals;

/// Three zones of four nodes with version 1 in force.
struct RunningMesh : ControlMesh {
  explicit RunningMesh(std::size_t zones = 3, std::size_t nodes_per_zone = 4,
                       std::uint64_t seed = 1)
      : ControlMesh(zones, nodes_per_zone, seed) {
    settings.zones = zone_ids;
    for (const auto& [id, node] : nodes) {
      settings.seeds.push_back(listed(*node));
    }
    publish(1, 3);
    startAll();
    REQUIRE(runUntilInForce(1, 60s));
    time.runFor(5s);
  }
};

TEST_CASE(
    "the nodes of a new mesh join, two readers read the platform, and the first version is "
    "adopted") {
  RunningMesh mesh;
  for (const ControlNode* node : mesh.alive()) {
    CAPTURE(node->id.value());
    CHECK(node->plane->ready());
    CHECK(node->node_count == 12);
    CHECK(node->endpoint_generation == Generation(1));
    CHECK_FALSE(node->secret_leaked);
  }
  CHECK(mesh.readers() <= 2);
  CHECK(mesh.readers() >= 1);
}

TEST_CASE("a confirmed plan is in force on every proxy within seconds") {
  RunningMesh mesh;
  mesh.publish(2, 4);
  mesh.time.runFor(3s);
  const ApiResponse plan = mesh.plan("b1", 2);
  REQUIRE_MESSAGE(plan.status == 201, plan.text);
  CHECK(plan.body["routes"]["added"] == json::array({"route-3"}));
  CHECK(plan.body["base"] == 1);
  CHECK(plan.body["zones"].size() == 3);
  for (const json& zone : plan.body["zones"]) {
    CHECK(zone["answered"] == true);
    CHECK(zone["proxies_to_change"] == 4);
    CHECK(zone["from_versions"] == json::array({{{"version", 1}, {"proxies", 4}}}));
  }
  CHECK(plan.body["estimated_bytes"]["delta_per_node"].get<int>() > 0);
  CHECK(mesh.allInForce(1));

  const ApiResponse confirmed = mesh.confirm("c2", plan.body["id"]);
  REQUIRE_MESSAGE(confirmed.status == 200, confirmed.text);
  CHECK(mesh.runUntilInForce(2, 1s));
  CHECK(mesh.call("a0", "GET", "/v1/plans/" + plan.body["id"].get<std::string>()).body["status"] ==
        "accepted");
  CHECK(mesh.confirm("a3", plan.body["id"]).status == 200);
}

TEST_CASE("status and proxies list every node and contain no secret") {
  RunningMesh mesh;
  const ApiResponse status = mesh.call("a1", "GET", "/v1/status");
  REQUIRE(status.status == 200);
  CHECK(status.body["converged"] == true);
  CHECK(status.body["zones"].size() == 3);
  CHECK(status.body["zones_missing"].empty());
  const ApiResponse proxies = mesh.call("b0", "GET", "/v1/proxies");
  CHECK(proxies.body["proxies"].size() == 12);
  for (const ApiResponse& answer : {status, proxies}) {
    CHECK(answer.text.find(kSecretValue) == std::string::npos);
  }
}

TEST_CASE("two operators confirm different versions concurrently") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    RunningMesh mesh(3, 3, seed);
    mesh.publish(2, 4);
    mesh.time.runFor(3s);
    mesh.publish(3, 5);
    mesh.time.runFor(3s);
    const std::string second = mesh.plan("a0", 2).body["id"];
    const std::string third = mesh.plan("b0", 3).body["id"];
    const auto first_answer = mesh.askConfirm("a0", second);
    mesh.time.runFor(Duration(seed * 400));
    const auto second_answer = mesh.askConfirm("b0", third);
    const ApiResponse left = mesh.await(first_answer);
    const ApiResponse right = mesh.await(second_answer);
    REQUIRE((left.status == 200) != (right.status == 200));
    const ApiResponse& refused = left.status == 200 ? right : left;
    CHECK(refused.body["took_effect"] == "no");
    CHECK(refused.status == 409);
    const std::uint64_t accepted = left.status == 200 ? 2 : 3;
    CHECK(mesh.runUntilInForce(accepted, 5s));
    mesh.time.runFor(10s);
    CHECK(mesh.allInForce(accepted));
  }
}

TEST_CASE(
    "a plan is refused at once in the minority of a partition, the majority continues, and the "
    "mesh converges after healing") {
  RunningMesh mesh;
  mesh.publish(2, 4);
  mesh.time.runFor(3s);
  const std::string id = mesh.plan("a0", 2).body["id"];
  mesh.cut({mesh.zone_ids[2]});
  mesh.time.runFor(10s);
  const TimePoint asked = mesh.time.now();
  const ApiResponse refused = mesh.confirm("c1", id);
  CHECK(refused.status == 503);
  CHECK(refused.body["error"]["kind"] == "no_quorum");
  CHECK(refused.body["took_effect"] == "no");
  CHECK(mesh.time.now() - asked < 10ms);
  CHECK(mesh.confirm("a2", id).status == 200);
  mesh.time.runFor(2s);
  CHECK(mesh.node("b3").in_force == Version(2));
  CHECK(mesh.node("c0").in_force == Version(1));
  const ApiResponse status = mesh.call("a0", "GET", "/v1/status");
  CHECK(status.body["zones_missing"] == json::array({"zone-2"}));
  CHECK(status.body["converged"] == false);
  mesh.heal();
  CHECK(mesh.runUntilInForce(2, 10s));
}

TEST_CASE("a zone that restarts completely while partitioned does not act as the whole mesh") {
  RunningMesh mesh;
  mesh.publish(2, 4);
  mesh.time.runFor(3s);
  const std::string id = mesh.plan("a0", 2).body["id"];
  mesh.cut({mesh.zone_ids[2]});
  for (const char* name : {"c0", "c1", "c2", "c3"}) {
    mesh.kill(name);
  }
  REQUIRE(mesh.confirm("a0", id).status == 200);
  for (const char* name : {"c0", "c1", "c2", "c3"}) {
    mesh.start(name);
  }
  mesh.time.runFor(30s);
  CHECK(mesh.confirm("c0", id).body["took_effect"] == "no");
  mesh.heal();
  CHECK(mesh.runUntilInForce(2, 20s));
}

TEST_CASE("half of the nodes crash and restart at the same time, and get the accepted version") {
  RunningMesh mesh(3, 6);
  mesh.publish(2, 4);
  mesh.time.runFor(3s);
  REQUIRE(mesh.confirm("a0", mesh.plan("a0", 2).body["id"]).status == 200);
  REQUIRE(mesh.runUntilInForce(2, 2s));
  const std::vector<std::string> herd = {"a0", "a1", "a2", "b0", "b3", "b4", "c1", "c2", "c5"};
  for (const std::string& name : herd) {
    mesh.kill(name);
  }
  mesh.time.runFor(1s);
  for (const std::string& name : herd) {
    mesh.start(name);
  }
  CHECK(mesh.runUntilInForce(2, 5s));
  mesh.time.runFor(10s);
  CHECK(mesh.readers() <= 2);
  const ApiResponse status = mesh.call("b1", "GET", "/v1/status");
  CHECK_MESSAGE(status.body["converged"] == true, status.text);
}

TEST_CASE(
    "a reader, distributor and voter that resume after a pause do not revert an accepted version") {
  RunningMesh mesh;
  for (ControlNode* node : mesh.alive()) {
    const membership::Roles roles = node->plane->roles();
    if (roles.source_reader || (roles.zone_distributor && node->zone == mesh.zone_ids[0])) {
      mesh.pause(node->id.value(), 20s);
    }
  }
  mesh.publish(2, 4);
  mesh.time.runFor(10s);
  const ApiResponse plan = mesh.plan("b3", 2);
  REQUIRE_MESSAGE(plan.status == 201, plan.text);
  const ApiResponse confirmed = mesh.confirm("b3", plan.body["id"]);
  REQUIRE_MESSAGE(confirmed.status == 200, confirmed.text);
  mesh.time.runFor(15s);
  CHECK(mesh.runUntilInForce(2, 5s));
  for (const ControlNode* node : mesh.alive()) {
    CHECK_FALSE(node->version_decreased);
  }
  CHECK(mesh.readers() <= 2);
}

TEST_CASE("an unavailable, stale or malformed platform does not change the version in force") {
  RunningMesh mesh;
  SUBCASE("away") { mesh.platform.mode = FakePlatform::Mode::kDown; }
  SUBCASE("silent") { mesh.platform.mode = FakePlatform::Mode::kSilent; }
  SUBCASE("stale") {
    mesh.platform.newest = Version(0);
    mesh.platform.setMachines(0, R"({"generation":0,"nodes":[],"backends":[]})");
  }
  SUBCASE("malformed") {
    mesh.platform.publish(2, "{");
    mesh.platform.setMachines(9, "{");
  }
  mesh.time.runFor(120s);
  CHECK(mesh.allInForce(1));
  CHECK(mesh.call("a0", "GET", "/v1/status").body["converged"] == true);
  mesh.platform.mode = FakePlatform::Mode::kUp;
  mesh.publish(3, 5);
  mesh.publishMachines(10);
  const auto staged = [&] { return mesh.node("a0").plane->replica().newestStaged() == Version(3); };
  CHECK(mesh.time.runUntilTrue(staged, 60s));
  const ApiResponse plan = mesh.plan("a0", 3);
  REQUIRE_MESSAGE(plan.status == 201, plan.text);
  CHECK(mesh.confirm("a0", plan.body["id"]).status == 200);
  CHECK(mesh.runUntilInForce(3, 2s));
}

TEST_CASE("a staged version can be planned and confirmed while the platform is unavailable") {
  RunningMesh mesh;
  mesh.publish(2, 4);
  mesh.time.runFor(3s);
  mesh.platform.mode = FakePlatform::Mode::kDown;
  mesh.time.runFor(60s);
  const ApiResponse plan = mesh.call("c0", "POST", "/v1/plans", R"({"version":"newest"})");
  REQUIRE_MESSAGE(plan.status == 201, plan.text);
  CHECK(plan.body["platform_reached"] == false);
  CHECK(mesh.confirm("c0", plan.body["id"]).status == 200);
  CHECK(mesh.runUntilInForce(2, 2s));
}

TEST_CASE("planning a version that was just published makes a reader fetch it, from any zone") {
  RunningMesh mesh;
  for (const char* at : {"a3", "b3", "c3"}) {
    CAPTURE(at);
    const auto version = mesh.platform.newest.value() + 1;
    mesh.publish(version, 3 + version);
    const ApiResponse plan = mesh.call(at, "POST", "/v1/plans", R"({"version":"newest"})");
    REQUIRE_MESSAGE(plan.status == 201, plan.text);
    CHECK(plan.body["version"] == version);
    CHECK(mesh.confirm(at, plan.body["id"]).status == 200);
    CHECK(mesh.runUntilInForce(version, 2s));
  }
}

TEST_CASE("an invalid version cannot be planned, and every missing dependency is reported") {
  RunningMesh mesh;
  mesh.platform.publish(2, R"({"version":2,"routes":[
      {"name":"r","path_prefix":"/r","service":"none"},
      {"name":"s","path_prefix":"/s","service":"none"}],"services":[],"secrets":[]})");
  mesh.time.runFor(3s);
  const ApiResponse plan = mesh.plan("b2", 2);
  CHECK(plan.status == 422);
  CHECK(plan.body["valid"] == false);
  CHECK(plan.body["error"]["kind"] == "missing_dependency");
  CHECK(plan.body["mistakes"].size() == 2);
  CHECK_FALSE(plan.body.contains("id"));
}

TEST_CASE("confirming a made-up plan id has no effect") {
  RunningMesh mesh;
  const std::string made_up = "plan-9-1-" + std::string(64, 'a');
  const ApiResponse refused = mesh.confirm("a0", made_up);
  CHECK(refused.status == 503);
  CHECK(refused.body["took_effect"] == "no");
  mesh.time.runFor(10s);
  CHECK(mesh.allInForce(1));
}

TEST_CASE("the rate of source reads does not grow with the number of nodes") {
  const auto readsPerMinute = [](std::size_t nodes_per_zone) {
    RunningMesh mesh(3, nodes_per_zone);
    mesh.time.runFor(10s);
    const auto before = mesh.platform.reads();
    mesh.time.runFor(60s);
    return mesh.platform.reads() - before;
  };
  const auto few = readsPerMinute(2);
  const auto many = readsPerMinute(10);
  MESSAGE("platform reads per minute: 6 nodes ", few, ", 30 nodes ", many);
  CHECK(few <= 330);
  CHECK(many <= 330);
}

TEST_CASE("nodes without seeds discover each other through the platform's machine list") {
  ControlMesh mesh(3, 3);
  mesh.publish(1, 3);
  mesh.startAll();
  CHECK(mesh.runUntilInForce(1, 60s));
  CHECK(mesh.platform.machine_reads < 200);
  mesh.time.runFor(10s);
  CHECK(mesh.readers() <= 2);
  for (const ControlNode* node : mesh.alive()) {
    CHECK(node->node_count == 9);
  }
}

TEST_CASE("after a planned stop a node has no roles and sends nothing") {
  RunningMesh mesh;
  ControlNode& leaver = mesh.node("a0");
  leaver.plane->leave();
  mesh.time.runFor(100ms);
  const auto sent = leaver.sent_bytes;
  mesh.time.runFor(20s);
  CHECK(leaver.sent_bytes == sent);
  CHECK(leaver.plane->roles() == membership::Roles());
  CHECK(mesh.node("a1").node_count == 11);
}

}  // namespace
}  // namespace coursepond::testing
