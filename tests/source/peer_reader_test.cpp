#include "source/peer_reader.h"

#include <doctest/doctest.h>

#include "support/virtual_environment.h"

namespace coursepond::source {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

SharedState makeState(std::uint64_t revision) {
  SharedState state;
  state.revision = Generation(revision);
  state.configuration.version = Version(7);
  model::Service service;
  service.name = ServiceName("stock");
  state.configuration.services[service.name] = service;
  model::Route route;
  route.name = RouteName("read");
  route.service = service.name;
  route.longest_hold = milliseconds(800);
  route.target_latency = milliseconds(300);
  route.rank = 2;
  route.max_attempts = 3;
  route.split = {{service.name, 5}};
  state.configuration.routes[route.name] = route;
  state.configuration.limits.idle_timeout = seconds(15);
  model::ServerEntry server;
  server.id = EndpointId("i-1");
  server.service = service.name;
  server.address = {"10.0.0.1", 80};
  server.zone = ZoneId("a");
  server.slots = 9;
  server.state = model::MachineState::kLeaving;
  server.revision = Generation(3);
  state.servers = {server};
  return state;
}

class HeldPeers final : public PeerStateClient {
 public:
  void read(const std::string& host, Generation after, Duration,
            PeerStateCallback callback) override {
    hosts.push_back(host);
    last_after = after;
    last = std::move(callback);
  }
  std::vector<std::string> hosts;
  Generation last_after;
  PeerStateCallback last;
};

struct ReaderFixture {
  proxy::VirtualEnvironment environment;
  HeldPeers peers;
  std::vector<std::uint64_t> learned;
  PeerReader reader{PeerReaderSettings(), peers, environment, [this](const SharedState& state) {
                      learned.push_back(state.revision.value());
                    }};
};

}  // namespace

TEST_CASE("what a node knows survives the way to another") {
  const SharedState state = makeState(11);
  const auto read = decodeSharedState(encodeSharedState(state));
  REQUIRE(read.has_value());
  CHECK(read->revision == state.revision);
  CHECK(read->configuration == state.configuration);
  CHECK(read->servers == state.servers);
}

TEST_CASE("a state that is cut or damaged is refused whole") {
  const std::string bytes = encodeSharedState(makeState(11));
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(decodeSharedState(bytes.substr(0, size)).has_value());
  }
  CHECK(decodeSharedState("\xA0").error().kind == ErrorKind::kMalformed);
}

TEST_CASE("peers are asked only while the source fails") {
  ReaderFixture fixture;
  fixture.reader.notePeer("10.0.0.1");
  fixture.environment.advance(seconds(5));
  CHECK(fixture.peers.hosts.empty());
  fixture.reader.onSourceFailed();
  fixture.environment.advance(milliseconds(700));
  CHECK(fixture.peers.hosts.size() >= 1);
  fixture.reader.onSourceAnswered(Generation(4));
  const std::size_t asked = fixture.peers.hosts.size();
  fixture.environment.advance(seconds(5));
  CHECK(fixture.peers.hosts.size() == asked);
}

TEST_CASE("a node that knows nobody asks who connects to it") {
  ReaderFixture fixture;
  fixture.reader.onSourceFailed();
  fixture.environment.advance(seconds(1));
  CHECK(fixture.peers.hosts.empty());
  fixture.reader.notePeer("10.0.0.9");
  fixture.environment.advance(seconds(1));
  REQUIRE_FALSE(fixture.peers.hosts.empty());
  CHECK(fixture.peers.hosts[0] == "10.0.0.9");
  fixture.peers.last(std::optional<SharedState>(makeState(5)));
  CHECK(fixture.learned == std::vector<std::uint64_t>{5});
}

TEST_CASE("only what is newer is taken in") {
  ReaderFixture fixture;
  fixture.reader.notePeer("10.0.0.9");
  fixture.reader.onSourceAnswered(Generation(8));
  fixture.reader.onSourceFailed();
  fixture.environment.advance(seconds(1));
  CHECK(fixture.peers.last_after == Generation(8));
  fixture.peers.last(std::optional<SharedState>(makeState(8)));
  fixture.peers.last(std::optional<SharedState>());
  fixture.peers.last(Error{ErrorKind::kTimeout, "", ""});
  CHECK(fixture.learned.empty());
  fixture.peers.last(std::optional<SharedState>(makeState(9)));
  CHECK(fixture.learned == std::vector<std::uint64_t>{9});
}

}  // namespace coursepond::source
