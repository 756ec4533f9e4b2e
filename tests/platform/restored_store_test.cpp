// A whole node on a store that is restored from a copy some seconds old: changes acknowledged after
// the restore take effect, and the copy does not undo what the node knew before.

#include <doctest/doctest.h>

#include "node_on_store.h"

namespace coursepond::platform {
namespace {

using namespace std::chrono_literals;

/// A node that serves version 1 from a store, and a copy of the store at that time.
class RestoredStore : public NodeOnStore {
 public:
  RestoredStore() {
    configure(1, "/first/");
    listServer("ready");
    copy_ = store().copy();
    start();
    REQUIRE(becomes("/first/x", 200));
  }

  /// Writes unrelated changes, so that the revision increases.
  void writeOthers(int count) {
    for (int left = count; left > 0; --left) store().put("other", std::to_string(left));
  }
  /// Lets the node finish its reads after a change, so that it waits for the next change.
  void settle() { context_.run_for(1s); }
  void pause() { context_.run_for(100ms); }
  /// Makes the store unavailable until the node has noticed, and restores it from the copy.
  void restore() {
    store().setTrouble(StoreTrouble::kBusy);
    store().cutWatches();
    const std::size_t reads = store().reads();
    REQUIRE(runUntil([&] { return store().reads() > reads + 1; }));
    store().restore(*copy_);
    store().setTrouble(StoreTrouble::kNone);
  }

 private:
  std::shared_ptr<const StoreStandIn::Copy> copy_;
};

}  // namespace

TEST_CASE("changes acknowledged after the store was restored from a copy are not missed") {
  RestoredStore bench;
  bench.writeOthers(40);
  bench.configure(2, "/second/");
  REQUIRE(bench.becomes("/second/x", 200));
  bench.settle();
  bench.restore();
  bench.configure(5, "/third/");
  SUBCASE("while its revisions are below those that the node holds") {}
  SUBCASE("when its revisions have passed those before the node's next read") {
    bench.writeOthers(100);
  }
  CHECK(bench.becomes("/third/x", 200));
  bench.listServer("draining");
  CHECK(bench.becomes("/third/x", 503));
}

TEST_CASE("a leaving acknowledged before the store was restored from a copy is not undone") {
  RestoredStore bench;
  bench.listServer("draining");
  REQUIRE(bench.becomes("/first/x", 503));
  bench.restore();
  bench.writeOthers(3);
  const std::size_t runs = bench.runs();
  for (int left = 10; left > 0; --left) {
    CHECK(bench.send("/first/x").status == 503);
    bench.pause();
  }
  CHECK(bench.runs() == runs);
}

TEST_CASE("a version stays in force when the store is restored from a copy with an older one") {
  RestoredStore bench;
  bench.configure(2, "/second/");
  REQUIRE(bench.becomes("/second/x", 200));
  bench.restore();
  for (int left = 10; left > 0; --left) {
    CHECK(bench.send("/second/x").status == 200);
    CHECK(bench.send("/first/x").status != 200);
    bench.pause();
  }
}

TEST_CASE("changes after two restores from the same copy are not missed") {
  RestoredStore bench;
  bench.writeOthers(20);
  bench.configure(2, "/second/");
  REQUIRE(bench.becomes("/second/x", 200));
  bench.restore();
  bench.writeOthers(5);
  bench.restore();
  bench.configure(3, "/third/");
  CHECK(bench.becomes("/third/x", 200));
}

}  // namespace coursepond::platform
