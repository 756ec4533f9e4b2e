// A whole node with the platform's adapter against the stand-in store, over real sockets: requests
// follow the state of the store, and failures of the store do not change what is in force.

#include "node_on_store.h"

#include <doctest/doctest.h>

namespace coursepond::platform {

TEST_CASE(
    "changes in the store take effect: a route, its change, a server that leaves and returns") {
  NodeOnStore bench;
  bench.configure(1, "/old/");
  bench.listServer("ready");
  bench.start();
  REQUIRE(bench.becomes("/old/x", 200));
  CHECK(bench.send("/old/x?y=1").body == "/old/x?y=1");

  bench.configure(3, "/new/");
  CHECK(bench.becomes("/new/x", 200));
  CHECK(bench.send("/old/x").status == 404);
  // An older version that arrives late is ignored.
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

// Guards against requests that run at the service of a route whose prefix does not begin their
// path.
TEST_CASE("a route takes no path that lacks the slash at the end of its prefix") {
  NodeOnStore bench;
  bench.configure(1, "/seats/free/");
  bench.listServer("ready");
  bench.start();
  REQUIRE(bench.becomes("/seats/free/x", 200));
  CHECK(bench.send("/seats/free/").status == 200);
  const std::size_t runs = bench.runs();
  CHECK(bench.send("/seats/free").status == 404);
  CHECK(bench.send("/seats/free?x=/").status == 404);
  CHECK(bench.runs() == runs);
}

TEST_CASE("a node that starts while the store is unavailable answers 503 until the store is back") {
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

TEST_CASE("failures of the store and an invalid configuration do not change what is in force") {
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
    // A change ends the node's pending read, so that its next one is affected by the trouble.
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

// Guards against requests that reach the servers of a drained zone because the node does not read
// the keys of drained zones.
TEST_CASE("a zone that operators drain gets no requests until they cancel the drain") {
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

// Guards against a service that stops for as long as the entry of another writer stands: a node
// that starts reads the list of servers page by page.
TEST_CASE("a node that starts while an entry has a key with special characters serves requests") {
  for (const std::string key : {"servers/a&b", "servers/a+b", "servers/a#b", "servers/a%b",
                                "servers/a b", "servers/a\nb"}) {
    CAPTURE(key);
    NodeOnStore bench;
    bench.store().setPageSize(1);
    bench.store().put(key, "written by another process");
    bench.configure(1, "/");
    bench.listServer("ready");
    bench.start();
    CHECK(bench.becomes("/x", 200));
  }
}

// Guards against a node that keeps using a server whose entry was overwritten by another writer.
TEST_CASE("a server whose entry becomes invalid is not used any more") {
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
