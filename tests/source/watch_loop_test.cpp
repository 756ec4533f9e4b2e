#include "source/watch_loop.h"

#include <doctest/doctest.h>

#include "support/virtual_environment.h"

namespace coursepond::source {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A source whose reads the test answers.
class ControlledClient final : public WatchClient {
 public:
  struct Read {
    bool is_list = false;
    SourceRevision after;
    Duration wait{};
    Duration timeout{};
    WatchCallback callback;
  };

  void list(Duration timeout, WatchCallback callback) override {
    reads.push_back({true, Generation(), Duration(0), timeout, std::move(callback)});
  }
  void watch(SourceRevision after, Duration wait, Duration timeout,
             WatchCallback callback) override {
    reads.push_back({false, after, wait, timeout, std::move(callback)});
  }

  std::vector<Read> reads;
};

class LoopFixture {
 public:
  LoopFixture()
      : loop(
            settings, client, environment,
            [this](const WatchBatch& batch, bool is_complete) {
              revisions.push_back(batch.revision.number.value());
              complete.push_back(is_complete);
            },
            [this](const Error& error) { failures.push_back(error.kind); }) {
    loop.start();
  }

  static WatchBatch batch(std::uint64_t revision, bool has_change = false) {
    WatchBatch batch;
    batch.revision = Generation(revision);
    if (has_change) batch.servers.emplace_back();
    return batch;
  }
  void answer(const Result<WatchBatch>& answer) {
    // A copy: the call may add reads.
    const WatchCallback callback = client.reads.back().callback;
    callback(answer);
  }
  void fail(ErrorKind kind) { answer(Error{kind, "", ""}); }

  proxy::VirtualEnvironment environment;
  ControlledClient client;
  WatchSettings settings;
  std::vector<std::uint64_t> revisions;
  std::vector<bool> complete;
  std::vector<ErrorKind> failures;
  WatchLoop loop;
};

}  // namespace

TEST_CASE("a loop lists once, then watches from the last revision") {
  LoopFixture fixture;
  REQUIRE(fixture.client.reads.size() == 1);
  CHECK(fixture.client.reads[0].is_list);
  fixture.answer(LoopFixture::batch(10));
  REQUIRE(fixture.client.reads.size() == 2);
  CHECK_FALSE(fixture.client.reads[1].is_list);
  CHECK(fixture.client.reads[1].after == Generation(10));
  fixture.answer(LoopFixture::batch(12));
  CHECK(fixture.client.reads[2].after == Generation(12));
  CHECK(fixture.revisions == std::vector<std::uint64_t>{10, 12});
  CHECK(fixture.complete == std::vector<bool>{true, false});
}

TEST_CASE("after a change the loop pauses, so that several changes are returned by one read") {
  LoopFixture fixture;
  fixture.answer(LoopFixture::batch(10));
  fixture.answer(LoopFixture::batch(11, true));
  CHECK(fixture.client.reads.size() == 2);
  fixture.environment.advance(fixture.settings.gather);
  REQUIRE(fixture.client.reads.size() == 3);
  CHECK(fixture.client.reads[2].after == Generation(11));
}

// Guards against a version in force late because a pause follows a slow transfer, during which the
// version was written.
TEST_CASE("the time in which an answer arrived shortens the pause after it") {
  LoopFixture fixture;
  fixture.answer(LoopFixture::batch(10));
  WatchBatch slow = LoopFixture::batch(11, true);
  slow.transfer_time = fixture.settings.gather - milliseconds(100);
  fixture.answer(slow);
  CHECK(fixture.client.reads.size() == 2);
  fixture.environment.advance(milliseconds(100));
  REQUIRE(fixture.client.reads.size() == 3);
  WatchBatch slower = LoopFixture::batch(12, true);
  slower.transfer_time = fixture.settings.gather + milliseconds(100);
  fixture.answer(slower);
  CHECK(fixture.client.reads.size() == 4);
}

TEST_CASE("there is no pause after a relayed answer") {
  LoopFixture fixture;
  fixture.answer(LoopFixture::batch(4));
  WatchBatch relayed = LoopFixture::batch(6, true);
  relayed.is_relayed = true;
  const std::size_t before = fixture.client.reads.size();
  fixture.answer(relayed);
  // The other node pauses between its own reads, and the two pauses would add up.
  CHECK(fixture.client.reads.size() == before + 1);
  CHECK(fixture.client.reads.back().after == Generation(6));
}

TEST_CASE("a source that loses its history after each list is not read without a pause") {
  LoopFixture fixture;
  fixture.answer(LoopFixture::batch(10));
  fixture.fail(ErrorKind::kBaseMismatch);
  REQUIRE(fixture.client.reads.back().is_list);
  fixture.answer(LoopFixture::batch(11));
  const std::size_t reads = fixture.client.reads.size();
  fixture.fail(ErrorKind::kBaseMismatch);
  CHECK(fixture.client.reads.size() == reads);
  fixture.environment.advance(fixture.settings.backoff_limit);
  REQUIRE(fixture.client.reads.size() == reads + 1);
  CHECK(fixture.client.reads.back().is_list);
}

TEST_CASE(
    "a list of an earlier era than the held one is ignored and requested again after a pause") {
  LoopFixture fixture;
  WatchBatch list;
  list.revision = {Era(2), Generation(10)};
  fixture.answer(list);
  fixture.fail(ErrorKind::kBaseMismatch);
  fixture.answer(LoopFixture::batch(90));
  const std::size_t reads = fixture.client.reads.size();
  CHECK(fixture.revisions == std::vector<std::uint64_t>{10});
  fixture.environment.advance(fixture.settings.backoff_limit);
  REQUIRE(fixture.client.reads.size() == reads + 1);
  CHECK(fixture.client.reads.back().is_list);
  CHECK(fixture.failures.back() == ErrorKind::kUnavailable);
}

TEST_CASE("a failed read is retried from the same revision after a pause") {
  LoopFixture fixture;
  fixture.answer(LoopFixture::batch(10));
  for (int failure = 0; failure < 6; ++failure) {
    const std::size_t reads = fixture.client.reads.size();
    fixture.fail(ErrorKind::kTimeout);
    CHECK(fixture.client.reads.size() == reads);
    fixture.environment.advance(fixture.settings.backoff_limit);
    REQUIRE(fixture.client.reads.size() == reads + 1);
    CHECK(fixture.client.reads.back().after == Generation(10));
  }
  CHECK(fixture.failures.size() == 6);
}

TEST_CASE("after a failure the loop reads without waiting for a change, to detect silence soon") {
  LoopFixture fixture;
  fixture.answer(LoopFixture::batch(10));
  CHECK(fixture.client.reads.back().wait == fixture.settings.wait);
  fixture.fail(ErrorKind::kTimeout);
  fixture.environment.advance(fixture.settings.backoff_limit);
  CHECK(fixture.client.reads.back().wait == Duration(0));
  // After the end of a network partition, at most one failed read and one pause pass: 2 s in total.
  CHECK(fixture.client.reads.back().timeout + fixture.settings.backoff_limit <= seconds(2));
  fixture.answer(LoopFixture::batch(10));
  CHECK(fixture.client.reads.back().wait == fixture.settings.wait);
}

TEST_CASE("after lost history the loop lists at once, and with pauses if that fails") {
  LoopFixture fixture;
  fixture.answer(LoopFixture::batch(10));
  fixture.fail(ErrorKind::kBaseMismatch);
  REQUIRE(fixture.client.reads.size() == 3);
  CHECK(fixture.client.reads[2].is_list);
  fixture.fail(ErrorKind::kUnavailable);
  CHECK(fixture.client.reads.size() == 3);
  fixture.environment.advance(seconds(1));
  REQUIRE(fixture.client.reads.size() == 4);
  CHECK(fixture.client.reads[3].is_list);
  fixture.answer(LoopFixture::batch(30));
  CHECK(fixture.client.reads.back().after == Generation(30));
}

TEST_CASE("a list from a replica that lags behind is ignored") {
  LoopFixture fixture;
  fixture.answer(LoopFixture::batch(10));
  fixture.fail(ErrorKind::kBaseMismatch);
  fixture.answer(LoopFixture::batch(8));
  CHECK(fixture.revisions == std::vector<std::uint64_t>{10});
  CHECK(fixture.client.reads.back().after == Generation(10));
}

TEST_CASE("a second answer to a read, or an answer after stop(), is ignored") {
  LoopFixture fixture;
  const WatchCallback first = fixture.client.reads[0].callback;
  first(LoopFixture::batch(10));
  first(LoopFixture::batch(11));
  CHECK(fixture.revisions.size() == 1);
  fixture.loop.stop();
  fixture.answer(LoopFixture::batch(12));
  CHECK(fixture.revisions.size() == 1);
}

TEST_CASE("after state from a peer the loop watches instead of listing again") {
  LoopFixture fixture;
  fixture.fail(ErrorKind::kTimeout);
  fixture.loop.resumeFrom(Generation(40));
  CHECK(fixture.loop.hasListed());
  fixture.environment.advance(seconds(1));
  REQUIRE(fixture.client.reads.size() == 2);
  CHECK_FALSE(fixture.client.reads[1].is_list);
  CHECK(fixture.client.reads[1].after == Generation(40));
}

// Guards against a stale answer that removes servers. A node whose source was silent applied a
// peer's servers up to revision 227 while a read of its own was in flight. The answer to that read
// contained earlier changes and removed servers that were back at revision 227, and the next read
// continued from 227. Until the next list, the node and its followers lacked these servers and did
// not notice when one of them left: it received requests for longer than the allowed 3 s.
TEST_CASE("changes older than the state received from a peer in the meantime are ignored") {
  LoopFixture fixture;
  fixture.answer(LoopFixture::batch(200));
  fixture.loop.resumeFrom(Generation(227));
  const std::size_t reads = fixture.client.reads.size();
  WatchBatch older = LoopFixture::batch(219);
  older.removed_servers.emplace_back("server-1");
  fixture.answer(older);
  CHECK(fixture.revisions == std::vector<std::uint64_t>{200});
  REQUIRE(fixture.client.reads.size() == reads + 1);
  CHECK(fixture.client.reads.back().after == Generation(227));
  fixture.answer(LoopFixture::batch(230));
  CHECK(fixture.revisions == std::vector<std::uint64_t>{200, 230});
}

TEST_CASE("everything is listed again after the relist interval") {
  LoopFixture fixture;
  fixture.answer(LoopFixture::batch(10));
  fixture.environment.advance(fixture.settings.relist);
  fixture.answer(LoopFixture::batch(11));
  CHECK(fixture.client.reads.back().is_list);
}

}  // namespace coursepond::source
