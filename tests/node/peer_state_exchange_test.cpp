// What nodes tell each other of a source, over real sockets: each topic by itself.

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

/// A node that holds version 7 and one server, both as of revision 10, and one that asks it.
class Fixture : public testing::LoopbackBench {
 public:
  Fixture() {
    held_.rememberVersions(2);
    holdServer("i-1", 10);
    holdVersion(7, 10);
    auto made = PeerStateServer::create(context_, Address{"127.0.0.1", 0}, held_, environment_,
                                        [this](Topic topic) { return fresh_.contains(topic); });
    REQUIRE(made.has_value());
    server_ = std::move(*made);
    asker_ = std::make_unique<HttpPeerStateClient>(context_, server_->address().port, relay_);
  }

  void holdServer(const std::string& id, std::uint64_t revision) {
    source::WatchBatch batch;
    batch.revision = Generation(revision);
    model::ServerEntry entry;
    entry.id = EndpointId(id);
    entry.address = {"10.0.0.1", 80};
    entry.revision = Generation(revision);
    batch.servers.push_back(entry);
    held_.updateServers(batch, false);
  }
  void holdVersion(std::uint64_t version, std::uint64_t revision) {
    source::WatchBatch batch;
    batch.revision = Generation(revision);
    model::Configuration configuration;
    configuration.version = Version(version);
    batch.configurations.push_back(std::make_shared<const model::Configuration>(configuration));
    held_.updateConfiguration(batch);
  }

  /// Asks without waiting for the answer, which is added to `answers`.
  void ask(Topic topic, std::uint64_t after, std::uint64_t version, Duration wait) {
    const source::PeerQuestion question{topic, Generation(after), Version(version), wait, true};
    asker_->read("127.0.0.1", question, 10s,
                 [this](const Answer& answer) { answers.push_back(answer); });
  }
  bool isAnswered(std::size_t count = 1) {
    return runUntil([&] { return answers.size() >= count; });
  }
  /// Lets what was asked arrive.
  void settle() { context_.run_for(50ms); }

  std::set<Topic> fresh_{Topic::kServers, Topic::kConfiguration};
  std::vector<Answer> answers;
  runtime::AsioEnvironment environment_{context_};
  source::RelaySettings relay_;
  source::HeldState held_;
  std::unique_ptr<PeerStateServer> server_;
  std::unique_ptr<HttpPeerStateClient> asker_;
};

}  // namespace

TEST_CASE("a question about the servers gets nothing of the configuration, and the other way") {
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

TEST_CASE("a change is told to who waits for its topic, and to nobody else") {
  Fixture fixture;
  fixture.ask(Topic::kServers, 10, 0, 5s);
  fixture.ask(Topic::kConfiguration, 0, 7, 5s);
  fixture.settle();
  fixture.holdServer("i-2", 11);
  fixture.server_->onStateChanged(Topic::kServers);
  REQUIRE(fixture.isAnswered());
  fixture.settle();
  REQUIRE(fixture.answers.size() == 1);
  CHECK((*fixture.answers[0])->servers.size() == 1);
  fixture.holdVersion(8, 12);
  fixture.server_->onStateChanged(Topic::kConfiguration);
  REQUIRE(fixture.isAnswered(2));
  CHECK((*fixture.answers[1])->delta.has_value());
}

TEST_CASE("a wait without a change ends with the revision up to which there was none") {
  for (const Topic topic : {Topic::kServers, Topic::kConfiguration}) {
    CAPTURE(source::topicWord(topic));
    Fixture fixture;
    fixture.ask(topic, 10, 7, 200ms);
    fixture.settle();
    // The source counts on, without a change that matters here.
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

TEST_CASE("who does not wait is told shortly that there is nothing newer") {
  Fixture fixture;
  fixture.ask(Topic::kConfiguration, 0, 7, 0s);
  REQUIRE(fixture.isAnswered());
  REQUIRE(fixture.answers[0].has_value());
  CHECK_FALSE(fixture.answers[0]->has_value());
}

TEST_CASE("a node that does not read a topic now says so, also to who waits for it already") {
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

// When a whole fleet starts nobody knows anything at first. Nodes that were turned away at once all
// read the source.
TEST_CASE("who asks a node that has just started is answered as soon as that knows something") {
  Fixture fixture;
  source::HeldState nothing;
  auto made = PeerStateServer::create(fixture.context(), Address{"127.0.0.1", 0}, nothing,
                                      fixture.environment_, [](Topic) { return false; });
  REQUIRE(made.has_value());
  HttpPeerStateClient asker(fixture.context(), (*made)->address().port, fixture.relay_);
  const auto ask = [&] {
    const source::PeerQuestion question{Topic::kServers, Generation(), Version(), 0s, true};
    asker.read("127.0.0.1", question, 10s,
               [&fixture](const Answer& answer) { fixture.answers.push_back(answer); });
  };
  ask();
  fixture.settle();
  CHECK(fixture.answers.empty());
  const auto known = source::toBatch(fixture.held_.serversSince(Generation()), nullptr);
  REQUIRE(known.has_value());
  nothing.updateServers(*known, true);
  (*made)->onStateChanged(Topic::kServers);
  REQUIRE(fixture.isAnswered());
  REQUIRE(fixture.answers[0].has_value());
  CHECK((*fixture.answers[0])->servers.size() == 1);
}

TEST_CASE("a node that knows nothing for longer turns who asks it away") {
  Fixture fixture;
  const source::HeldState nothing;
  auto made = PeerStateServer::create(fixture.context(), Address{"127.0.0.1", 0}, nothing,
                                      fixture.environment_, [](Topic) { return true; });
  REQUIRE(made.has_value());
  HttpPeerStateClient asker(fixture.context(), (*made)->address().port, fixture.relay_);
  const source::PeerQuestion question{Topic::kServers, Generation(), Version(), 0s, true};
  asker.read("127.0.0.1", question, 10s,
             [&fixture](const Answer& answer) { fixture.answers.push_back(answer); });
  REQUIRE(fixture.isAnswered());
  CHECK(fixture.answers[0].error().kind == ErrorKind::kOverloaded);
}

TEST_CASE("a path that names no topic is not found") {
  Fixture fixture;
  runtime::HttpClientRequest request;
  request.target = "/v1/state?after=0";
  CHECK(fixture.call(fixture.server_->address(), std::move(request)).status == 404);
}

TEST_CASE("a reader whose answer about servers trickles is left in the time of a promise") {
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
  HttpPeerStateClient asker(context, server->address().port, fixture.relay_);
  std::optional<Answer> answer;
  const source::PeerQuestion question{Topic::kServers, Generation(10), Version(), 0s, true};
  asker.read("127.0.0.1", question, 400ms, [&](const Answer& given) { answer = given; });
  context.run_for(4s);
  // Servers that leave are known within two seconds; no other reader is asked before this ends.
  CHECK(answer.has_value());
}

TEST_CASE("a node that asks peers, for the source is away, does not fill its link with questions") {
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

  // The answer alone takes two seconds.
  testing::LimitedLink link(fixture.context(), fixture.server_->address(), bytes / 2);
  HttpPeerStateClient client(fixture.context(), link.address().port, fixture.relay_);
  source::HeldState nothing;
  std::size_t learned = 0;
  source::PeerReader reader({}, client, nothing, fixture.environment_,
                            [&](Topic, const source::StateUpdate&) { ++learned; });
  reader.notePeer("127.0.0.1");
  reader.onSourceFailed(Topic::kConfiguration);
  for (int step = 0; step < 60 && learned == 0; ++step) fixture.context().run_for(100ms);
  CAPTURE(reader.asked());
  CAPTURE(link.bytesPassed());
  CHECK(learned == 1);
  CHECK(link.bytesPassed() < 2 * bytes);
}

}  // namespace coursepond::node
