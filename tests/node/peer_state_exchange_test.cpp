// Tests the exchange of source state between nodes over real sockets, for each topic.

#include "node/peer_state_exchange.h"

#include <doctest/doctest.h>

#include <random>

#include "runtime/asio_environment.h"
#include "runtime/http_server.h"
#include "source/peer_reader.h"
#include "support/limited_link.h"
#include "support/loopback_bench.h"

namespace coursepond::node {
namespace {

using namespace std::chrono_literals;
using source::Topic;
using Answer = Result<std::optional<source::StateUpdate>>;

/// A node with configuration version 7 and one server, both at revision 10, and a client for it.
class Fixture : public testing::LoopbackBench {
 public:
  Fixture() {
    held_.keepVersions(2);
    updateServer("i-1", 10);
    updateVersion(7, 10);
    auto created = PeerStateServer::create(context_, Address{"127.0.0.1", 0}, held_, environment_,
                                           [this](Topic topic) { return fresh_.contains(topic); });
    REQUIRE(created.has_value());
    server_ = std::move(*created);
    client_ = std::make_unique<HttpPeerStateClient>(context_, server_->address().port, relay_);
  }

  void updateServer(const std::string& id, std::uint64_t revision) {
    source::WatchBatch batch;
    batch.revision = Generation(revision);
    model::ServerEntry entry;
    entry.id = EndpointId(id);
    entry.address = {"10.0.0.1", 80};
    entry.revision = Generation(revision);
    batch.servers.push_back(entry);
    held_.updateServers(batch, false);
  }
  void updateVersion(std::uint64_t version, std::uint64_t revision) {
    source::WatchBatch batch;
    batch.revision = Generation(revision);
    model::Configuration configuration;
    configuration.version = Version(version);
    batch.configurations.push_back(std::make_shared<const model::Configuration>(configuration));
    held_.updateConfiguration(batch);
  }

  /// Sends a request. The answer is appended to `answers` when it arrives.
  void ask(Topic topic, std::uint64_t after, std::uint64_t version, Duration wait) {
    const source::StateRequest question{topic, Generation(after), Version(version), wait, true};
    client_->read("127.0.0.1", question, 10s,
                  [this](const Answer& answer) { answers.push_back(answer); });
  }
  bool isAnswered(std::size_t count = 1) {
    return runUntil([&] { return answers.size() >= count; });
  }
  /// Gives requests in flight time to arrive.
  void settle() { context_.run_for(50ms); }

  std::set<Topic> fresh_{Topic::kServers, Topic::kConfiguration};
  std::vector<Answer> answers;
  runtime::AsioEnvironment environment_{context_};
  source::RelaySettings relay_;
  source::HeldState held_;
  std::unique_ptr<PeerStateServer> server_;
  std::unique_ptr<HttpPeerStateClient> client_;
};

}  // namespace

TEST_CASE("an answer contains only the requested topic") {
  Fixture fixture;
  fixture.ask(Topic::kServers, 0, 0, 0s);
  REQUIRE(fixture.isAnswered());
  const source::StateUpdate servers = fixture.answers[0]->value();
  CHECK(servers.servers.size() == 1);
  CHECK(servers.configuration == nullptr);
  fixture.ask(Topic::kConfiguration, 0, 0, 0s);
  REQUIRE(fixture.isAnswered(2));
  const source::StateUpdate configuration = fixture.answers[1]->value();
  CHECK(configuration.servers.empty());
  REQUIRE(configuration.configuration != nullptr);
  CHECK(configuration.configuration->version == Version(7));
}

TEST_CASE("a change answers only the pending requests for its topic") {
  Fixture fixture;
  fixture.ask(Topic::kServers, 10, 0, 5s);
  fixture.ask(Topic::kConfiguration, 0, 7, 5s);
  fixture.settle();
  fixture.updateServer("i-2", 11);
  fixture.server_->onStateChanged(Topic::kServers);
  REQUIRE(fixture.isAnswered());
  fixture.settle();
  REQUIRE(fixture.answers.size() == 1);
  CHECK((*fixture.answers[0])->servers.size() == 1);
  fixture.updateVersion(8, 12);
  fixture.server_->onStateChanged(Topic::kConfiguration);
  REQUIRE(fixture.isAnswered(2));
  CHECK((*fixture.answers[1])->delta.has_value());
}

TEST_CASE("a wait that ends without a change returns the current revision") {
  for (const Topic topic : {Topic::kServers, Topic::kConfiguration}) {
    CAPTURE(source::topicName(topic));
    Fixture fixture;
    fixture.ask(topic, 10, 7, 200ms);
    fixture.settle();
    // The source's revision rises without a change to this topic.
    source::WatchBatch nothing;
    nothing.revision = Generation(25);
    fixture.held_.updateServers(nothing, false);
    fixture.held_.updateConfiguration(nothing);
    REQUIRE(fixture.isAnswered());
    REQUIRE(fixture.answers[0].has_value());
    REQUIRE(fixture.answers[0]->has_value());
    const source::StateUpdate update = fixture.answers[0]->value();
    CHECK(update.revision == Generation(25));
    CHECK_FALSE(update.is_complete);
    CHECK(update.servers.empty());
    CHECK(update.configuration == nullptr);
    CHECK_FALSE(update.delta.has_value());
  }
}

TEST_CASE("a request without a wait gets an immediate answer that there is nothing newer") {
  Fixture fixture;
  fixture.ask(Topic::kConfiguration, 0, 7, 0s);
  REQUIRE(fixture.isAnswered());
  REQUIRE(fixture.answers[0].has_value());
  CHECK_FALSE(fixture.answers[0]->has_value());
}

TEST_CASE("a node that stopped reading a topic rejects new and pending requests for it") {
  Fixture fixture;
  fixture.ask(Topic::kServers, 10, 0, 5s);
  fixture.ask(Topic::kConfiguration, 0, 7, 5s);
  fixture.settle();
  fixture.fresh_.erase(Topic::kConfiguration);
  fixture.server_->rejectPending(Topic::kConfiguration);
  REQUIRE(fixture.isAnswered());
  fixture.settle();
  REQUIRE(fixture.answers.size() == 1);
  CHECK(fixture.answers[0].error().kind == ErrorKind::kOverloaded);
  fixture.ask(Topic::kConfiguration, 0, 0, 0s);
  REQUIRE(fixture.isAnswered(2));
  CHECK(fixture.answers[1].error().kind == ErrorKind::kOverloaded);
}

// When a whole fleet starts, no node has any state at first. Nodes that were rejected at once would
// all read the source.
TEST_CASE("a node that has just started answers waiting requests as soon as it has state") {
  Fixture fixture;
  source::HeldState nothing;
  auto created = PeerStateServer::create(fixture.context(), Address{"127.0.0.1", 0}, nothing,
                                         fixture.environment_, [](Topic) { return false; });
  REQUIRE(created.has_value());
  HttpPeerStateClient client(fixture.context(), (*created)->address().port, fixture.relay_);
  const auto ask = [&] {
    const source::StateRequest question{Topic::kServers, Generation(), Version(), 0s, true};
    client.read("127.0.0.1", question, 10s,
                [&fixture](const Answer& answer) { fixture.answers.push_back(answer); });
  };
  ask();
  fixture.settle();
  CHECK(fixture.answers.empty());
  const auto known = source::toBatch(fixture.held_.serversSince(Generation()), nullptr);
  REQUIRE(known.has_value());
  nothing.updateServers(*known, true);
  (*created)->onStateChanged(Topic::kServers);
  REQUIRE(fixture.isAnswered());
  REQUIRE(fixture.answers[0].has_value());
  CHECK((*fixture.answers[0])->servers.size() == 1);
}

TEST_CASE("a node that gets no state in time rejects waiting requests") {
  Fixture fixture;
  const source::HeldState nothing;
  auto created = PeerStateServer::create(fixture.context(), Address{"127.0.0.1", 0}, nothing,
                                         fixture.environment_, [](Topic) { return true; });
  REQUIRE(created.has_value());
  HttpPeerStateClient client(fixture.context(), (*created)->address().port, fixture.relay_);
  const source::StateRequest question{Topic::kServers, Generation(), Version(), 0s, true};
  client.read("127.0.0.1", question, 10s,
              [&fixture](const Answer& answer) { fixture.answers.push_back(answer); });
  REQUIRE(fixture.isAnswered());
  CHECK(fixture.answers[0].error().kind == ErrorKind::kOverloaded);
}

TEST_CASE("a path without a topic is answered with 404") {
  Fixture fixture;
  runtime::HttpClientRequest request;
  request.target = "/v1/state?after=0";
  CHECK(fixture.call(fixture.server_->address(), std::move(request)).status == 404);
}

TEST_CASE("a server update that arrives too slowly is abandoned within the promised time") {
  Fixture fixture;
  boost::asio::io_context& context = fixture.context();
  runtime::AsioEnvironment environment(context);
  std::function<void(runtime::HttpResponder)> trickle = [&](runtime::HttpResponder responder) {
    responder.sendChunk("x");
    environment.schedule(300ms, [&trickle, responder] { trickle(responder); });
  };
  auto server = std::move(*runtime::HttpServer::create(
      context, Address{"127.0.0.1", 0}, {},
      [&](const runtime::HttpRequest&, const runtime::HttpResponder& responder) {
        responder.begin({});
        trickle(responder);
      }));
  HttpPeerStateClient client(context, server->address().port, fixture.relay_);
  std::optional<Answer> answer;
  const source::StateRequest question{Topic::kServers, Generation(10), Version(), 0s, true};
  client.read("127.0.0.1", question, 400ms, [&](const Answer& given) { answer = given; });
  context.run_for(4s);
  // Leaving servers are to be known within two seconds, and no other reader is asked before this
  // request ends.
  CHECK(answer.has_value());
}

TEST_CASE("peer reads during a source outage do not saturate a slow link with repeated requests") {
  Fixture fixture;
  source::WatchBatch batch;
  batch.revision = Generation(12);
  model::Configuration large;
  large.version = Version(9);
  std::mt19937 engine{7};
  for (int index = 0; index < 6000; ++index) {
    model::Route route;
    route.name = RouteName(std::to_string(engine()) + std::to_string(engine()));
    route.match.host = std::to_string(engine()) + ".example";
    route.service = ServiceName("s");
    large.routes[route.name] = route;
  }
  large.services[ServiceName("s")].name = ServiceName("s");
  batch.configurations = {std::make_shared<const model::Configuration>(large)};
  fixture.held_.updateConfiguration(batch);
  const std::size_t bytes =
      source::encodeStateUpdate(fixture.held_.configurationSince(Version())).size();
  CAPTURE(bytes);

  // Transferring the answer once takes two seconds.
  testing::LimitedLink link(fixture.context(), fixture.server_->address(), bytes / 2);
  HttpPeerStateClient client(fixture.context(), link.address().port, fixture.relay_);
  source::HeldState nothing;
  std::size_t learned = 0;
  source::PeerReader reader({}, client, nothing, fixture.environment_,
                            [&](Topic, const source::StateUpdate&) { ++learned; });
  reader.addPeer("127.0.0.1");
  reader.onSourceFailed(Topic::kConfiguration);
  for (int step = 0; step < 60 && learned == 0; ++step) fixture.context().run_for(100ms);
  CAPTURE(reader.asked());
  CAPTURE(link.bytesPassed());
  CHECK(learned == 1);
  CHECK(link.bytesPassed() < 2 * bytes);
}

}  // namespace coursepond::node
