// A whole node on a store that comes back from a copy some seconds old: what was acknowledged after
// it counts, and what was known before is not undone by the copy.

#include <doctest/doctest.h>

#include "node_on_store.h"

namespace coursepond::platform {
namespace {

using namespace std::chrono_literals;

/// A node that serves version 1 of a store, of which a copy is taken.
class RestoredStore : public NodeOnStore {
 public:
  RestoredStore() {
    configure(1, "/first/");
    listServer("ready");
    copy_ = store().copy();
    start();
    REQUIRE(becomes("/first/x", 200));
  }

  /// Other changes, so that revisions rise.
  void writeOthers(int count) {
    for (int left = count; left > 0; --left) store().put("other", std::to_string(left));
  }
  /// Lets the node's reads after a change end: it waits for the next one then.
  void settle() { context_.run_for(1s); }
  void pause() { context_.run_for(100ms); }
  /// The store is away until the node has noticed, and comes back from the copy.
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

TEST_CASE("changes acknowledged after the store came back from a copy are not missed") {
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

TEST_CASE("a leaving acknowledged before the store came back from a copy is not undone") {
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

TEST_CASE("a version is in force on, though the store came back from a copy with an older one") {
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

TEST_CASE("two restores, the second to before the first, lose no later change") {
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
