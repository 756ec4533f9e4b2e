#include <doctest/doctest.h>
#include <signal.h>

#include <algorithm>
#include <functional>
#include <iostream>

#include "process/mesh.h"
#include "process/test_configuration.h"
#include "process/version_watch.h"

namespace coursepond::process_tests {

namespace {

using std::chrono::seconds;

/// Checks wait for conditions. This limit only ends a test that would hang otherwise.
constexpr Duration kHangTimeout = seconds(40);
constexpr std::size_t kZones = 3;
constexpr std::size_t kNodesPerZone = 6;
constexpr int kSuccessClass = 2;
/// Shortens the start of a new mesh, for tests that are not about starting.
constexpr char kShortStart[] = "[distribution]\nadoption_wait_ms = 1500\n";

/// A mesh of three zones with six nodes each, watched from its start, and the steps of a test.
class ControlScenario {
 public:
  explicit ControlScenario(const char* extra_settings = "")
      : mesh({kZones, kNodesPerZone, 1, extra_settings}), watch(mesh.callerAddresses()) {}

  void publishAndAccept(Machine& through) {
    version = version.next();
    if (version > Version(1)) mesh.publish(version);
    acceptCurrent(through);
  }

  void acceptCurrent(Machine& through) {
    INFO("version ", version.value(), " through ", through.id);
    REQUIRE(waitUntil(kHangTimeout, [&] { return mesh.accept(through, version); }));
  }

  /// Waits until all nodes serve the version, and prints how long that took from this call.
  void waitForConvergence(const std::string& after) {
    const TimePoint begin = watch.now();
    INFO("version ", version.value(), " after ", after);
    CHECK(waitUntil(kHangTimeout, [&] { return watch.allServe(version, begin); }));
    const Duration time = watch.now() - begin;
    std::cout << "all " << mesh.nodes().size() << " nodes serve version " << version << ' '
              << toMilliseconds(time) << " ms after " << after << std::endl;
  }

  /// Returns the first running node other than `except` that holds the role, or null.
  Machine* findRole(const std::string& role, const Machine* except = nullptr) {
    for (Machine& node : mesh.nodes()) {
      if (&node != except && node.process->running() && mesh.holdsRole(node, role)) return &node;
    }
    return nullptr;
  }

  void killNodes(const std::function<bool(std::size_t)>& chosen) {
    forNodes(chosen, [](Machine& node) { node.process->killNow(); });
  }
  void startNodes(const std::function<bool(std::size_t)>& chosen) {
    forNodes(chosen, [this](Machine& node) { mesh.startNode(node); });
  }

  void signalNodes(const std::function<bool(std::size_t)>& chosen, int number) {
    forNodes(chosen, [number](Machine& node) { node.process->signal(number); });
  }

  bool planIsRefused(Version planned) {
    const auto answer = mesh.plan(mesh.nodes()[0], planned);
    return answer && answer->status / 100 != kSuccessClass;
  }

  Mesh mesh;
  VersionWatch watch;
  Version version;

 private:
  void forNodes(const std::function<bool(std::size_t)>& chosen,
                const std::function<void(Machine&)>& action) {
    for (std::size_t index = 0; index < mesh.nodes().size(); ++index) {
      if (chosen(index)) action(mesh.nodes()[index]);
    }
  }
};

void checkWatch(const ControlScenario& scenario) {
  for (const std::string& fault : scenario.watch.faults()) FAIL_CHECK(fault);
  CHECK(scenario.watch.checkedAnswers() > 0);
}

}  // namespace

TEST_CASE("an accepted version reaches every proxy although nodes are killed") {
  ControlScenario scenario;
  Mesh& mesh = scenario.mesh;
  scenario.publishAndAccept(mesh.nodes()[0]);
  scenario.waitForConvergence("a first confirmation");
  scenario.publishAndAccept(mesh.nodes()[kNodesPerZone]);
  scenario.waitForConvergence("a confirmation");

  const auto half = [](std::size_t index) { return index % 2 == 1; };
  scenario.killNodes(half);
  scenario.publishAndAccept(mesh.nodes()[0]);
  scenario.startNodes(half);
  scenario.waitForConvergence("half of the nodes were killed and came back");

  const auto zone = [](std::size_t index) { return index >= 2 * kNodesPerZone; };
  scenario.killNodes(zone);
  scenario.publishAndAccept(mesh.nodes()[0]);
  scenario.startNodes(zone);
  scenario.waitForConvergence("a zone was killed and came back");

  const auto all = [](std::size_t) { return true; };
  scenario.killNodes(all);
  scenario.startNodes(all);
  scenario.waitForConvergence("all nodes were killed and came back");
  checkWatch(scenario);
}

TEST_CASE("nodes frozen during two changes serve the newest version once resumed") {
  ControlScenario scenario(kShortStart);
  Mesh& mesh = scenario.mesh;
  scenario.publishAndAccept(mesh.nodes()[0]);
  scenario.waitForConvergence("a first confirmation");
  Machine* reader = scenario.findRole("source_reader");
  REQUIRE(reader != nullptr);
  Machine* distributor = scenario.findRole("zone_distributor", reader);
  REQUIRE(distributor != nullptr);
  const auto is_frozen = [&](const Machine& node) {
    return &node == reader || &node == distributor;
  };
  Machine& running_node = *std::find_if_not(mesh.nodes().begin(), mesh.nodes().end(), is_frozen);
  reader->process->signal(SIGSTOP);
  distributor->process->signal(SIGSTOP);
  scenario.publishAndAccept(running_node);
  scenario.publishAndAccept(running_node);
  reader->process->signal(SIGCONT);
  distributor->process->signal(SIGCONT);
  scenario.waitForConvergence("a reader and a distributor were resumed");
  checkWatch(scenario);
}

TEST_CASE("a zone frozen during a change catches up once resumed, and so does a whole mesh") {
  ControlScenario scenario(kShortStart);
  Mesh& mesh = scenario.mesh;
  scenario.publishAndAccept(mesh.nodes()[0]);
  scenario.waitForConvergence("a first confirmation");
  const auto zone = [](std::size_t index) { return index >= 2 * kNodesPerZone; };
  scenario.signalNodes(zone, SIGSTOP);
  scenario.publishAndAccept(mesh.nodes()[0]);
  scenario.signalNodes(zone, SIGCONT);
  scenario.waitForConvergence("a frozen zone was resumed");

  const auto all = [](std::size_t) { return true; };
  scenario.signalNodes(all, SIGSTOP);
  pauseFor(seconds(3));
  scenario.signalNodes(all, SIGCONT);
  scenario.publishAndAccept(mesh.nodes()[0]);
  scenario.waitForConvergence("a frozen mesh was resumed and a version accepted");
  checkWatch(scenario);
}

TEST_CASE("nodes restarted while the platform is unavailable learn the version in force") {
  ControlScenario scenario;
  Mesh& mesh = scenario.mesh;
  scenario.publishAndAccept(mesh.nodes()[0]);
  scenario.publishAndAccept(mesh.nodes()[0]);
  scenario.waitForConvergence("a confirmation");
  const auto half = [](std::size_t index) { return index % 2 == 1; };
  mesh.setPlatformFault("refuse");
  scenario.killNodes(half);
  scenario.startNodes(half);
  scenario.waitForConvergence("half of the nodes were restarted without a platform");
  mesh.setPlatformFault("none");
  scenario.publishAndAccept(mesh.nodes()[1]);
  scenario.waitForConvergence("the platform came back and a version was accepted");
  checkWatch(scenario);
}

TEST_CASE("an unavailable, stale or malformed platform does not change the version in force") {
  ControlScenario scenario(kShortStart);
  Mesh& mesh = scenario.mesh;
  scenario.publishAndAccept(mesh.nodes()[0]);
  scenario.waitForConvergence("a first confirmation");

  for (const char* fault : {"refuse", "stale", "truncated"}) {
    INFO(std::string(fault));
    mesh.setPlatformFault(fault);
    mesh.publish(scenario.version.next());
    CHECK(scenario.planIsRefused(scenario.version.next()));
    CHECK(mesh.acceptedVersion(mesh.nodes()[1]) == scenario.version);
    mesh.setPlatformFault("none");
    scenario.version = scenario.version.next();
    scenario.acceptCurrent(mesh.nodes()[0]);
    scenario.waitForConvergence(std::string("the platform recovered from fault ") + fault);
  }

  const Version bad = scenario.version.next();
  mesh.publish(bad, R"({"version": )" + std::to_string(bad.value()) +
                        R"(, "routes": [{"name": "r", "service": "absent"}], "services": []})");
  CHECK(scenario.planIsRefused(bad));
  mesh.publish(bad.next(), "{\"version\"");
  CHECK(scenario.planIsRefused(bad.next()));
  scenario.version = bad.next();
  scenario.publishAndAccept(mesh.nodes()[0]);
  scenario.waitForConvergence("bad versions were skipped");
  checkWatch(scenario);
}

}  // namespace coursepond::process_tests
