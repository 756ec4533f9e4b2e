#include "store_answers.h"

#include <doctest/doctest.h>

namespace coursepond::platform {
namespace {

using std::chrono::milliseconds;

constexpr char kConfiguration[] = R"({"version":"r7","resources":[
 {"entry_type":"routes","metadata":{"name":"seat"},"spec":{"host":"a.example","path_prefix":"/x/",
  "type":"unsafe","timeout":"2.5s","target_latency":"800ms","priority":1,"service":"s1",
  "max_attempts":2}},
 {"entry_type":"routes","metadata":{"name":"read"},"spec":{"host":"a.example","path_prefix":"/y/",
  "type":"safe","target_latency":"600ms","priority":2,"max_attempts":3,
  "allowed_regions":["west","east"],"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}},
 {"entry_type":"services","metadata":{"name":"s1"},"spec":{"max_connections":130}},
 {"entry_type":"services","metadata":{"name":"s2"},"spec":{}},
 {"entry_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":1048576,
  "header_timeout":"3000ms","idle_timeout":"15s"}},
 {"entry_type":"something_new","metadata":{"name":"n"},"spec":{}}]})";

constexpr char kServer[] =
    R"({"service":"s1","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":18,
        "state":"draining","cold_remaining":"1500ms","born":1791000000123,"sequence":4})";

}  // namespace

TEST_CASE("durations are a number and a unit") {
  CHECK(decodeDuration("1500ms") == milliseconds(1500));
  CHECK(decodeDuration("2.5s") == milliseconds(2500));
  for (const char* text : {"", "5", "ms", "-1s", "1m", "1 s", "nan s", "1e300s"}) {
    CHECK_FALSE(decodeDuration(text).has_value());
  }
}

// Guards against a route that takes the path without the slash at the end of its prefix.
TEST_CASE("a path prefix is compared with its slash") {
  const auto configuration = decodeConfiguration(kConfiguration);
  REQUIRE(configuration.has_value());
  const model::RouteMatch& match = configuration->routes.at(RouteName("seat")).match;
  CHECK(match.path_prefix == "/x/");
  CHECK(match.prefix_match == model::PrefixMatch::kText);
}

TEST_CASE("a configuration is decoded to the product's model without unknown entry types") {
  const auto configuration = decodeConfiguration(kConfiguration);
  REQUIRE(configuration.has_value());
  CHECK(configuration->version == Version(7));
  CHECK(configuration->services.size() == 2);
  CHECK(configuration->services.at(ServiceName("s1")).connections_per_server == 130);
  const model::Route& seat = configuration->routes.at(RouteName("seat"));
  CHECK(seat.repeatability == model::Repeatability::kNever);
  CHECK(seat.longest_hold == milliseconds(2500));
  CHECK(seat.target_latency == milliseconds(800));
  CHECK(seat.rank == 1);
  CHECK(seat.max_attempts == 2);
  const model::Route& read = configuration->routes.at(RouteName("read"));
  CHECK(read.repeatability == model::Repeatability::kAlways);
  CHECK(read.longest_hold == Duration(0));
  REQUIRE(read.split.size() == 2);
  CHECK(read.split[1].weight == 10);
  CHECK(read.regions == std::vector{RegionId("east"), RegionId("west")});
  CHECK(seat.regions.empty());
  CHECK(configuration->limits.idle_timeout == std::chrono::seconds(15));
}

TEST_CASE("a route of type upload must not be retried") {
  std::string text = kConfiguration;
  text.replace(text.find("unsafe"), 6, "upload");
  const auto configuration = decodeConfiguration(text);
  REQUIRE(configuration.has_value());
  const model::Route& seat = configuration->routes.at(RouteName("seat"));
  CHECK(seat.repeatability == model::Repeatability::kNever);
}

TEST_CASE("a route of type download may be retried") {
  std::string text = kConfiguration;
  text.replace(text.find("\"safe\""), 6, "\"download\"");
  const auto configuration = decodeConfiguration(text);
  REQUIRE(configuration.has_value());
  const model::Route& read = configuration->routes.at(RouteName("read"));
  CHECK(read.repeatability == model::Repeatability::kAlways);
}

namespace {

/// Returns a configuration with one tenant for each spec, given as the fields of the spec.
std::string withTenants(std::initializer_list<std::string> specs) {
  std::string text = R"({"version":"r1","resources":[)";
  int number = 0;
  for (const std::string& spec : specs) {
    if (++number > 1) text += ",";
    text += R"({"entry_type":"tenants","metadata":{"name":"t)" + std::to_string(number) +
            R"("},"spec":{)" + spec + "}}";
  }
  return text + "]}";
}

}  // namespace

TEST_CASE("a tenant is decoded to its key digests, rank, quota and regions") {
  const auto configuration = decodeConfiguration(
      withTenants({R"("api_keys":["k2","k1","k2"],"priority":1,"rate_per_s":25.5,"burst":30,
                      "allowed_regions":["west","east"])",
                   R"("api_keys":[])"}));
  REQUIRE(configuration.has_value());
  const model::Tenant& first = configuration->tenants.at(TenantName("t1"));
  std::vector<Digest> expected = {Digest::of("k1"), Digest::of("k2")};
  std::sort(expected.begin(), expected.end());
  CHECK(first.key_digests == expected);
  CHECK(first.rank == 1U);
  CHECK(first.quota.rate_per_1000_s == 25'500);
  CHECK(first.quota.burst == 30);
  CHECK(first.regions == std::vector{RegionId("east"), RegionId("west")});
  // A tenant without keys remains a tenant that nobody can use.
  const model::Tenant& second = configuration->tenants.at(TenantName("t2"));
  CHECK(second.key_digests.empty());
  CHECK_FALSE(second.rank.has_value());
  CHECK_FALSE(second.quota.isLimited());
}

TEST_CASE("a configuration with an invalid tenant is refused, and the error contains no key") {
  for (const char* spec :
       {"", R"("api_keys":"secret")", R"("api_keys":[7])", R"("api_keys":[""])",
        R"("api_keys":["secret"],"rate_per_s":-1)", R"("api_keys":["secret"],"rate_per_s":"9")",
        R"("api_keys":["secret"],"burst":-3)", R"("api_keys":["secret"],"priority":"high")",
        R"("api_keys":["secret"],"allowed_regions":[4])"}) {
    CAPTURE(spec);
    const auto configuration = decodeConfiguration(withTenants({spec}));
    REQUIRE_FALSE(configuration.has_value());
    CHECK(describe(configuration.error()).find("secret") == std::string::npos);
  }
  const auto shared = decodeConfiguration(
      withTenants({R"("api_keys":["secret"])", R"("api_keys":["secret","own"])"}));
  REQUIRE_FALSE(shared.has_value());
  CHECK(shared.error().message == "tenants 't1' and 't2' hold the same API key");
}

TEST_CASE(
    "a configuration that is truncated, invalid or names an unknown service is refused as a "
    "whole") {
  const std::string whole = kConfiguration;
  for (std::size_t size = 0; size < whole.size(); size += 7) {
    CHECK_FALSE(decodeConfiguration(whole.substr(0, size)).has_value());
  }
  const auto with = [&](const std::string& from, const std::string& to) {
    std::string text = whole;
    text.replace(text.find(from), from.size(), to);
    return decodeConfiguration(text);
  };
  CHECK_FALSE(with("\"r7\"", "\"7\"").has_value());
  CHECK_FALSE(with("\"r7\"", "\"r7x\"").has_value());
  CHECK_FALSE(with("unsafe", "odd").has_value());
  CHECK_FALSE(with("2.5s", "2.5").has_value());
  CHECK(with("\"service\":\"s1\"", "\"service\":\"s9\"").error().kind ==
        ErrorKind::kMissingDependency);
}

TEST_CASE("the error for an invalid configuration names the field") {
  const auto mistake = [](const std::string& text) {
    const auto configuration = decodeConfiguration(text);
    return configuration ? std::string() : configuration.error().message;
  };
  const auto route = [&](const std::string& fields) {
    return mistake(R"({"version":"r1","resources":[{"entry_type":"routes","metadata":{"name":"n"},
      "spec":{"host":"a","path_prefix":"/","type":"safe","service":"s")" +
                   fields +
                   R"(}},{"entry_type":"services","metadata":{"name":"s"},"spec":null}]})");
  };
  CHECK(route("") == "");
  CHECK(route(R"(,"priority":null,"timeout":null,"traffic_split":null)") == "");
  CHECK(route(R"(,"priority":"odd","priority":2)") == "");
  for (const char* number : {"-1", "1.0", "1e2", "18446744073709551616", "\"1\"", "[]", "true"}) {
    CHECK(route(std::string(R"(,"priority":)") + number) ==
          "configuration: field 'priority' is not a number");
  }
  CHECK(route(R"(,"timeout":5)") == "configuration: field 'timeout' is not a string");
  CHECK(route(R"(,"traffic_split":[{"service":"s"}])") ==
        "configuration: field 'weight' is missing");
  CHECK(route(R"(,"traffic_split":[7])") == "configuration: field 'service' is missing");
  CHECK_FALSE(route(R"(,"traffic_split":7)").empty());
  CHECK(mistake(R"({"version":"r1","resources":null})") == "");
  CHECK(mistake(R"({"version":"r1","resources":{}})") == "");
  CHECK(mistake(R"({"version":"r1","resources":[{}]})") ==
        "configuration: field 'entry_type' is missing");
  CHECK(mistake(R"({"version":"r1","resources":{"a":{}}})") ==
        "configuration: field 'entry_type' is missing");
  CHECK(mistake(R"({"version":1,"resources":[]})") ==
        "configuration: field 'version' is not a string");
  CHECK(mistake("[]") == "configuration: field 'version' is missing");
  for (const char* text : {"", "{} {}", "{\"a\":\"\xff\"}", "{\"a\":\"\\ud800\"}", "{\"a\":1,}"}) {
    CHECK(mistake(text) == "configuration: not JSON");
  }
  CHECK(mistake(std::string(100'000, '[')) == "configuration: not JSON");
}

TEST_CASE("a server's entry is decoded to the product's model") {
  const auto server = decodeServer("i-1", kServer);
  REQUIRE(server.has_value());
  CHECK(server->id == EndpointId("i-1"));
  CHECK(server->address == Address{"10.0.0.9", 8080});
  CHECK(server->slots == 18);
  CHECK(server->state == model::MachineState::kLeaving);
  CHECK(server->remaining_warm_up == milliseconds(1500));
  CHECK(server->started_ms == 1791000000123);
  CHECK_FALSE(decodeServer("i-1", R"({"service":"s1"})").has_value());
}

TEST_CASE("the answer to a watch has changes, removals, other keys and invalid entries") {
  const auto batch = decodeEvents(R"({"events":[
    {"private_key":"servers/i-1","revision":5,"gone":true},
    {"private_key":"servers/i-2","revision":6,"value":"bm9kZS0x"},
    {"private_key":"servers/i-3","revision":7,"value":
     "eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxLjIuMy40OjUiLCJ6b25lIjoiYSIsInNsb3RzIjo0LCJzdGF0ZSI6InJlYWR5In0="},
    {"private_key":"other","revision":8,"value":"bm9kZS0x"}],"timestamp":9})");
  REQUIRE(batch.has_value());
  CHECK(batch->revision == Generation(9));
  // A server with an invalid entry counts as removed, even if an earlier entry was valid.
  REQUIRE(batch->removed_servers.size() == 2);
  CHECK(batch->removed_servers[0] == EndpointId("i-1"));
  CHECK(batch->removed_servers[1] == EndpointId("i-2"));
  CHECK(batch->rejected.size() == 1);
  REQUIRE(batch->servers.size() == 1);
  CHECK(batch->servers[0].id == EndpointId("i-3"));
  CHECK(batch->servers[0].revision == Generation(7));
}

// Guards against invalid entries of another writer among those of the servers: an unknown state
// must not count as leaving, an entry without slots is no server, and a key that is not a string
// must not make the node refuse the whole page, since changes of other servers would be missed.
TEST_CASE("invalid entries of another writer are rejected, and the other entries are used") {
  const std::string good = kServer;
  const auto with = [&](const std::string& from, const std::string& to) {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    return decodeServer("i-1", text);
  };
  REQUIRE(decodeServer("i-1", good).has_value());
  CHECK_FALSE(with("\"draining\"", "\"resting\"").has_value());
  CHECK_FALSE(with("\"draining\"", "7").has_value());
  CHECK_FALSE(with("\"slots\":18,", "").has_value());
  CHECK_FALSE(with("18", "\"many\"").has_value());
  CHECK_FALSE(with("18", "-1").has_value());
  CHECK_FALSE(with("\"1500ms\"", "1500").has_value());
  CHECK_FALSE(with("1791000000123", "\"noon\"").has_value());
  CHECK_FALSE(with("10.0.0.9:8080", "nowhere").has_value());
  CHECK_FALSE(with("10.0.0.9:8080", "nowhere:8080").has_value());
  CHECK_FALSE(with("10.0.0.9:8080", "10.0.0.9 :8080").has_value());
  CHECK_FALSE(with("10.0.0.9:8080", "a\\r\\nHost: b:8080").has_value());
  CHECK_FALSE(with("\"zone\":\"a\",", "").has_value());

  const std::string odd_key = R"({"private_key":7,"revision":4,"value":"e30="})";
  const std::string odd_value = R"({"private_key":"servers/i-8","revision":5,"value":"%%%"})";
  const std::string odd_type = R"({"private_key":"servers/i-9","revision":6,"value":[]})";
  const std::string entry =
      R"({"private_key":"servers/i-3","revision":7,"value":"eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxLjIuMy40OjUiLCJ6b25lIjoiYSIsInNsb3RzIjo0LCJzdGF0ZSI6InJlYWR5In0="})";
  const std::string items = odd_key + "," + odd_value + "," + odd_type + "," + entry;
  const auto batch = decodeEvents(R"({"events":[)" + items + R"(],"timestamp":9})");
  REQUIRE(batch.has_value());
  CHECK(batch->rejected.size() == 3);
  CHECK(batch->removed_servers == std::vector{EndpointId("i-8"), EndpointId("i-9")});
  REQUIRE(batch->servers.size() == 1);
  CHECK(batch->servers[0].id == EndpointId("i-3"));

  const auto page = decodePage(R"({"items":[)" + items + R"(],"timestamp":9})");
  REQUIRE(page.has_value());
  CHECK(page->batch.servers.size() == 1);
  CHECK(page->batch.removed_servers.empty());
  CHECK(page->last_key == "servers/i-3");
}

// Some writers of JSON escape a byte that is not UTF-8 as half of a surrogate pair.
TEST_CASE("a key with half of a surrogate pair does not hide the other items") {
  const std::string entry =
      R"({"private_key":"servers/i-3","revision":7,"value":"eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxLjIuMy40OjUiLCJ6b25lIjoiYSIsInNsb3RzIjo0LCJzdGF0ZSI6InJlYWR5In0="})";
  struct Case {
    std::string key;
    std::string read_as;
  };
  for (const Case& odd :
       {Case{R"(servers/a\udcff)", "servers/a\xef\xbf\xbd"},
        Case{R"(servers/\ud800b)",
             "servers/\xef\xbf\xbd"
             "b"},
        Case{R"(servers/\ud800\u0041)",
             "servers/\xef\xbf\xbd"
             "A"},
        Case{R"(servers/\ud83d\ude00\udcff)", "servers/\xf0\x9f\x98\x80\xef\xbf\xbd"},
        Case{R"(servers/\\udcff\udcff)", "servers/\\udcff\xef\xbf\xbd"}}) {
    CAPTURE(odd.key);
    const std::string items =
        entry + R"(,{"private_key":")" + odd.key + R"(","revision":8,"value":"e30="})";
    const auto page = decodePage(R"({"items":[)" + items + R"(],"timestamp":9})");
    REQUIRE(page.has_value());
    REQUIRE(page->batch.servers.size() == 1);
    CHECK(page->batch.servers[0].id == EndpointId("i-3"));
    CHECK(page->last_key == odd.read_as);
    const auto batch = decodeEvents(R"({"events":[)" + items + R"(],"timestamp":9})");
    REQUIRE(batch.has_value());
    CHECK(batch->servers.size() == 1);
  }
}

TEST_CASE("an operator's key drains a zone, and its removal cancels the drain") {
  const auto batch = decodeEvents(R"({"events":[
    {"private_key":"op/evacuate/north","revision":5,"value":"e30="},
    {"private_key":"op/evacuate/south","revision":6,"gone":true}],"timestamp":9})");
  REQUIRE(batch.has_value());
  CHECK(batch->rejected.empty());
  CHECK(batch->zone_changes ==
        std::vector<source::ZoneChange>{{ZoneId("north"), true, Generation(5)},
                                        {ZoneId("south"), false, Generation(6)}});
}

TEST_CASE("the request rate of a cold server is decoded with the configuration") {
  const auto rate = [](const std::string& spec) {
    const auto configuration = decodeConfiguration(
        R"({"version":"r1","resources":[{"entry_type":"services","metadata":{"name":"s"},"spec":)" +
        spec + "}]}");
    REQUIRE(configuration.has_value());
    return configuration->services.at(ServiceName("s"));
  };
  const model::Service service =
      rate(R"({"health_path":"/health","cold_start":"3s","cold_per_s":5.6})");
  CHECK(service.cold_rate_per_1000_s == 5600);
  CHECK(service.warm_up == std::chrono::seconds(3));
  CHECK(service.health_path == "/health");
  CHECK(rate(R"({"cold_per_s":17})").cold_rate_per_1000_s == 17000);
  CHECK(rate("{}").cold_rate_per_1000_s == 0);
}

TEST_CASE("if one answer has the removal and the return of a server, the later one counts") {
  const std::string end = R"({"private_key":"servers/i-3","revision":5,"gone":true})";
  const std::string entry = R"({"private_key":"servers/i-3","revision":6,"value":
     "eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxLjIuMy40OjUiLCJ6b25lIjoiYSIsInNsb3RzIjo0LCJzdGF0ZSI6InJlYWR5In0="})";
  const auto answer = [](const std::string& first, const std::string& second) {
    return decodeEvents(R"({"events":[)" + first + "," + second + R"(],"timestamp":9})");
  };
  const auto returned = answer(end, entry);
  REQUIRE(returned.has_value());
  CHECK(returned->removed_servers.empty());
  CHECK(returned->servers.size() == 1);
  const auto ended = answer(entry, end);
  REQUIRE(ended.has_value());
  CHECK(ended->removed_servers.size() == 1);
  CHECK(ended->servers.empty());
}

TEST_CASE("a page contains the key after which the next page starts") {
  const auto page = decodePage(
      R"({"items":[{"private_key":"x","revision":1,"value":""}],"has_more":true,"timestamp":3})");
  REQUIRE(page.has_value());
  CHECK(page->last_key == "x");
  CHECK(page->has_more);
  CHECK(decodePage(R"({"items":null,"timestamp":3})")->batch.servers.empty());
  CHECK_FALSE(decodePage(R"({"items":7,"timestamp":3})").has_value());
  CHECK_FALSE(decodePage(R"({"items":[],"has_more":1,"timestamp":3})").has_value());
  CHECK_FALSE(decodePage(R"({"items":[],"timestamp":-3})").has_value());
  CHECK_FALSE(decodePage("{}").has_value());
  CHECK_FALSE(decodePage("[1]").has_value());
}

}  // namespace coursepond::platform
