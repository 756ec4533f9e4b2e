// A whole node on the adapter and the stand-in store, over real sockets: what the store says is
// what requests get, and its troubles change nothing that is in force.

#include "node_on_store.h"

#include <doctest/doctest.h>

namespace coursepond::platform {

TEST_CASE(
    "what the store says is in force: a route, its change, a server that leaves and returns") {
  NodeOnStore bench;
  bench.configure(1, "/old/");
  bench.listServer("ready");
  bench.start();
  REQUIRE(bench.becomes("/old/x", 200));
  CHECK(bench.send("/old/x?y=1").body == "/old/x?y=1");

  bench.configure(3, "/new/");
  CHECK(bench.becomes("/new/x", 200));
  CHECK(bench.send("/old/x").status == 404);
  // An older version that shows up late changes nothing.
  bench.configure(2, "/old/");
  bench.listServer("draining");
  CHECK(bench.becomes("/new/x", 503));
  CHECK(bench.send("/old/x").status == 404);
  const std::size_t runs = bench.runs();
  CHECK(runtime::findHeader(bench.send("/new/x").headers, "Retry-After").has_value());
  CHECK(bench.runs() == runs);

  bench.store().remove(kServerKey);
  bench.listServer("ready");
  CHECK(bench.becomes("/new/x", 200));
}

TEST_CASE("a node that starts while the store is away says that it has not run, until it is back") {
  for (const StoreTrouble trouble :
       {StoreTrouble::kBusy, StoreTrouble::kThrottled, StoreTrouble::kReset}) {
    CAPTURE(static_cast<int>(trouble));
    NodeOnStore bench;
    bench.configure(1, "/");
    bench.listServer("ready");
    bench.store().setTrouble(trouble);
    bench.start();
    CHECK(bench.send("/x").status == 503);
    CHECK(bench.runs() == 0);
    bench.store().setTrouble(StoreTrouble::kNone);
    CHECK(bench.becomes("/x", 200));
  }
}

TEST_CASE("the store's troubles and a bad configuration change nothing that is in force") {
  NodeOnStore bench;
  bench.configure(1, "/");
  bench.listServer("ready");
  bench.start();
  REQUIRE(bench.becomes("/x", 200));
  for (const StoreTrouble trouble : {StoreTrouble::kBusy, StoreTrouble::kThrottled,
                                     StoreTrouble::kReset, StoreTrouble::kGarbled}) {
    CAPTURE(static_cast<int>(trouble));
    bench.store().setTrouble(trouble);
    const std::size_t reads = bench.store().reads();
    // A change that the trouble hides, so that the node's read comes back and meets it.
    bench.store().put("other", "");
    CHECK(bench.runUntil([&] { return bench.store().reads() > reads; }));
    CHECK(bench.send("/x").status == 200);
  }
  bench.store().setTrouble(StoreTrouble::kNone);
  bench.store().put("op/config", "{\"version\":\"r9\",\"resources\":[{}]}");
  bench.store().put("servers/i-2", "not json");
  bench.store().forgetHistory();
  const std::size_t reads = bench.store().reads();
  CHECK(bench.runUntil([&] { return bench.store().reads() > reads + 1; }));
  CHECK(bench.send("/x").status == 200);
  bench.configure(10, "/later/");
  CHECK(bench.becomes("/later/x", 200));
}

// Operators emptied a zone and requests went on reaching its servers, by thousands: nobody read the
// key that says so.
TEST_CASE("a zone that operators drain gets nothing until they take that back") {
  NodeOnStore bench;
  bench.configure(1, "/");
  bench.listServer("ready");
  SUBCASE("also when it was drained before the node started") {
    bench.store().put("op/evacuate/a", "{}");
    bench.start();
  }
  SUBCASE("while the node serves") {
    bench.start();
    REQUIRE(bench.becomes("/x", 200));
    bench.store().put("op/evacuate/a", "{}");
  }
  CHECK(bench.becomes("/x", 503));
  const std::size_t runs = bench.runs();
  CHECK(bench.send("/x").status == 503);
  CHECK(bench.runs() == runs);
  bench.store().remove("op/evacuate/a");
  CHECK(bench.becomes("/x", 200));
}

// A node kept using a server whose entry another writer had overwritten.
TEST_CASE("an entry that becomes unreadable names no server any more") {
  NodeOnStore bench;
  bench.configure(1, "/");
  bench.listServer("ready");
  bench.start();
  REQUIRE(bench.becomes("/x", 200));
  bench.store().put(kServerKey, R"({"service":"stock","state":"sleeping"})");
  CHECK(bench.becomes("/x", 503));
  bench.listServer("ready");
  CHECK(bench.becomes("/x", 200));
}

}  // namespace coursepond::platform
