#include "source/peer_reader.h"

#include <doctest/doctest.h>

#include "support/virtual_environment.h"

namespace coursepond::source {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns an update that contains only a revision.
StateUpdate makeUpdate(std::uint64_t revision) {
  StateUpdate update;
  update.revision = Generation(revision);
  return update;
}

class ControlledPeers final : public PeerStateClient {
 public:
  void read(const std::string& host, const StateRequest& question, Duration,
            PeerStateCallback callback) override {
    topics.insert(question.topic);
    hosts.push_back(host);
    last_question = question;
    last = std::move(callback);
  }
  std::vector<std::string> hosts;
  std::set<Topic> topics;
  StateRequest last_question;
  PeerStateCallback last;
};

struct ReaderFixture {
  proxy::VirtualEnvironment environment;
  ControlledPeers peers;
  HeldState held;
  std::vector<std::uint64_t> learned;
  PeerReader reader{PeerReaderSettings(), peers, held, environment,
                    [this](Topic, const StateUpdate& update) {
                      learned.push_back(update.revision.number.value());
                      hold(update.revision.number.value());
                    }};
  void hold(std::uint64_t revision) {
    WatchBatch batch;
    batch.revision = Generation(revision);
    held.updateServers(batch, false);
  }
};

}  // namespace

TEST_CASE("peers are asked only while the source fails") {
  ReaderFixture fixture;
  fixture.reader.addPeer("10.0.0.1");
  fixture.environment.advance(seconds(5));
  CHECK(fixture.peers.hosts.empty());
  fixture.reader.onSourceFailed(Topic::kServers);
  fixture.environment.advance(milliseconds(700));
  CHECK(fixture.peers.hosts.size() >= 1);
  fixture.reader.onSourceAnswered(Topic::kServers);
  const std::size_t asked = fixture.peers.hosts.size();
  fixture.environment.advance(seconds(5));
  CHECK(fixture.peers.hosts.size() == asked);
}

TEST_CASE("a peer is asked only about the topics whose reads from the source fail") {
  ReaderFixture fixture;
  fixture.reader.addPeer("10.0.0.1");
  fixture.reader.onSourceFailed(Topic::kServers);
  fixture.reader.onSourceFailed(Topic::kConfiguration);
  // The servers can be read again. This does not end the questions about the configuration.
  fixture.reader.onSourceAnswered(Topic::kServers);
  fixture.environment.advance(seconds(1));
  CHECK(fixture.peers.topics == std::set<Topic>{Topic::kConfiguration});
  fixture.reader.onSourceFailed(Topic::kServers);
  fixture.environment.advance(seconds(1));
  CHECK(fixture.peers.topics.size() == 2);
}

TEST_CASE("a node that knows no peers asks a node that connects to it") {
  ReaderFixture fixture;
  fixture.reader.onSourceFailed(Topic::kServers);
  fixture.environment.advance(seconds(1));
  CHECK(fixture.peers.hosts.empty());
  fixture.reader.addPeer("10.0.0.9");
  fixture.environment.advance(seconds(1));
  REQUIRE_FALSE(fixture.peers.hosts.empty());
  CHECK(fixture.peers.hosts[0] == "10.0.0.9");
  fixture.peers.last(std::optional<StateUpdate>(makeUpdate(5)));
  CHECK(fixture.learned == std::vector<std::uint64_t>{5});
}

TEST_CASE("only newer state of a peer is applied") {
  ReaderFixture fixture;
  fixture.reader.addPeer("10.0.0.9");
  fixture.hold(8);
  fixture.reader.onSourceAnswered(Topic::kServers);
  fixture.reader.onSourceFailed(Topic::kServers);
  fixture.environment.advance(seconds(1));
  CHECK(fixture.peers.last_question.after == Generation(8));
  CHECK_FALSE(fixture.peers.last_question.only_fresh);
  fixture.peers.last(std::optional<StateUpdate>(makeUpdate(8)));
  fixture.peers.last(std::optional<StateUpdate>());
  fixture.peers.last(Error{ErrorKind::kTimeout, "", ""});
  CHECK(fixture.learned.empty());
  fixture.peers.last(std::optional<StateUpdate>(makeUpdate(9)));
  CHECK(fixture.learned == std::vector<std::uint64_t>{9});
}

}  // namespace coursepond::source
