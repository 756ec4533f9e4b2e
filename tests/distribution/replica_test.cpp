#include "distribution/replica.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "mesh.h"
#include "model/document.h"

namespace coursepond::distribution::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns a mesh with version 1 in force on every node.
std::unique_ptr<Mesh> meshInForce(std::size_t zones, std::size_t nodes_per_zone,
                                  Settings settings = {}) {
  auto mesh = std::make_unique<Mesh>(zones, nodes_per_zone, 7, std::move(settings));
  mesh->publish(1);
  REQUIRE(mesh->runUntil([&] { return mesh->allInForce(1); }, seconds(20)));
  return mesh;
}

std::uint64_t sumOverNodes(Mesh& mesh, std::uint64_t ReplicaStatistics::*counter) {
  std::uint64_t sum = 0;
  for (const Process* process : mesh.living()) sum += process->replica.statistics().*counter;
  return sum;
}

}  // namespace

TEST_CASE("a mesh without any witness adopts the newest published version after the wait") {
  Mesh mesh(3, 8, 1);
  mesh.publish(4);
  mesh.publish(5);
  mesh.runFor(milliseconds(7500));
  for (const Process* process : mesh.living()) CHECK_FALSE(process->replica.ready());
  REQUIRE(mesh.runUntil([&] { return mesh.allInForce(5); }, seconds(5)));
  CHECK(mesh.adoptions() >= 1);
  CHECK(mesh.adoptions() <= 2);
  CHECK(mesh.documents_read <= 2);
}

TEST_CASE("a published version is staged on every node and is not in force before it is accepted") {
  auto mesh = meshInForce(3, 20);
  mesh->publish(2);
  const auto staged = [&] {
    const auto nodes = mesh->living();
    return std::all_of(nodes.begin(), nodes.end(), [](const Process* process) {
      return process->replica.newestStaged() == Version(2);
    });
  };
  REQUIRE(mesh->runUntil(staged, seconds(3)));
  mesh->runFor(seconds(20));
  CHECK(mesh->allInForce(1));

  const TimePoint accepted_at = mesh->time.now();
  mesh->accept(2);
  REQUIRE(mesh->runUntil([&] { return mesh->allInForce(2); }, seconds(2)));
  for (const Process* process : mesh->living()) {
    CHECK(process->in_force_since - accepted_at < milliseconds(100));
  }
}

TEST_CASE("a change is sent as deltas and is transferred to each zone only a few times") {
  auto mesh = meshInForce(3, 20);
  mesh->runFor(seconds(5));
  const std::uint64_t full_before = sumOverNodes(*mesh, &ReplicaStatistics::full_contents_received);
  std::uint64_t sent_before = 0;
  for (const Process* process : mesh->living()) sent_before += process->cross_zone_contents;

  mesh->publish(2);
  mesh->runFor(seconds(3));
  mesh->accept(2);
  REQUIRE(mesh->runUntil([&] { return mesh->allInForce(2); }, seconds(2)));

  CHECK(sumOverNodes(*mesh, &ReplicaStatistics::full_contents_received) == full_before);
  std::uint64_t sent = 0;
  for (const Process* process : mesh->living()) sent += process->cross_zone_contents;
  CHECK(sent - sent_before <= 2 * 3);
}

TEST_CASE("a change and an idle mesh send few bytes per node") {
  auto mesh = meshInForce(3, 30);
  mesh->runFor(seconds(20));
  const std::uint64_t nodes = mesh->living().size();

  const std::uint64_t idle_before = mesh->bytesSent();
  mesh->runFor(seconds(60));
  const std::uint64_t idle = (mesh->bytesSent() - idle_before) / 60 / nodes;
  CHECK(idle < 200);

  const std::uint64_t change_before = mesh->bytesSent();
  mesh->publish(2);
  mesh->runFor(seconds(3));
  mesh->accept(2);
  mesh->runFor(seconds(3));
  CHECK(mesh->allInForce(2));
  const std::uint64_t change = (mesh->bytesSent() - change_before) / nodes - 6 * idle;
  CHECK(change < 2000);
}

TEST_CASE("automatic acceptance puts a published version in force without a confirm") {
  Settings settings;
  settings.acceptance = AcceptanceMode::kAutomatic;
  auto mesh = meshInForce(3, 10, settings);
  mesh->publish(2);
  CHECK(mesh->runUntil([&] { return mesh->allInForce(2); }, seconds(3)));
}

TEST_CASE("lost, duplicated and reordered messages delay a version only briefly") {
  auto mesh = meshInForce(3, 20);
  mesh->faults = {0.2, 0.2, milliseconds(50)};
  for (std::uint64_t version = 2; version <= 6; ++version) {
    mesh->publish(version);
    mesh->runFor(seconds(3));
    mesh->accept(version);
    CHECK(mesh->runUntil([&] { return mesh->allInForce(version); }, seconds(15)));
  }
}

TEST_CASE("nodes whose fetches failed for a long time get the content soon after the loss ends") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    CAPTURE(seed);
    Mesh mesh(3, 6, seed);
    mesh.publish(1);
    REQUIRE(mesh.runUntil([&] { return mesh.allInForce(1); }, seconds(20)));
    mesh.faults.loss = 0.7;
    mesh.publish(2);
    mesh.accept(2);
    mesh.runFor(seconds(12));
    mesh.faults.loss = 0;
    CHECK(mesh.runUntil([&] { return mesh.allInForce(2); }, milliseconds(3500)));
  }
}

TEST_CASE("an accepted version that was not staged is fetched") {
  auto mesh = meshInForce(3, 10);
  mesh->publish(2);
  mesh->process(mesh->anyNode()).replica.stage(mesh->published.at(2));
  mesh->accept(2);
  CHECK(mesh->runUntil([&] { return mesh->allInForce(2); }, seconds(5)));
}

TEST_CASE("a restarted node learns the accepted version before it is ready") {
  auto mesh = meshInForce(3, 10);
  mesh->publish(2);
  mesh->runFor(seconds(2));
  mesh->accept(2);
  mesh->runFor(seconds(2));
  const NodeId id = mesh->ids()[4];
  mesh->restart(id);
  CHECK_FALSE(mesh->process(id).replica.ready());
  REQUIRE(mesh->runUntil([&] { return mesh->process(id).replica.ready(); }, seconds(4)));
  CHECK(mesh->process(id).snapshot->version == Version(2));
}

TEST_CASE("a stale witness does not make a restarted node apply an older version") {
  auto mesh = meshInForce(3, 6);
  const ZoneId zone = mesh->zoneIds()[0];
  mesh->publish(2);
  mesh->runFor(seconds(3));
  // Version 2 is accepted only in the other zones while this zone is partitioned. The restarted
  // node may have had version 2 in force before, so it must not apply version 1, which its
  // neighbours still have in force.
  mesh->cut(zone, true);
  mesh->accept(2, NodeId("z1-000"));
  mesh->runFor(seconds(3));
  const NodeId id("z0-003");
  mesh->kill(id);
  mesh->cut(zone, false);
  mesh->restart(id);
  REQUIRE(mesh->runUntil([&] { return mesh->process(id).replica.ready(); }, seconds(4)));
  CHECK(mesh->process(id).snapshot->version == Version(2));
}

TEST_CASE("one surviving node restores the accepted version although a newer one is published") {
  auto mesh = meshInForce(3, 8);
  mesh->publish(2);
  mesh->runFor(seconds(2));
  mesh->accept(2);
  mesh->runFor(seconds(2));
  mesh->publish(3);
  const NodeId survivor("z1-004");
  for (const NodeId& id : mesh->ids()) {
    if (id != survivor) mesh->restart(id);
  }
  REQUIRE(mesh->runUntil([&] { return mesh->allInForce(2); }, seconds(30)));
  CHECK(mesh->adoptions() == 0);
}

TEST_CASE("a reader that got the published content from a failed reader adopts it in its place") {
  Mesh mesh(3, 6, 11);
  mesh.publish(1);
  mesh.runFor(seconds(4));
  mesh.setPlatformReadable(false);
  for (const NodeId& id : mesh.readers()) mesh.kill(id);
  CHECK(mesh.runUntil([&] { return mesh.allInForce(1); }, seconds(20)));
}

TEST_CASE("secret values lost with all nodes that held them are read from the platform again") {
  auto mesh = meshInForce(3, 6);
  mesh->runFor(seconds(70));  // The node that staged the document drops the other zones' values.
  const ZoneId lost = mesh->zoneIds()[2];
  for (const NodeId& id : mesh->ids()) {
    if (mesh->process(id).zone == lost) mesh->restart(id);
  }
  // A reader may hold all values; replace the readers as well.
  for (const NodeId& id : mesh->readers()) mesh->restart(id);
  CHECK(mesh->runUntil([&] { return mesh->allInForce(1); }, seconds(20)));
}

TEST_CASE("if all nodes restart while the platform is down, nothing is in force until it is back") {
  auto mesh = meshInForce(3, 6);
  mesh->setPlatformReadable(false);
  for (const NodeId& id : mesh->ids()) mesh->restart(id);
  mesh->runFor(seconds(30));
  for (const Process* process : mesh->living()) CHECK_FALSE(process->replica.ready());
  mesh->setPlatformReadable(true);
  CHECK(mesh->runUntil([&] { return mesh->allInForce(1); }, seconds(15)));
}

TEST_CASE("a partitioned zone of new nodes does not adopt while other zones may have witnesses") {
  auto mesh = meshInForce(3, 6);
  const ZoneId zone = mesh->zoneIds()[0];
  mesh->publish(2);
  mesh->runFor(seconds(3));
  mesh->cut(zone, true);
  for (const NodeId& id : mesh->ids()) {
    if (mesh->process(id).zone == zone) mesh->restart(id);
  }
  mesh->runFor(seconds(60));
  CHECK(mesh->adoptions() <= 2);  // Adoptions of the initial start.
  CHECK_FALSE(mesh->process(NodeId("z0-000")).replica.ready());
  mesh->cut(zone, false);
  REQUIRE(mesh->runUntil([&] { return mesh->allInForce(1); }, seconds(10)));
}

TEST_CASE("a partitioned zone catches up once it is reconnected") {
  auto mesh = meshInForce(4, 10);
  const ZoneId zone = mesh->zoneIds()[3];
  mesh->cut(zone, true);
  mesh->runFor(seconds(3));
  mesh->publish(2);
  mesh->runFor(seconds(3));
  mesh->accept(2);
  mesh->runFor(seconds(5));
  mesh->cut(zone, false);
  CHECK(mesh->runUntil([&] { return mesh->allInForce(2); }, seconds(5)));
}

TEST_CASE("distributors and readers that resume after a pause do not revert newer versions") {
  auto mesh = meshInForce(3, 10);
  std::set<NodeId> paused;
  for (const NodeId& id : mesh->readers()) paused.insert(id);
  for (const NodeId& id : mesh->distributors(mesh->zoneIds()[1])) paused.insert(id);
  for (const NodeId& id : paused) mesh->pause(id, seconds(9));
  for (const std::uint64_t version : {2, 3}) {
    mesh->publish(version);
    mesh->process(NodeId("z2-005")).replica.stage(mesh->published.at(version));
    mesh->runFor(seconds(2));
    mesh->accept(version);
    mesh->runFor(seconds(1));
  }
  mesh->runFor(seconds(3));
  CHECK(mesh->runUntil([&] { return mesh->allInForce(3); }, seconds(5)));
}

TEST_CASE("content that does not match its digest is rejected and never in force") {
  auto mesh = meshInForce(2, 3);
  mesh->publish(2);
  mesh->publish(3);
  Process& victim = mesh->process(NodeId("z0-001"));
  AcceptanceRecord record = mesh->recordOf(3);
  record.digest = Digest::of("something else");
  victim.replica.offer(record);
  mesh->runFor(seconds(5));
  CHECK(victim.snapshot->version == Version(1));
  // A document that differs from the content accepted as this version.
  victim.replica.stage(mesh->published.at(3));
  REQUIRE_FALSE(victim.rejected.empty());
  CHECK(victim.rejected.back() == ErrorKind::kDigestMismatch);
  CHECK(victim.snapshot->version == Version(1));
}

TEST_CASE("a document older than the accepted version is rejected") {
  auto mesh = meshInForce(2, 3);
  mesh->publish(2);
  mesh->runFor(seconds(2));
  mesh->accept(2);
  mesh->runFor(seconds(2));
  Process& node = mesh->process(NodeId("z0-001"));
  CHECK_FALSE(node.replica.offer(mesh->recordOf(1)));
  node.replica.stage(mesh->published.at(1));
  CHECK(node.rejected.back() == ErrorKind::kVersionRegression);
  CHECK(node.replica.record().version == Version(2));
}

TEST_CASE("content over the size limit is rejected by the node that reads it") {
  Settings settings;
  settings.content_size_limit = 1000;
  Mesh mesh(1, 2, 3, settings);
  mesh.publish(1);
  mesh.runFor(seconds(12));
  for (const Process* process : mesh.living()) {
    CHECK(process->replica.newestStaged() == Version());
    REQUIRE_FALSE(process->rejected.empty());
    CHECK(process->rejected.back() == ErrorKind::kTooLarge);
  }
}

TEST_CASE("more secrets than fit into one message are sent in several messages") {
  Mesh mesh(2, 2, 3);
  mesh.publish(1);
  model::ConfigurationDocument& document = mesh.published.at(1);
  model::Route& route = document.configuration.routes.at(RouteName("only-z1"));
  for (int i = 10000; i < 11200; ++i) {
    const SecretName name("secret-z1-" + std::to_string(i));
    const model::SecretValue value("value " + std::to_string(i));
    document.configuration.secrets[name] = {name, model::digestOfSecret(name, value)};
    document.secret_values[name] = value;
    route.secrets.push_back({name, "X-Token-" + std::to_string(i)});
  }
  mesh.digests[1] = model::contentDigest(document.configuration);
  mesh.several_secrets = true;
  CHECK(mesh.runUntil([&] { return mesh.allInForce(1); }, seconds(20)));
}

TEST_CASE("nodes restarted one at a time never come up with an older version than before") {
  auto mesh = meshInForce(3, 6);
  for (std::uint64_t version = 2; version < 12; ++version) {
    mesh->publish(version);
    mesh->runFor(seconds(2));
    mesh->accept(version);
    // Restart a node while the record is being propagated.
    mesh->runFor(milliseconds(2));
    mesh->restart(mesh->ids()[version % mesh->ids().size()]);
    mesh->runFor(milliseconds(500));
    mesh->restart(mesh->ids()[3 * version % mesh->ids().size()]);
    mesh->runFor(seconds(2));
  }
  CHECK(mesh->runUntil([&] { return mesh->allInForce(11); }, seconds(5)));
  CHECK(mesh->regressions_across_restarts == 0);
}

TEST_CASE("distributors know what every proxy of their zone holds") {
  auto mesh = meshInForce(2, 12);
  mesh->publish(2);
  mesh->runFor(seconds(2));
  mesh->accept(2);
  mesh->runFor(seconds(3));
  const ZoneId zone = mesh->zoneIds()[1];
  for (const NodeId& id : mesh->distributors(zone)) {
    const std::vector<ProxyState> proxies = mesh->process(id).replica.knownProxies();
    CHECK(proxies.size() == 12);
    for (const ProxyState& proxy : proxies) {
      CHECK(proxy.in_force == Version(2));
      CHECK(proxy.accepted == Version(2));
    }
  }
}

}  // namespace coursepond::distribution::testing
