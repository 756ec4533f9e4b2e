#include "source/watch_loop.h"

#include <doctest/doctest.h>

#include "support/virtual_environment.h"

namespace coursepond::source {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A source that answers when the test says so.
class HeldClient final : public WatchClient {
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
  HeldClient client;
  WatchSettings settings;
  std::vector<std::uint64_t> revisions;
  std::vector<bool> complete;
  std::vector<ErrorKind> failures;
  WatchLoop loop;
};

}  // namespace

TEST_CASE("lists once, then goes on from the last revision") {
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

TEST_CASE("after a change it waits, so that several come in one read") {
  LoopFixture fixture;
  fixture.answer(LoopFixture::batch(10));
  fixture.answer(LoopFixture::batch(11, true));
  CHECK(fixture.client.reads.size() == 2);
  fixture.environment.advance(fixture.settings.gather);
  REQUIRE(fixture.client.reads.size() == 3);
  CHECK(fixture.client.reads[2].after == Generation(11));
}

TEST_CASE("what another node told is followed by the next question at once") {
  LoopFixture fixture;
  fixture.answer(LoopFixture::batch(4));
  WatchBatch told = LoopFixture::batch(6, true);
  told.is_relayed = true;
  const std::size_t before = fixture.client.reads.size();
  fixture.answer(told);
  // Whoever told it pauses between its own reads: two pauses would add up.
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

TEST_CASE("a list of an era before the one held is no list, and is asked for again after a pause") {
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

TEST_CASE("a failed read is repeated from where it was, after a growing pause") {
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

TEST_CASE("after a failure it asks what changed without waiting, so that silence shows soon") {
  LoopFixture fixture;
  fixture.answer(LoopFixture::batch(10));
  CHECK(fixture.client.reads.back().wait == fixture.settings.wait);
  fixture.fail(ErrorKind::kTimeout);
  fixture.environment.advance(fixture.settings.backoff_limit);
  CHECK(fixture.client.reads.back().wait == Duration(0));
  // From the end of a cut on, one failed read and one pause go by at most: within 2 s in all.
  CHECK(fixture.client.reads.back().timeout + fixture.settings.backoff_limit <= seconds(2));
  fixture.answer(LoopFixture::batch(10));
  CHECK(fixture.client.reads.back().wait == fixture.settings.wait);
}

TEST_CASE("lost history is listed anew at once, and with pauses when that fails too") {
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

TEST_CASE("a list from a replica that is behind changes nothing") {
  LoopFixture fixture;
  fixture.answer(LoopFixture::batch(10));
  fixture.fail(ErrorKind::kBaseMismatch);
  fixture.answer(LoopFixture::batch(8));
  CHECK(fixture.revisions == std::vector<std::uint64_t>{10});
  CHECK(fixture.client.reads.back().after == Generation(10));
}

TEST_CASE("an answer that comes after a stop, or twice, is ignored") {
  LoopFixture fixture;
  const WatchCallback first = fixture.client.reads[0].callback;
  first(LoopFixture::batch(10));
  first(LoopFixture::batch(11));
  CHECK(fixture.revisions.size() == 1);
  fixture.loop.stop();
  fixture.answer(LoopFixture::batch(12));
  CHECK(fixture.revisions.size() == 1);
}

TEST_CASE("what a peer told is not listed again") {
  LoopFixture fixture;
  fixture.fail(ErrorKind::kTimeout);
  fixture.loop.resumeFrom(Generation(40));
  CHECK(fixture.loop.hasListed());
  fixture.environment.advance(seconds(1));
  REQUIRE(fixture.client.reads.size() == 2);
  CHECK_FALSE(fixture.client.reads[1].is_list);
  CHECK(fixture.client.reads[1].after == Generation(40));
}

// A node whose source was silent took the servers of a peer, up to revision 227, while a read of
// its own was still under way. The answer to that read told of changes before: it took away eleven
// servers that were back by 227, and the next read went on from 227. The node, and those that
// followed it, were without them until the next list, and were not told when one of them left: it
// got requests for 3.08 s, where 3 s are allowed.
TEST_CASE("changes older than what another node told meanwhile are ignored") {
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

TEST_CASE("everything is listed anew now and then") {
  LoopFixture fixture;
  fixture.answer(LoopFixture::batch(10));
  fixture.environment.advance(fixture.settings.relist);
  fixture.answer(LoopFixture::batch(11));
  CHECK(fixture.client.reads.back().is_list);
}

}  // namespace coursepond::source
