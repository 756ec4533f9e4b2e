#include <doctest/doctest.h>

#include <map>

#include "runtime/promises.h"
#include "runtime/settings.h"
#include "support/source_mesh.h"

namespace coursepond::runtime {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::SourceMesh;

constexpr Duration kWarmUp = seconds(5);
constexpr std::size_t kNodes[] = {4, 12, 28, 67, 300};
constexpr Duration kPromises[] = {milliseconds(1300), milliseconds(2500), milliseconds(4000)};

SourceMesh::Times timesFor(Duration promise) {
  Settings settings;
  settings.promises.leaving = promise;
  settings.promises.in_force = promise;
  settings.promises.settled = promise + milliseconds(500);
  deriveTimings(settings);
  return {settings.relay, settings.watch};
}

/// Publishes a version and a change of the servers, and checks that every node that answers has
/// them within the promise.
void checkChangeInTime(SourceMesh& mesh, Duration promise) {
  mesh.publishVersion();
  mesh.publishServers();
  mesh.advance(promise);
  CHECK(mesh.nodesWithoutVersion() == 0);
  CHECK(mesh.nodesWithoutServers() == 0);
}

template <typename Check>
void forAllMeshes(const Check& check) {
  for (const Duration promise : kPromises) {
    for (const std::size_t nodes : kNodes) {
      const std::uint64_t seeds = nodes > 100 ? 3 : 12;
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(toMilliseconds(promise));
        CAPTURE(nodes);
        CAPTURE(seed);
        SourceMesh mesh(nodes, timesFor(promise), seed);
        mesh.advance(kWarmUp + mesh.randomBelow(promise));
        REQUIRE(mesh.nodesWithoutVersion() == 0);
        check(mesh, promise);
      }
    }
  }
}

}  // namespace

// Guards against versions that are in force late on all other nodes when the readers stop answering
// at the moment of the change.
TEST_CASE("a change is known in time on all other nodes when the readers freeze before it") {
  forAllMeshes([](SourceMesh& mesh, Duration promise) {
    mesh.silence(mesh.plan().readers);
    mesh.advance(milliseconds(50));
    checkChangeInTime(mesh, promise);
  });
}

// Guards against nodes that wait again at readers that are still frozen, or that avoid those that
// answer again.
TEST_CASE("changes are known in time at any moment of a freeze of the readers and after it") {
  forAllMeshes([](SourceMesh& mesh, Duration promise) {
    const Duration frozen = seconds(1) + mesh.randomBelow(seconds(12));
    mesh.silence(mesh.plan().readers);
    Duration passed{};
    while (passed < frozen) {
      const Duration pause = mesh.randomBelow(2 * promise);
      mesh.advance(pause);
      checkChangeInTime(mesh, promise);
      passed += pause + promise;
    }
    mesh.wakeAll();
    for (int change = 0; change < 5; ++change) {
      mesh.advance(promise / 2 + mesh.randomBelow(promise));
      checkChangeInTime(mesh, promise);
    }
  });
}

// Guards against a first group of standbys on which all other nodes depend.
TEST_CASE("a change is known in time when the first standbys freeze together with the readers") {
  forAllMeshes([](SourceMesh& mesh, Duration promise) {
    mesh.silence(mesh.plan().readers);
    mesh.silence(mesh.plan().standby_groups.front());
    mesh.advance(milliseconds(50));
    checkChangeInTime(mesh, promise);
  });
}

TEST_CASE("a change is known in time when one reader is left") {
  forAllMeshes([](SourceMesh& mesh, Duration promise) {
    const std::vector<source::NodeMachine> readers = mesh.plan().readers;
    for (std::size_t index = 1; index < readers.size(); ++index) mesh.silence(readers[index].host);
    mesh.advance(milliseconds(50));
    checkChangeInTime(mesh, promise);
  });
}

TEST_CASE("a change is known in time when all relays freeze") {
  forAllMeshes([](SourceMesh& mesh, Duration promise) {
    mesh.silence(mesh.plan().relays);
    mesh.advance(milliseconds(50));
    checkChangeInTime(mesh, promise);
  });
}

// The readers fail for the others only once their own reads have timed out.
TEST_CASE("a change is known in time when the readers were cut off from the source before") {
  forAllMeshes([](SourceMesh& mesh, Duration promise) {
    for (const source::NodeMachine& reader : mesh.plan().readers) mesh.cutFromSource(reader.host);
    mesh.advance(promise);
    checkChangeInTime(mesh, promise);
  });
}

// Guards against a fallback that lets every node read the source, whose rate is limited.
TEST_CASE("few nodes read the source while the readers are frozen, and as few as before after it") {
  const Duration promise = milliseconds(2500);
  for (const std::size_t nodes : {28, 67, 300}) {
    CAPTURE(nodes);
    SourceMesh mesh(nodes, timesFor(promise), 1, SourceMesh::Fallback::kByChance);
    const auto readsInTenSeconds = [&mesh] {
      const std::size_t source_reads = mesh.sourceReads();
      const std::size_t peer_reads = mesh.peerReads();
      mesh.advance(seconds(10));
      return std::pair(mesh.sourceReads() - source_reads, mesh.peerReads() - peer_reads);
    };
    mesh.advance(kWarmUp);
    const auto calm = readsInTenSeconds();
    mesh.silence(mesh.plan().readers);
    const auto frozen = readsInTenSeconds();
    mesh.wakeAll();
    mesh.advance(seconds(10));
    const auto after = readsInTenSeconds();
    mesh.cutAllFromSource();
    const auto down = readsInTenSeconds();
    MESSAGE(nodes, " nodes, reads of the source and of other nodes: calm ", calm.first, " ",
            calm.second, ", readers frozen ", frozen.first, " ", frozen.second, ", after it ",
            after.first, " ", after.second, ", source down ", down.first, " ", down.second);
    CHECK(frozen.first <= 4 * calm.first);
    CHECK(after.first <= calm.first + calm.first / 10);
  }
}

}  // namespace coursepond::runtime
