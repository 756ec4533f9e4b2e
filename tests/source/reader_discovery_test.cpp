#include "source/reader_discovery.h"

#include <doctest/doctest.h>

#include "support/virtual_environment.h"

namespace coursepond::source {
namespace {

using std::chrono::seconds;

model::ServerEntry entryOf(std::size_t number) {
  model::ServerEntry entry;
  entry.id = EndpointId("s" + std::to_string(number));
  entry.service = ServiceName("stock");
  entry.address = {"10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250), 80};
  entry.zone = ZoneId("z" + std::to_string(number % 3));
  return entry;
}

std::vector<model::ServerEntry> entries(std::size_t count) {
  std::vector<model::ServerEntry> listed;
  for (std::size_t number = 0; number < count; ++number) listed.push_back(entryOf(number));
  return listed;
}

/// A source whose samples the test answers.
class SampledSource final : public WatchClient {
 public:
  void list(Duration, WatchCallback) override { ++lists; }
  void watch(SourceRevision, Duration, Duration, WatchCallback) override {}
  void sample(Duration, WatchCallback callback) override {
    ++samples;
    callbacks.push_back(std::move(callback));
  }
  void answer(std::size_t count, bool is_complete) {
    WatchBatch batch;
    batch.servers = entries(count);
    batch.is_complete = is_complete;
    callbacks.back()(batch);
  }
  int lists = 0;
  int samples = 0;
  std::vector<WatchCallback> callbacks;
};

class ControlledPeers final : public PeerStateClient {
 public:
  void read(const std::string& host, const StateRequest& question, Duration,
            PeerStateCallback callback) override {
    hosts.push_back(host);
    CHECK_FALSE(question.only_fresh);
    callbacks.push_back(std::move(callback));
  }
  std::vector<std::string> hosts;
  std::vector<PeerStateCallback> callbacks;
};

struct Fixture {
  explicit Fixture(std::size_t own = 7) {
    const model::ServerEntry entry = entryOf(own);
    discovery.emplace(DiscoverySettings(), NodeMachine{entry.address.host, entry.zone}, source,
                      peers, environment);
    discovery->start([this](const std::vector<NodeMachine>& machines) {
      ++calls;
      found = machines;
    });
  }
  proxy::VirtualEnvironment environment;
  SampledSource source;
  ControlledPeers peers;
  std::optional<ReaderDiscovery> discovery;
  int calls = 0;
  std::vector<NodeMachine> found;
};

}  // namespace

TEST_CASE("a complete sample is enough: no peer is asked") {
  Fixture fixture;
  fixture.source.answer(60, true);
  CHECK(fixture.calls == 1);
  CHECK(fixture.found.size() == 60);
  CHECK(fixture.peers.hosts.empty());
}

// Guards against every node of a starting fleet listing the whole source (five pages for each of
// 984 nodes): each read has a cost.
TEST_CASE("in a large fleet, nodes ask a sampled machine, and only the readers read the source") {
  constexpr std::size_t kSampled = 200;
  int readers = 0;
  for (std::size_t own = 0; own < kSampled; ++own) {
    Fixture fixture(own);
    fixture.source.answer(kSampled, false);
    if (fixture.calls == 1) {
      CHECK(fixture.found.empty());
      ++readers;
      continue;
    }
    REQUIRE(fixture.peers.hosts.size() == 1);
    StateUpdate update;
    update.servers = entries(984);
    fixture.peers.callbacks[0](std::optional<StateUpdate>(update));
    CHECK(fixture.found.size() == 984);
  }
  CHECK(readers == 3);
}

TEST_CASE(
    "after a peer that does not answer the next one is asked, and at last the source is read") {
  Fixture fixture(199);
  fixture.source.answer(200, false);
  for (std::size_t asked = 0; asked < DiscoverySettings().max_peers; ++asked) {
    CHECK(fixture.calls == 0);
    REQUIRE(fixture.peers.callbacks.size() == asked + 1);
    fixture.peers.callbacks[asked](Error{ErrorKind::kTimeout, "", ""});
  }
  CHECK(fixture.calls == 1);
  CHECK(fixture.found.empty());
}

TEST_CASE("discovery ends without machines when the source fails or stays empty") {
  Fixture failing;
  failing.source.callbacks[0](Error{ErrorKind::kUnavailable, "", ""});
  CHECK(failing.calls == 1);
  Fixture empty;
  for (int sample = 0; sample < 5; ++sample) {
    empty.source.answer(0, true);
    empty.environment.advance(seconds(1));
  }
  CHECK(empty.source.samples == 5);
  CHECK(empty.calls == 1);
  CHECK(empty.found.empty());
}

}  // namespace coursepond::source
