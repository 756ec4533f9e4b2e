// The reads of the platform's adapter over real sockets, against the stand-in store.

#include "store_client.h"

#include <doctest/doctest.h>

#include <boost/asio/steady_timer.hpp>

#include "runtime/asio_environment.h"
#include "source/watch_loop.h"
#include "store_stand_in.h"

namespace coursepond::platform {
namespace {

using source::WatchBatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Far longer than any read takes; expires only if the test is broken.
constexpr Duration kPatience = seconds(20);
constexpr Duration kShort = milliseconds(60);

std::string serverText(const std::string& address, const std::string& state = "ready") {
  return R"({"service":"s","address":")" + address + R"(","zone":"a","slots":3,"state":")" + state +
         R"("})";
}

constexpr char kConfiguration[] =
    R"({"version":"r3","resources":[
        {"entry_type":"services","metadata":{"name":"s"},"spec":{}},
        {"entry_type":"routes","metadata":{"name":"r"},"spec":{"host":"h","path_prefix":"/",
         "type":"safe","service":"s"}}]})";

/// Keys that contain no name of a server, before, between and after those of the servers.
const std::vector<std::string> kKeysWithoutName = {
    "servers/a&b",
    "servers/a&stale=1",
    "servers/a&after=servers/z",
    "servers/a+b",
    "servers/a#b",
    "servers/a%b",
    "servers/a%2Fb",
    "servers/a%00",
    "servers/a b",
    "servers/ ",
    "servers/a=b",
    "servers/a?b",
    "servers/a/b",
    "servers/a\"b\\c",
    "servers/a\nb",
    "servers/a\r\nHost: b",
    "servers/a\x7f"
    "b",
    "servers/\xc3\xa4",
    "servers/i-1&x",
    "servers/i-1 ",
    "servers/i-1%",
    "servers/i-2+x",
    "servers/z HTTP/1.1",
    std::string("servers/a\0b", 11),
};

/// Returns these keys, and one with which others begin.
std::vector<std::string> oddKeys() {
  std::vector<std::string> keys = kKeysWithoutName;
  keys.push_back("servers/i-");
  return keys;
}

std::vector<std::string> serverIds(const WatchBatch& batch) {
  std::vector<std::string> ids;
  for (const model::ServerEntry& entry : batch.servers) ids.push_back(entry.id.value());
  return ids;
}

struct Bench {
  boost::asio::io_context context;
  StoreStandIn store{context};
  source::RelaySettings settings;
  StoreClient servers{context, store.address(), source::Topic::kServers, settings};
  StoreClient configuration{context, store.address(), source::Topic::kConfiguration, settings};

  Bench() {
    store.put("op/config", kConfiguration);
    store.put("servers/i-1", serverText("10.0.0.1:80"));
    store.put("servers/i-2", serverText("10.0.0.2:80"));
  }

  template <typename Start>
  Result<WatchBatch> await(const Start& start) {
    std::optional<Result<WatchBatch>> answer;
    start([&](Result<WatchBatch> batch) {
      answer = std::move(batch);
      context.stop();
    });
    context.restart();
    context.run_for(kPatience);
    REQUIRE(answer.has_value());
    return std::move(*answer);
  }
  Result<WatchBatch> list(Duration timeout = kPatience) {
    return await(
        [&](source::WatchCallback callback) { servers.list(timeout, std::move(callback)); });
  }
  Result<WatchBatch> listConfiguration() {
    return await([&](source::WatchCallback callback) {
      configuration.list(kPatience, std::move(callback));
    });
  }
  Result<WatchBatch> watchConfiguration(std::uint64_t after, Duration wait) {
    return await([&](source::WatchCallback callback) {
      configuration.watch(Generation(after), wait, kPatience, std::move(callback));
    });
  }
  Result<WatchBatch> watch(std::uint64_t after, Duration wait, Duration timeout = kPatience) {
    return await([&](source::WatchCallback callback) {
      servers.watch(Generation(after), wait, timeout, std::move(callback));
    });
  }
};

}  // namespace

TEST_CASE("each topic is read separately, without changes of the other one") {
  Bench bench;
  const auto servers = bench.list();
  REQUIRE(servers.has_value());
  CHECK(servers->configurations.empty());
  const auto configuration = bench.listConfiguration();
  REQUIRE(configuration.has_value());
  CHECK(configuration->servers.empty());
  CHECK(configuration->configurations.size() == 1);

  bench.store.put("op/config", kConfiguration);
  bench.store.remove("servers/i-1");
  const auto ended = bench.watch(3, seconds(2));
  CHECK(ended->configurations.empty());
  CHECK(ended->removed_servers.size() == 1);
  const auto changed = bench.watchConfiguration(3, seconds(2));
  CHECK(changed->configurations.size() == 1);
  CHECK(changed->removed_servers.empty());
  // Both topics continue from the same revision, since the store has a single counter.
  CHECK(ended->revision == Generation(5));
  CHECK(changed->revision == Generation(5));
}

TEST_CASE("a list returns everything page by page, with the revision of the first page") {
  Bench bench;
  for (const std::size_t page_size : {1, 2, 3, 500}) {
    CAPTURE(page_size);
    bench.store.setPageSize(page_size);
    const auto batch = bench.list();
    REQUIRE(batch.has_value());
    CHECK(batch->revision == Generation(3));
    CHECK(batch->servers.size() == 2);
    const auto configuration = bench.listConfiguration();
    REQUIRE(configuration.has_value());
    CHECK(configuration->revision == Generation(3));
    REQUIRE(configuration->configurations.size() == 1);
    CHECK(configuration->configurations[0]->version == Version(3));
  }
}

// Guards against a list that fails, or ends early, because the key at the end of a page is sent to
// the store as it is: with such an entry no process had a list of servers after a restart.
TEST_CASE("an entry whose key holds characters of a query does not end the list of servers") {
  for (const std::string& key : oddKeys()) {
    for (const std::size_t page_size : {1, 2, 3, 500}) {
      CAPTURE(key);
      CAPTURE(page_size);
      Bench bench;
      bench.store.put(key, "written by another process");
      bench.store.setPageSize(page_size);
      const auto list = bench.list();
      REQUIRE(list.has_value());
      CHECK(serverIds(*list) == std::vector<std::string>{"i-1", "i-2"});
      CHECK(list->rejected.size() == 1);
    }
  }
}

// Guards against requests that are sent to an instance that does not exist, and against header
// lines in its id: the entry counts as another server, and at its address as the newest one.
TEST_CASE("an entry under a key without a name is no server, whatever its value") {
  for (const std::string& key : kKeysWithoutName) {
    CAPTURE(key);
    Bench bench;
    bench.store.put(key, serverText("10.0.0.1:80"));
    const auto list = bench.list();
    REQUIRE(list.has_value());
    CHECK(serverIds(*list) == std::vector<std::string>{"i-1", "i-2"});
    const auto watch = bench.watch(3, Duration(0));
    REQUIRE(watch.has_value());
    CHECK(watch->servers.empty());
    CHECK(watch->removed_servers.empty());
    bench.store.remove(key);
    CHECK(bench.watch(4, Duration(0))->removed_servers.empty());
  }
}

TEST_CASE("a zone under a key without a name is not drained") {
  Bench bench;
  for (const std::string name : {"", "a,b", "a b", "a\r\nb"}) {
    bench.store.put("op/evacuate/" + name, "{}");
  }
  bench.store.put("op/evacuate/north", "{}");
  const auto list = bench.listConfiguration();
  REQUIRE(list.has_value());
  REQUIRE(list->zone_changes.size() == 1);
  CHECK(list->zone_changes[0].zone == ZoneId("north"));
}

TEST_CASE("an item without a key at the end of a page does not end the list of servers") {
  Bench bench;
  bench.store.put("servers/i-10", "written by another process");
  bench.store.hideKey("servers/i-10");
  bench.store.setPageSize(2);
  const auto list = bench.list();
  REQUIRE(list.has_value());
  CHECK(serverIds(*list) == std::vector<std::string>{"i-1", "i-2"});
}

// Guards against a page, or the answer to a watch, that is refused whole for one key.
TEST_CASE("an entry whose key is not UTF-8 does not hide the other entries") {
  for (const std::string key : {"servers/a\xff", "servers/\xc3", "servers/i-1\x80",
                                "servers/\xed\xa0\x80", "servers/z\xfe\xff"}) {
    for (const std::size_t page_size : {1, 2, 500}) {
      CAPTURE(key);
      CAPTURE(page_size);
      Bench bench;
      bench.store.setPageSize(page_size);
      bench.store.put(key, serverText("10.0.0.9:80"));
      const auto list = bench.list();
      REQUIRE(list.has_value());
      CHECK(serverIds(*list) == std::vector<std::string>{"i-1", "i-2"});
      bench.store.put("servers/i-2", serverText("10.0.0.2:80", "draining"));
      const auto watch = bench.watch(3, Duration(0));
      REQUIRE(watch.has_value());
      CHECK(serverIds(*watch) == std::vector<std::string>{"i-2"});
    }
  }
}

// Guards against a part of a list that passes for the whole: the other servers would be removed.
TEST_CASE("a list of which only a part can be read fails") {
  Bench bench;
  SUBCASE("because a page has no readable key") {
    bench.store.put("servers/i-10", "written by another process");
    bench.store.hideKey("servers/i-10");
    bench.store.setPageSize(1);
  }
  SUBCASE("because the store does not continue after a key") {
    bench.store.ignoreAfter();
    bench.store.setPageSize(1);
  }
  const std::size_t reads = bench.store.reads();
  const auto list = bench.list();
  REQUIRE(list.has_error());
  CHECK(list.error().kind == ErrorKind::kMalformed);
  CHECK(bench.store.reads() - reads <= 2);
}

TEST_CASE("a watch returns the changes since its revision at once if there are any") {
  Bench bench;
  bench.store.remove("servers/i-1");
  bench.store.put("servers/i-2", serverText("10.0.0.2:80", "draining"));
  const auto batch = bench.watch(3, seconds(2));
  REQUIRE(batch.has_value());
  CHECK(batch->revision == Generation(5));
  CHECK(batch->removed_servers == std::vector{EndpointId("i-1")});
  REQUIRE(batch->servers.size() == 1);
  CHECK(batch->servers[0].state == model::MachineState::kLeaving);
}

TEST_CASE("a watch waits for a change, and one without a wait returns an empty batch at once") {
  Bench bench;
  boost::asio::steady_timer change(bench.context, milliseconds(30));
  change.async_wait([&](boost::system::error_code) { bench.store.remove("servers/i-2"); });
  CHECK(bench.watch(3, seconds(2))->removed_servers.size() == 1);
  const auto nothing = bench.watch(4, Duration(0));
  REQUIRE(nothing.has_value());
  CHECK(nothing->revision == Generation(4));
  CHECK(nothing->servers.empty());
}

TEST_CASE("each failure of the store gives its own kind of error, and the next read succeeds") {
  struct Case {
    StoreTrouble trouble;
    ErrorKind kind;
  };
  Bench bench;
  for (const Case& expected : {Case{StoreTrouble::kBusy, ErrorKind::kUnavailable},
                               Case{StoreTrouble::kThrottled, ErrorKind::kOverloaded},
                               Case{StoreTrouble::kSilent, ErrorKind::kTimeout},
                               Case{StoreTrouble::kReset, ErrorKind::kUnavailable},
                               Case{StoreTrouble::kGarbled, ErrorKind::kMalformed}}) {
    CAPTURE(static_cast<int>(expected.trouble));
    bench.store.setTrouble(expected.trouble);
    const bool is_silent = expected.trouble == StoreTrouble::kSilent;
    const Duration timeout = is_silent ? kShort : kPatience;
    const auto failed_list = bench.list(timeout);
    REQUIRE(failed_list.has_error());
    CHECK(failed_list.error().kind == expected.kind);
    const auto failed_watch = bench.watch(3, Duration(0), timeout);
    REQUIRE(failed_watch.has_error());
    CHECK(failed_watch.error().kind == expected.kind);
    CHECK_FALSE(failed_watch.error().remedy.empty());
    bench.store.setTrouble(StoreTrouble::kNone);
    CHECK(bench.list().has_value());
  }
}

TEST_CASE("a watch of many versions is aborted as too large, a watch of one is not") {
  Bench bench;
  const std::string routes(200'000, ' ');
  const auto write = [&] { bench.store.put("op/config", std::string(kConfiguration) + routes); };
  write();
  const Result<WatchBatch> list = bench.listConfiguration();
  REQUIRE(list.has_value());
  CHECK(list->bytes > routes.size());
  const std::uint64_t listed = list->revision.number.value();
  write();
  CHECK(bench.watchConfiguration(listed, Duration(0)).has_value());
  write();
  write();
  const Result<WatchBatch> many = bench.watchConfiguration(listed, Duration(0));
  REQUIRE_FALSE(many.has_value());
  CHECK(many.error().kind == ErrorKind::kTooLarge);
  CHECK(bench.listConfiguration().has_value());
}

TEST_CASE("lost history is reported as kBaseMismatch, and the loop lists again") {
  Bench bench;
  bench.store.put("servers/i-3", serverText("10.0.0.3:80"));
  bench.store.forgetHistory();
  CHECK(bench.watch(3, Duration(0)).error().kind == ErrorKind::kBaseMismatch);

  runtime::AsioEnvironment environment(bench.context);
  const source::WatchSettings settings;
  std::size_t lists = 0;
  source::WatchLoop loop(
      settings, bench.servers, environment,
      [&](const WatchBatch& batch, bool is_complete) {
        if (!is_complete) return;
        ++lists;
        CHECK(batch.servers.size() == 3);
        if (lists == 2) return bench.context.stop();
        // The store drops this change from its history before the loop watches for it.
        bench.store.put("other", "");
        bench.store.forgetHistory();
      },
      [](const Error&) {});
  loop.start();
  bench.context.restart();
  bench.context.run_for(kPatience);
  CHECK(lists == 2);
  CHECK(loop.statistics().history_lost == 1);
}

TEST_CASE("a list whose pages are of two eras fails, and the next list succeeds") {
  Bench bench;
  bench.store.setPageSize(1);
  const auto copy = bench.store.copy();
  bench.store.setDelay(kShort);
  std::optional<Result<WatchBatch>> answer;
  bench.servers.list(kPatience, [&](Result<WatchBatch> batch) { answer = std::move(batch); });
  // Between the first page and the second.
  bench.context.run_for(kShort * 3 / 2);
  bench.store.restore(*copy);
  bench.context.restart();
  bench.context.run_for(kShort * 2);
  REQUIRE(answer.has_value());
  REQUIRE(answer->has_error());
  CHECK(answer->error().kind == ErrorKind::kBaseMismatch);
  const auto whole = bench.list();
  REQUIRE(whole.has_value());
  CHECK(whole->revision == SourceRevision(Era(1), Generation(3)));
  CHECK(whole->servers.front().revision.era == Era(1));
}

TEST_CASE("a watch from another era fails, even if its revision number is known") {
  Bench bench;
  const auto copy = bench.store.copy();
  bench.store.put("servers/i-3", serverText("10.0.0.3:80"));
  bench.store.restore(*copy);
  bench.store.put("servers/i-4", serverText("10.0.0.4:80"));
  bench.store.put("servers/i-5", serverText("10.0.0.5:80"));
  for (const std::uint64_t number : {4, 5, 9}) {
    CAPTURE(number);
    const auto batch = bench.watch(number, kShort);
    REQUIRE(batch.has_error());
    CHECK(batch.error().kind == ErrorKind::kBaseMismatch);
  }
}

TEST_CASE("a watch that waits while the store is restored from a copy fails") {
  Bench bench;
  const auto copy = bench.store.copy();
  std::optional<Result<WatchBatch>> answer;
  bench.servers.watch(Generation(3), kPatience / 2, kPatience,
                      [&](Result<WatchBatch> batch) { answer = std::move(batch); });
  bench.context.run_for(kShort);
  bench.store.restore(*copy);
  bench.store.put("servers/i-3", serverText("10.0.0.3:80"));
  bench.context.restart();
  bench.context.run_for(kShort * 4);
  REQUIRE(answer.has_value());
  CHECK(answer->has_error());
}

TEST_CASE("a refusal with a later era keeps its own kind of error") {
  Bench bench;
  bench.store.restore(*bench.store.copy());
  bench.store.setTrouble(StoreTrouble::kBusy);
  const auto refused = bench.watch(3, kShort);
  REQUIRE(refused.has_error());
  CHECK(refused.error().kind == ErrorKind::kUnavailable);
  bench.store.setTrouble(StoreTrouble::kNone);
  // The restore is still detected by the next watch.
  CHECK(bench.watch(3, kShort).error().kind == ErrorKind::kBaseMismatch);
}

}  // namespace coursepond::platform
