/// Tests that the network cost of membership per node is small and does not grow with the mesh.

#include <doctest/doctest.h>

#include <chrono>

#include "membership/mesh.h"

namespace coursepond::membership {
namespace {

using namespace std::chrono_literals;

struct Cost {
  double mean = 0;  ///< Encoded bytes sent per node and second.
  double most = 0;  ///< The same for the node that sends most.
};

/// Starts a mesh with one zone of each given size, named zone10 and up.
std::unique_ptr<Mesh> largeMesh(const std::vector<int>& zone_sizes) {
  auto mesh = std::make_unique<Mesh>(31);
  int number = 10;
  for (const int size : zone_sizes) {
    mesh->list("zone" + std::to_string(number++), size);
  }
  mesh->startAll();
  REQUIRE(mesh->convergeWithin(2min));
  mesh->time.runFor(30s);
  return mesh;
}

Cost costOver(Mesh& mesh, Duration length) {
  mesh.resetBytes();
  mesh.time.runFor(length);
  const double seconds = std::chrono::duration<double>(length).count();
  const auto nodes = static_cast<double>(mesh.nodes.size());
  return {static_cast<double>(mesh.bytesSent()) / nodes / seconds,
          static_cast<double>(mesh.mostBytesOfOneNode()) / seconds};
}

}  // namespace

TEST_CASE("idle cost per node stays small and does not grow with the mesh") {
  const auto small = largeMesh(std::vector<int>(17, 4));
  const auto large = largeMesh(std::vector<int>(17, 12));
  const Cost small_cost = costOver(*small, 1min);
  const Cost large_cost = costOver(*large, 1min);
  MESSAGE("17 x 4: mean B/s ", small_cost.mean, ", most ", small_cost.most);
  MESSAGE("17 x 12: mean B/s ", large_cost.mean, ", most ", large_cost.most);
  CHECK(small_cost.mean < 500);
  CHECK(large_cost.mean < small_cost.mean);
  CHECK(large_cost.most < 1000);
}

TEST_CASE("a zone of the planned size detects a failure within seconds at a low network cost") {
  const auto mesh = largeMesh({182, 6});
  const Cost idle = costOver(*mesh, 1min);
  MESSAGE("182 and 6: mean B/s ", idle.mean, ", most ", idle.most);
  CHECK(idle.most < 1000);
  const NodeId victim = mesh->listed[20].id;
  const NodeId far = mesh->listed[183].id;
  mesh->crash(victim);
  const TimePoint crashed = mesh->time.now();
  const auto all_know = [&] {
    return std::all_of(mesh->nodes.begin(), mesh->nodes.end(), [&](const auto& entry) {
      const View& view = entry.second->membership.view();
      const std::size_t expected = view.own_zone == ZoneId("zone10") ? 181 : 6;
      return view.zones.at(view.own_zone).node_count == expected;
    });
  };
  CHECK(mesh->holdsWithin(all_know, 8s));
  MESSAGE("detected by the whole zone after ms: ", toMilliseconds(mesh->time.now() - crashed));
  CHECK(mesh->convergeWithin(20s));
  MESSAGE("node count updated in the other zone after ms: ",
          toMilliseconds(mesh->time.now() - crashed));
  CHECK(mesh->viewOf(far).nodeCount() == 187);
}

TEST_CASE("the simultaneous loss of a fifth of a zone is detected within seconds") {
  const auto mesh = largeMesh({100, 6});
  for (int number = 0; number < 20; ++number) {
    mesh->crash(mesh->listed[static_cast<std::size_t>(number)].id);
  }
  const TimePoint crashed = mesh->time.now();
  mesh->resetBytes();
  const auto all_know = [&] {
    const View& view = mesh->viewOf(mesh->listed[50].id);
    return view.zones.at(view.own_zone).node_count == 80;
  };
  CHECK(mesh->holdsWithin(all_know, 15s));
  MESSAGE("loss detected after ms: ", toMilliseconds(mesh->time.now() - crashed));
  CHECK(mesh->convergeWithin(30s));
  CHECK(mesh->deaths() > 0);
}

}  // namespace coursepond::membership
