#include "source/relay_client.h"

#include <doctest/doctest.h>

#include "support/virtual_environment.h"

namespace coursepond::source {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct SourceRead {
  bool is_list = false;
  SourceRevision after;
  Duration wait{};
  Duration timeout{};
  WatchCallback callback;
};

class ControlledSource final : public WatchClient {
 public:
  void list(Duration timeout, WatchCallback callback) override {
    reads.push_back({true, Generation(), Duration(0), timeout, std::move(callback)});
  }
  void watch(SourceRevision after, Duration wait, Duration timeout,
             WatchCallback callback) override {
    reads.push_back({false, after, wait, timeout, std::move(callback)});
  }
  void answer(const Result<WatchBatch>& answer) {
    const WatchCallback callback = reads.back().callback;
    callback(answer);
  }
  void fail(ErrorKind kind) { answer(Error{kind, "", ""}); }
  std::vector<SourceRead> reads;
};

struct PeerRead {
  std::string host;
  StateRequest question;
  Duration timeout{};
  PeerStateCallback callback;
  std::function<void()> on_begun;
};

class ControlledPeers final : public PeerStateClient {
 public:
  void read(const std::string& host, const StateRequest& question, Duration timeout,
            PeerStateCallback callback) override {
    reads.push_back({host, question, timeout, std::move(callback), nullptr});
  }
  void readWithProgress(const std::string& host, const StateRequest& question, Duration timeout,
                        std::function<void()> on_begun, PeerStateCallback callback) override {
    reads.push_back({host, question, timeout, std::move(callback), std::move(on_begun)});
  }
  void answer(const Result<std::optional<StateUpdate>>& answer) {
    const PeerStateCallback callback = reads.back().callback;
    callback(answer);
  }
  void fail(ErrorKind kind) { answer(Error{kind, "", ""}); }
  std::vector<PeerRead> reads;
};

model::Configuration makeConfiguration(std::uint64_t version) {
  model::Configuration configuration;
  configuration.version = Version(version);
  return configuration;
}

WatchBatch makeBatch(std::uint64_t revision, std::uint64_t version = 0) {
  WatchBatch batch;
  batch.revision = Generation(revision);
  if (version > 0) {
    batch.configurations = {
        std::make_shared<const model::Configuration>(makeConfiguration(version))};
  }
  return batch;
}

constexpr Topic kTopics[] = {Topic::kServers, Topic::kConfiguration};

/// A node that has listed the source: revision 10, and version 7 if the topic is the configuration.
/// Its parents are "r1" and "r2".
class RelayFixture {
 public:
  explicit RelayFixture(bool is_reader, Topic read_topic = Topic::kConfiguration)
      : topic(read_topic), client(settings, topic, source, peers, held, environment) {
    client.onFreshnessLost([this] { ++freshness_lost; });
    client.list(seconds(1), [this](Result<WatchBatch> answer) { take(std::move(answer)); });
    const std::uint64_t version = topic == Topic::kConfiguration ? 7 : 0;
    source.answer(makeBatch(10, version));
    client.setParents({"r1", "r2"}, is_reader ? ReaderRole::kReader : ReaderRole::kFollower);
    // A reader lists again right after a new version. The source has nothing newer then.
    if (is_reader) {
      watch();
      source.answer(makeBatch(10, version));
    }
    source.reads.clear();
    answers.clear();
  }

  /// Makes the node a relay whose parent has just answered.
  void becomeFreshRelay() {
    client.setParents({"r1", "r2"}, ReaderRole::kRelay);
    watch();
    peers.answer(std::optional<StateUpdate>());
    freshness_lost = 0;
  }

  void watch(Duration wait = seconds(2)) {
    client.watch(held.revision(topic), wait, wait + milliseconds(700),
                 [this](Result<WatchBatch> answer) { take(std::move(answer)); });
  }
  void take(Result<WatchBatch> answer) {
    if (answer && topic == Topic::kServers) held.updateServers(*answer, answer->is_complete);
    if (answer && topic == Topic::kConfiguration) held.updateConfiguration(*answer);
    answers.push_back(std::move(answer));
  }

  Duration peerWait() const {
    if (topic == Topic::kServers) return settings.peer_wait;
    return settings.configuration_wait + settings.peer_slack / 2;
  }
  Duration sourceWait() const {
    return topic == Topic::kServers ? settings.source_wait : settings.configuration_wait;
  }

  Topic topic;
  proxy::VirtualEnvironment environment;
  RelaySettings settings;
  ControlledSource source;
  ControlledPeers peers;
  HeldState held;
  RelayClient client;
  std::vector<Result<WatchBatch>> answers;
  int freshness_lost = 0;
};

}  // namespace

// Guards against 404 answers for routes of a version that was acknowledged while the previous
// version was still being received: the age of a batch must include its transfer time.
TEST_CASE("the age of a version includes the time that it took to arrive") {
  RelayFixture reader(true);
  reader.watch();
  reader.environment.advance(seconds(3));
  reader.source.answer(makeBatch(12, 8));
  REQUIRE(reader.answers.size() == 1);
  CHECK(reader.answers[0]->age == Duration(seconds(3)));
  // The list that follows the new version.
  reader.watch();
  reader.environment.advance(milliseconds(400));
  reader.source.answer(makeBatch(12, 8));
  CHECK(reader.answers[1]->age == Duration(milliseconds(400)));
  // An answer without changes is sent at the end of the wait, so its age is zero.
  reader.watch();
  reader.environment.advance(seconds(1));
  reader.source.answer(makeBatch(13));
  CHECK(reader.answers[2]->age == Duration(0));

  RelayFixture follower(false);
  follower.watch();
  follower.environment.advance(seconds(2));
  StateUpdate update;
  update.revision = Generation(14);
  update.age = milliseconds(100);
  update.configuration = std::make_shared<const model::Configuration>(makeConfiguration(9));
  follower.peers.answer(update);
  CHECK(follower.answers.back()->age == Duration(milliseconds(2100)));
  follower.watch();
  update.configuration = nullptr;
  follower.environment.advance(seconds(1));
  follower.peers.answer(update);
  CHECK(follower.answers.back()->age == Duration(milliseconds(100)));
}

TEST_CASE("a follower waits at its first parent and not at the source") {
  for (const Topic topic : kTopics) {
    CAPTURE(topicName(topic));
    RelayFixture fixture(false, topic);
    fixture.watch();
    REQUIRE(fixture.peers.reads.size() == 1);
    CHECK(fixture.source.reads.empty());
    const PeerRead& read = fixture.peers.reads[0];
    CHECK(read.host == "r1");
    CHECK(read.question.topic == topic);
    CHECK(read.question.after == Generation(10));
    CHECK(read.question.version == fixture.held.version());
    CHECK(read.question.only_fresh);
    CHECK(read.question.wait == fixture.peerWait());
    CHECK(read.timeout == fixture.peerWait() + fixture.settings.peer_slack);
    fixture.peers.answer(std::optional<StateUpdate>());
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0]->revision == Generation(10));
    CHECK_FALSE(fixture.client.isFresh());
  }
}

TEST_CASE("a node with parents gets the whole configuration from a parent, not from the source") {
  RelayFixture fixture(false);
  RelayFixture fresh(false, Topic::kServers);
  HeldState nothing;
  RelayClient client(fresh.settings, Topic::kConfiguration, fresh.source, fresh.peers, nothing,
                     fresh.environment);
  client.setParents({"r1", "r2"}, ReaderRole::kFollower);
  std::optional<Result<WatchBatch>> answer;
  const auto take = [&](Result<WatchBatch> received) { answer = std::move(received); };
  client.list(seconds(1), take);
  REQUIRE(fresh.peers.reads.size() == 1);
  CHECK(fresh.source.reads.empty());
  CHECK(fresh.peers.reads[0].question.version == Version());
  CHECK(fresh.peers.reads[0].question.only_fresh);
  fresh.peers.answer(std::optional<StateUpdate>(fixture.held.configurationSince(Version())));
  REQUIRE(answer.has_value());
  REQUIRE((*answer)->configurations.size() == 1);
  CHECK((*answer)->configurations[0]->version == Version(7));

  // After the first parent that fails, a node without a configuration reads the source.
  client.list(seconds(1), take);
  fresh.peers.fail(ErrorKind::kTimeout);
  CHECK(fresh.peers.reads.size() == 2);
  REQUIRE(fresh.source.reads.size() == 1);
  CHECK(fresh.source.reads[0].is_list);
}

TEST_CASE("after a failed parent, the next one and then the source are asked without waiting") {
  RelayFixture fixture(false);
  fixture.watch();
  fixture.peers.fail(ErrorKind::kTimeout);
  REQUIRE(fixture.peers.reads.size() == 2);
  CHECK(fixture.peers.reads[1].host == "r2");
  CHECK(fixture.peers.reads[1].question.wait == Duration(0));
  fixture.peers.fail(ErrorKind::kOverloaded);
  REQUIRE(fixture.source.reads.size() == 1);
  CHECK(fixture.source.reads[0].wait == Duration(0));
  fixture.source.answer(makeBatch(11));
  REQUIRE(fixture.answers.size() == 1);
  CHECK(fixture.answers[0]->revision == Generation(11));
  // A node that reads the source may answer others.
  CHECK(fixture.client.isFresh());

  // The parent that is not fresh is asked again soon, the silent one later.
  fixture.environment.advance(fixture.settings.avoid_stale_parent);
  fixture.watch();
  CHECK(fixture.peers.reads.back().host == "r2");
  // Once after the initial list, and now again.
  CHECK(fixture.freshness_lost == 2);
  fixture.peers.answer(std::optional<StateUpdate>());
  fixture.environment.advance(fixture.settings.avoid_silent_parent);
  fixture.watch();
  CHECK(fixture.peers.reads.back().host == "r1");
}

TEST_CASE(
    "a reader waits at the source for the configured time, and is stale after a failed read") {
  for (const Topic topic : kTopics) {
    CAPTURE(topicName(topic));
    RelayFixture fixture(true, topic);
    fixture.watch();
    REQUIRE(fixture.source.reads.size() == 1);
    const SourceRead& read = fixture.source.reads[0];
    CHECK_FALSE(read.is_list);
    CHECK(read.wait == fixture.sourceWait());
    CHECK(read.timeout == fixture.sourceWait() + fixture.settings.source_slack);
    fixture.source.answer(makeBatch(11));
    CHECK(fixture.client.isFresh());
    fixture.environment.advance(seconds(5));
    // No read for a long time, as after a freeze. A configuration may take as long to arrive, so
    // only the reads of the servers detect a pause of the process (TwoHopNode checks both topics).
    CHECK(fixture.client.isFresh() == (topic == Topic::kConfiguration));
    fixture.watch();
    fixture.source.fail(ErrorKind::kTimeout);
    CHECK_FALSE(fixture.client.isFresh());
  }
}

TEST_CASE("a reader whose read of the source fails is no longer fresh and asks other readers") {
  RelayFixture fixture(true);
  fixture.watch();
  fixture.source.fail(ErrorKind::kUnavailable);
  CHECK(fixture.freshness_lost == 1);
  CHECK_FALSE(fixture.client.isFresh());
  REQUIRE(fixture.peers.reads.size() == 1);
  CHECK(fixture.peers.reads[0].host == "r1");
  fixture.peers.answer(std::optional<StateUpdate>());
  CHECK(fixture.answers.back().has_value());
  fixture.watch();
  CHECK(fixture.peers.reads.size() == 2);
  fixture.peers.answer(std::optional<StateUpdate>());
  fixture.environment.advance(fixture.settings.avoid_source);
  fixture.watch();
  CHECK(fixture.source.reads.size() == 2);
}

TEST_CASE("when every path fails, the caller gets one error") {
  RelayFixture fixture(false);
  fixture.watch();
  fixture.peers.fail(ErrorKind::kTimeout);
  fixture.peers.fail(ErrorKind::kTimeout);
  fixture.source.fail(ErrorKind::kUnavailable);
  REQUIRE(fixture.answers.size() == 1);
  CHECK(fixture.answers[0].error().kind == ErrorKind::kUnavailable);
  CHECK(fixture.peers.reads.size() == 2);
  CHECK(fixture.source.reads.size() == 1);
}

TEST_CASE("lost history of the source is reported to the caller, which lists again") {
  RelayFixture fixture(true);
  fixture.watch();
  fixture.source.fail(ErrorKind::kBaseMismatch);
  REQUIRE(fixture.answers.size() == 1);
  CHECK(fixture.answers[0].error().kind == ErrorKind::kBaseMismatch);
  CHECK(fixture.peers.reads.empty());
}

// Guards against a reader that receives each version of a burst before the newest.
TEST_CASE("a reader lists at once if the changes are larger than a list, and stays fresh") {
  RelayFixture fixture(true);
  fixture.watch();
  REQUIRE_FALSE(fixture.source.reads.back().is_list);
  fixture.source.fail(ErrorKind::kTooLarge);
  REQUIRE(fixture.source.reads.size() == 2);
  CHECK(fixture.source.reads.back().is_list);
  CHECK(fixture.answers.empty());
  CHECK(fixture.freshness_lost == 0);
  CHECK(fixture.client.isFresh());
  CHECK(fixture.client.statistics().source_failures == 0);
  fixture.source.answer(makeBatch(17, 14));
  REQUIRE(fixture.answers.size() == 1);
  CHECK(fixture.answers[0]->is_complete);
  CHECK(fixture.held.version() == Version(14));
  // A list that is too large is a failed read.
  fixture.watch();
  REQUIRE(fixture.source.reads.back().is_list);
  fixture.source.fail(ErrorKind::kTooLarge);
  CHECK(fixture.client.statistics().source_failures == 1);
}

TEST_CASE(
    "after a new version a reader lists the newest state instead of each version of a burst") {
  RelayFixture fixture(true);
  fixture.watch();
  fixture.source.answer(makeBatch(12, 8));
  fixture.watch();
  CHECK(fixture.source.reads.back().is_list);
  fixture.source.answer(makeBatch(20, 15));
  CHECK(fixture.answers.back()->is_complete);
  fixture.watch();
  CHECK(fixture.source.reads.back().is_list);
  // The list has nothing newer, so the batch has no change and the next read waits again.
  fixture.source.answer(makeBatch(20, 15));
  CHECK(fixture.answers.back()->configurations.empty());
  fixture.watch();
  CHECK_FALSE(fixture.source.reads.back().is_list);
}

TEST_CASE(
    "a delta is applied to the held version, and the whole is requested if it does not apply") {
  RelayFixture fixture(false);
  fixture.watch();
  StateUpdate update;
  update.revision = Generation(12);
  update.delta =
      model::makeDelta(makeConfiguration(7), makeConfiguration(8), model::DeltaCheck::kVersions);
  fixture.peers.answer(std::optional<StateUpdate>(update));
  CHECK(fixture.answers.back()->is_relayed);
  CHECK(fixture.held.version() == Version(8));

  fixture.watch();
  model::Configuration other = makeConfiguration(6);
  other.services[ServiceName("x")].name = ServiceName("x");
  update.delta = model::makeDelta(other, makeConfiguration(9), model::DeltaCheck::kVersions);
  fixture.peers.answer(std::optional<StateUpdate>(update));
  CHECK(fixture.peers.reads.back().question.version == Version());
  update.delta.reset();
  update.configuration = std::make_shared<const model::Configuration>(makeConfiguration(9));
  fixture.peers.answer(std::optional<StateUpdate>(update));
  CHECK(fixture.held.version() == Version(9));
}

TEST_CASE("a follower that listed the source at its start does not list it again later") {
  // The follower listed version 7 at its start. Since then a parent answered that nothing changed.
  RelayFixture fixture(false);
  fixture.watch();
  fixture.peers.answer(std::optional<StateUpdate>());
  fixture.watch();
  fixture.peers.fail(ErrorKind::kTimeout);
  fixture.peers.fail(ErrorKind::kTimeout);
  REQUIRE(fixture.source.reads.size() == 1);
  // Nothing changed since revision 10, while a list would return the whole configuration.
  CHECK_FALSE(fixture.source.reads[0].is_list);
}

// Guards against every node retrying reads of a source that is down: the readers already do so on
// behalf of all nodes, and each read has a cost.
TEST_CASE("while the source fails, followers leave the retries to the readers") {
  for (const Topic topic : kTopics) {
    CAPTURE(topicName(topic));
    RelayFixture fixture(false, topic);
    if (topic == Topic::kServers) {
      // A node without a configuration cannot serve requests, and would read from any path.
      fixture.held.updateConfiguration(makeBatch(9, 7));
    }
    std::size_t rounds = 0;
    for (Duration passed{}; passed < seconds(8); passed += milliseconds(600)) {
      fixture.watch(Duration(0));
      while (fixture.answers.size() == rounds) {
        const std::size_t asked = fixture.peers.reads.size();
        fixture.peers.fail(ErrorKind::kOverloaded);
        const bool asks_source =
            fixture.peers.reads.size() == asked && fixture.answers.size() == rounds;
        if (asks_source) fixture.source.fail(ErrorKind::kUnavailable);
      }
      CHECK_FALSE(fixture.answers.back().has_value());
      ++rounds;
      fixture.environment.advance(milliseconds(600));
    }
    CHECK(rounds == 14);
    CHECK(fixture.source.reads.size() <= 5);
    // An answer of a parent that reads the source again is used at once.
    fixture.watch();
    fixture.peers.answer(std::optional<StateUpdate>());
    CHECK(fixture.answers.back().has_value());
  }
}

// Guards against all nodes reading the configuration from the source at the same time when a
// rolling stop begins with the readers: each would read several versions of a burst in full, which
// saturates the nodes' links and delays requests.
TEST_CASE(
    "when all readers stop at once, only a few nodes read the configuration from the source") {
  constexpr std::size_t kNodes = 60;
  RelayFixture fixture(false);
  fixture.client.setParents({"r1", "r2"}, ReaderRole::kFollower, kNodes);
  std::size_t turns = 0;
  for (; turns < 10 * kNodes; ++turns) {
    const std::size_t answered = fixture.answers.size();
    fixture.watch();
    while (fixture.answers.size() == answered) {
      const std::size_t asked = fixture.peers.reads.size();
      const std::size_t read = fixture.source.reads.size();
      fixture.peers.fail(ErrorKind::kOverloaded);
      if (fixture.source.reads.size() > read) fixture.source.answer(makeBatch(10));
      REQUIRE((fixture.peers.reads.size() > asked || fixture.answers.size() > answered));
    }
    fixture.environment.advance(fixture.settings.avoid_stale_parent);
  }
  // About six of sixty in each turn.
  CHECK(fixture.source.reads.size() > turns / 20);
  CHECK(fixture.source.reads.size() < turns / 6);

  // Leaving servers must be known soon and their entries are small, so every node reads them.
  RelayFixture servers(false, Topic::kServers);
  servers.client.setParents({"r1", "r2"}, ReaderRole::kFollower, kNodes);
  servers.watch();
  servers.peers.fail(ErrorKind::kOverloaded);
  servers.peers.fail(ErrorKind::kOverloaded);
  CHECK(servers.source.reads.size() == 1);
}

TEST_CASE("a node that has just started asks the next parent when one is not fresh") {
  RelayFixture fixture(false, Topic::kServers);
  HeldState nothing;
  RelayClient client(fixture.settings, Topic::kConfiguration, fixture.source, fixture.peers,
                     nothing, fixture.environment);
  client.setParents({"r1", "r2"}, ReaderRole::kFollower, 60);
  client.list(seconds(1), [](const Result<WatchBatch>&) {});
  fixture.peers.fail(ErrorKind::kOverloaded);
  REQUIRE(fixture.peers.reads.size() == 2);
  CHECK(fixture.source.reads.empty());
  fixture.peers.fail(ErrorKind::kOverloaded);
  CHECK(fixture.source.reads.size() == 1);
}

TEST_CASE("a relay is fresh after an answer of its parent, a follower is not") {
  for (const ReaderRole role : {ReaderRole::kRelay, ReaderRole::kFollower}) {
    CAPTURE(roleName(role));
    RelayFixture fixture(false, Topic::kServers);
    fixture.client.setParents({"r1", "r2"}, role);
    fixture.watch();
    fixture.peers.answer(std::optional<StateUpdate>());
    CHECK(fixture.client.isFresh() == (role == ReaderRole::kRelay));
  }
}

TEST_CASE("a relay stays fresh while it changes to another parent") {
  RelayFixture fixture(false, Topic::kServers);
  fixture.becomeFreshRelay();
  fixture.watch();
  fixture.peers.fail(ErrorKind::kTimeout);
  CHECK(fixture.client.isFresh());
  fixture.peers.answer(std::optional<StateUpdate>());
  CHECK(fixture.client.isFresh());
  CHECK(fixture.freshness_lost == 0);
}

TEST_CASE("a relay loses its freshness when all its parents and the source fail") {
  RelayFixture fixture(false, Topic::kServers);
  fixture.becomeFreshRelay();
  fixture.watch();
  fixture.peers.fail(ErrorKind::kTimeout);
  fixture.peers.fail(ErrorKind::kTimeout);
  REQUIRE(fixture.source.reads.size() == 1);
  fixture.source.fail(ErrorKind::kUnavailable);
  CHECK_FALSE(fixture.client.isFresh());
  CHECK(fixture.freshness_lost == 1);
}

TEST_CASE("a relay is stale after a pause of its process that is longer than two reads") {
  RelayFixture fixture(false, Topic::kServers);
  fixture.becomeFreshRelay();
  fixture.environment.pause(2 * (fixture.settings.peer_wait + fixture.settings.peer_slack));
  CHECK(fixture.client.isFresh());
  fixture.environment.pause(milliseconds(1));
  CHECK_FALSE(fixture.client.isFresh());
}

// Guards against a read of the configuration that waits on at a parent that is known to be silent.
TEST_CASE("a read leaves a parent that a read of the other topic found silent") {
  RelayFixture fixture(false);
  const auto silent = std::make_shared<SilentParents>(fixture.environment);
  fixture.client.shareSilentParents(silent);
  fixture.watch();
  const Error timeout{ErrorKind::kTimeout, "", ""};
  silent->add("r2", fixture.environment.now(), seconds(4), timeout);
  REQUIRE(fixture.peers.reads.size() == 1);
  silent->remove("r2");
  silent->add("r1", fixture.environment.now(), seconds(4), timeout);
  REQUIRE(fixture.peers.reads.size() == 2);
  CHECK(fixture.peers.reads[1].host == "r2");
  CHECK(fixture.peers.reads[1].question.wait == Duration(0));
  fixture.peers.answer(std::optional<StateUpdate>());
  CHECK(fixture.answers.size() == 1);
  // The silent parent's own timeout comes later and ends no read.
  fixture.watch();
  fixture.peers.reads[0].callback(timeout);
  CHECK(fixture.peers.reads.size() == 3);
  CHECK(fixture.answers.size() == 1);
}

// Guards against a large answer that is requested twice.
TEST_CASE("a read does not leave a parent whose answer has begun") {
  RelayFixture fixture(false);
  const auto silent = std::make_shared<SilentParents>(fixture.environment);
  fixture.client.shareSilentParents(silent);
  SUBCASE("when the other topic finds the parent silent") {
    fixture.watch();
    fixture.peers.reads[0].on_begun();
    silent->add("r1", fixture.environment.now(), seconds(4), Error{ErrorKind::kTimeout, "", ""});
    CHECK(fixture.peers.reads.size() == 1);
  }
  SUBCASE("when the answer takes longer than the delay of the next step") {
    fixture.watch();
    fixture.peers.fail(ErrorKind::kTimeout);
    REQUIRE(fixture.peers.reads.size() == 2);
    fixture.peers.reads[1].on_begun();
    fixture.environment.advance(seconds(10));
    CHECK(fixture.source.reads.empty());
  }
  CHECK(fixture.answers.empty());
  fixture.peers.answer(std::optional<StateUpdate>());
  CHECK(fixture.answers.size() == 1);
}

// Guards against timeouts of several silent parents that add up.
TEST_CASE("the next parent is asked before the timeout of one that should answer at once") {
  RelayFixture fixture(false, Topic::kServers);
  fixture.held.updateConfiguration(makeBatch(9, 7));
  fixture.client.setParents({"r1", "r2", "r3"}, ReaderRole::kFollower);
  fixture.watch();
  fixture.environment.advance(fixture.settings.next_parent_delay);
  CHECK(fixture.peers.reads.size() == 1);
  fixture.peers.fail(ErrorKind::kTimeout);
  REQUIRE(fixture.peers.reads.size() == 2);
  fixture.environment.advance(fixture.settings.next_parent_delay);
  REQUIRE(fixture.peers.reads.size() == 3);
  CHECK(fixture.client.statistics().overlapping_peer_reads == 1);
  SUBCASE("an answer of the slow one is used") {
    fixture.peers.reads[1].callback(std::optional<StateUpdate>());
    CHECK(fixture.answers.size() == 1);
  }
  SUBCASE("the source is read next") {
    fixture.environment.advance(fixture.settings.next_parent_delay);
    REQUIRE(fixture.source.reads.size() == 1);
    fixture.source.answer(makeBatch(11));
    CHECK(fixture.answers.size() == 1);
  }
  // Late answers end no other read.
  fixture.peers.reads[2].callback(std::optional<StateUpdate>());
  CHECK(fixture.answers.size() == 1);
}

TEST_CASE("a standby reads the source while its readers are silent, and stays fresh") {
  constexpr std::size_t kNodes = 1'000'000;  // Nothing is read by chance.
  for (const bool is_standby : {false, true}) {
    CAPTURE(is_standby);
    RelayFixture fixture(false);
    fixture.client.setParents({"r1", "r2"}, ReaderRole::kFollower, kNodes);
    fixture.client.setStandby(is_standby);
    fixture.watch();
    fixture.peers.fail(ErrorKind::kTimeout);
    fixture.peers.fail(ErrorKind::kTimeout);
    REQUIRE(fixture.source.reads.size() == (is_standby ? 1 : 0));
    if (!is_standby) continue;
    fixture.source.answer(makeBatch(11));
    CHECK(fixture.client.isFresh());
    // Other nodes ask it meanwhile, so the next read waits for a change.
    fixture.watch();
    REQUIRE(fixture.source.reads.size() == 2);
    CHECK(fixture.source.reads[1].wait == fixture.sourceWait());
    fixture.source.answer(makeBatch(12));
    CHECK(fixture.client.statistics().standby_source_reads == 2);
    // It checks the readers after the other nodes, and loses its freshness when one answers.
    fixture.environment.advance(fixture.settings.avoid_silent_parent);
    fixture.watch();
    CHECK(fixture.peers.reads.size() == 2);
    fixture.source.answer(makeBatch(13));
    fixture.environment.advance(fixture.settings.avoid_silent_parent);
    fixture.watch();
    REQUIRE(fixture.peers.reads.size() == 3);
    CHECK(fixture.peers.reads[2].question.wait == Duration(0));
    CHECK(fixture.client.isFresh());
    fixture.peers.answer(std::optional<StateUpdate>());
    CHECK_FALSE(fixture.client.isFresh());
    fixture.watch();
    CHECK(fixture.peers.reads.back().question.wait == fixture.peerWait());
  }
}

// Guards against standbys that find the silent readers later than the nodes that depend on them.
TEST_CASE("a standby that is asked as a reader checks its own parents at once") {
  RelayFixture fixture(false);
  fixture.client.setParents({"r1", "r2"}, ReaderRole::kFollower, 1'000'000);
  fixture.watch();
  fixture.client.checkParents();
  CHECK(fixture.peers.reads.size() == 1);  // Not a standby.
  fixture.client.setStandby(true);
  fixture.client.checkParents();
  REQUIRE(fixture.peers.reads.size() == 2);
  CHECK(fixture.peers.reads[1].question.wait == Duration(0));
  fixture.client.checkParents();
  CHECK(fixture.peers.reads.size() == 2);  // Once a read.
  fixture.environment.advance(fixture.settings.next_parent_delay);
  REQUIRE(fixture.source.reads.size() == 1);
  CHECK(fixture.source.reads[0].wait == Duration(0));
}

// Guards against requests of all nodes to all parents while the source is down.
TEST_CASE("a read that several parents refused asks no further parent") {
  RelayFixture fixture(false);
  std::vector<std::string> parents;
  for (int number = 1; number <= 9; ++number) parents.push_back("r" + std::to_string(number));
  fixture.client.setParents(parents, ReaderRole::kFollower, 1'000'000);
  fixture.watch();
  while (fixture.answers.empty()) fixture.peers.fail(ErrorKind::kOverloaded);
  CHECK(fixture.peers.reads.size() == 4);
  // The next read goes on where this one ended.
  fixture.watch();
  CHECK(fixture.peers.reads.back().host == "r5");
}

// Guards against a parent that is avoided although it answers, after one slow answer.
TEST_CASE("a late timeout of a parent that has answered since does not make it silent") {
  RelayFixture fixture(false);
  fixture.client.setParents({"r1", "r2", "r3"}, ReaderRole::kFollower);
  fixture.watch();
  fixture.peers.fail(ErrorKind::kOverloaded);
  fixture.environment.advance(fixture.settings.next_parent_delay);
  REQUIRE(fixture.peers.reads.size() == 3);
  const PeerRead slow = fixture.peers.reads[1];
  REQUIRE(slow.host == "r2");
  fixture.peers.answer(std::optional<StateUpdate>());
  fixture.watch();
  REQUIRE(fixture.peers.reads.back().host == "r2");
  fixture.environment.advance(milliseconds(1));
  fixture.peers.answer(std::optional<StateUpdate>());
  slow.callback(Error{ErrorKind::kTimeout, "", ""});
  fixture.watch();
  CHECK(fixture.peers.reads.back().host == "r2");
  CHECK(fixture.peers.reads.back().question.wait == fixture.peerWait());
}

}  // namespace coursepond::source
