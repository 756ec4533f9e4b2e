#include "model/document.h"

#include <doctest/doctest.h>

#include "model/delta.h"
#include "model/snapshot.h"

namespace coursepond::model {
namespace {

constexpr char kDocument[] = R"({"version": 7,
  "routes": [
    {"name": "book", "host": "rail.example", "path_prefix": "/book/", "methods": ["POST", "GET"],
     "service": "booking", "secrets": [{"secret": "token", "header": "Authorization"}],
     "zones": ["z2", "z1"], "repeatable": "never", "timeout_ms": 250},
    {"name": "corridor", "path_prefix": "/corridor", "service": "corridor",
     "headers": [{"name": "X-B", "value": "2"}, {"name": "x-a", "value": "1"}]}],
  "services": [{"name": "booking", "slots_per_server": 12}, {"name": "corridor"}],
  "secrets": [{"name": "token", "value": "hunter2-value"}]})";

ConfigurationDocument parsed(std::string_view text = kDocument) {
  Result<ConfigurationDocument> document = parseDocument(text);
  REQUIRE(document.has_value());
  return *document;
}

/// Returns kDocument with the first occurrence of `from` replaced by `to`.
std::string altered(const std::string& from, const std::string& to) {
  std::string text = kDocument;
  const std::size_t place = text.find(from);
  REQUIRE(place != std::string::npos);
  return text.replace(place, from.size(), to);
}

void checkRefused(const std::string& text, const std::string& path, ErrorKind kind) {
  CAPTURE(text);
  const std::vector<DocumentMistake> mistakes = checkDocument(text);
  REQUIRE_FALSE(mistakes.empty());
  CHECK(mistakes.front().path == path);
  CHECK(mistakes.front().error.kind == kind);
  CHECK_FALSE(mistakes.front().error.remedy.empty());
  CHECK_FALSE(parseDocument(text).has_value());
}

}  // namespace

TEST_CASE("a parsed document has default values and is normalized") {
  const Configuration configuration = parsed().configuration;
  CHECK(configuration.version == Version(7));
  const Route& book = configuration.routes.at(RouteName("book"));
  CHECK(book.match.path_prefix == "/book");
  CHECK(book.match.methods == std::vector<std::string>{"GET", "POST"});
  CHECK(book.zones.front() == ZoneId("z1"));
  CHECK(book.repeatability == Repeatability::kNever);
  CHECK(book.timeout == std::chrono::milliseconds(250));
  const Route& corridor = configuration.routes.at(RouteName("corridor"));
  CHECK(corridor.match.headers.front().name == "x-a");
  CHECK(corridor.priority == Priority::kInteractive);
  CHECK(configuration.services.at(ServiceName("booking")).slots_per_server == 12);
  CHECK(configuration.services.at(ServiceName("corridor")).slots_per_server == 10);
}

// Guards against nodes that get a version from another node and match its prefixes differently.
TEST_CASE("a text prefix keeps its slash and its kind in the canonical form") {
  const Configuration configuration =
      parseDocument(altered("\"/book/\"", R"("/book/", "prefix_match": "text")"))->configuration;
  const RouteMatch& match = configuration.routes.at(RouteName("book")).match;
  CHECK(match.prefix_match == PrefixMatch::kText);
  CHECK(match.path_prefix == "/book/");
  const auto copy = parseCanonical(configuration.version, canonicalText(configuration));
  REQUIRE(copy.has_value());
  CHECK(copy->routes.at(RouteName("book")).match == match);
}

TEST_CASE("a text prefix without a slash at its end is rejected") {
  checkRefused(altered("\"/book/\"", R"("/book", "prefix_match": "text")"), "routes[0].path_prefix",
               ErrorKind::kInvalidArgument);
  checkRefused(altered("\"/book/\"", R"("/book/", "prefix_match": "exact")"),
               "routes[0].prefix_match", ErrorKind::kInvalidArgument);
}

TEST_CASE("each mistake reports its location, kind and remedy, and rejects the whole document") {
  checkRefused("{", "", ErrorKind::kMalformed);
  checkRefused(R"({"version": 1, "version": 2, "routes": [], "services": []})", "",
               ErrorKind::kMalformed);
  checkRefused(std::string(100, '['), "", ErrorKind::kMalformed);
  checkRefused(altered("250", "250, \"deep\": {\"a\": 1, \"a\": 2}"), "", ErrorKind::kMalformed);
  checkRefused(altered("250", "1e999"), "", ErrorKind::kMalformed);
  checkRefused(altered("250", "250.0"), "routes[0].timeout_ms", ErrorKind::kInvalidArgument);
  checkRefused(altered("250", "-0"), "routes[0].timeout_ms", ErrorKind::kInvalidArgument);
  checkRefused("[]", "", ErrorKind::kInvalidArgument);
  checkRefused(altered("\"version\": 7", "\"version\": 0"), "version", ErrorKind::kInvalidArgument);
  checkRefused(altered("\"version\": 7", "\"version\": -7"), "version",
               ErrorKind::kInvalidArgument);
  checkRefused(altered("250", "0"), "routes[0].timeout_ms", ErrorKind::kInvalidArgument);
  checkRefused(altered("rail.example", "RAIL"), "routes[0].host", ErrorKind::kInvalidArgument);
  checkRefused(altered("\"POST\"", "\"GET\""), "routes[0].methods", ErrorKind::kInvalidArgument);
  checkRefused(altered("\"never\"", "\"often\""), "routes[0].repeatable",
               ErrorKind::kInvalidArgument);
  checkRefused(altered("Authorization", "Content-Length"), "routes[0].secrets[0].header",
               ErrorKind::kInvalidArgument);
  checkRefused(altered("\"corridor\"}]", "\"booking\"}]"), "services[1].name",
               ErrorKind::kInvalidArgument);
  checkRefused(altered("\"service\": \"booking\"", "\"service\": \"absent\""),
               "routes['book'].service", ErrorKind::kMissingDependency);
  checkRefused(altered("\"secret\": \"token\"", "\"secret\": \"absent\""), "routes['book'].secrets",
               ErrorKind::kMissingDependency);
}

TEST_CASE("an unknown key is rejected with a suggestion of the most similar known key") {
  const std::vector<DocumentMistake> mistakes =
      checkDocument(altered("slots_per_server", "slots_per_sever"));
  REQUIRE(mistakes.size() == 1);
  CHECK(mistakes[0].path == "services[0]");
  CHECK(mistakes[0].error.remedy.find("'slots_per_server'") != std::string::npos);
}

TEST_CASE("all mistakes are collected, not only the first") {
  const std::string text =
      R"({"version": "x", "routes": [{"nme": "a"}], "services": [{"name": ""}]})";
  CHECK(checkDocument(text).size() == 5);
}

TEST_CASE("two routes that match the same requests are rejected unless their zones differ") {
  const std::string same = R"({"version": 1, "services": [{"name": "s"}], "routes": [
      {"name": "a", "path_prefix": "/x", "service": "s", "zones": ["z1"]},
      {"name": "b", "path_prefix": "/x/", "service": "s", "zones": ["z1", "z2"]}]})";
  checkRefused(same, "routes[1]", ErrorKind::kInvalidArgument);
  std::string apart = same;
  apart.replace(apart.find("\"z1\", "), 6, "");
  CHECK(checkDocument(apart).empty());
}

TEST_CASE("no error message contains the value of a secret") {
  for (const std::string& text :
       {altered("hunter2-value", "hunter2\\nvalue"), altered("\"hunter2-value\"", "hunter2-value"),
        altered("\"value\": \"hunter2", "\"value\": [\"hunter2\"], \"valu\": \"hunter2")}) {
    const std::vector<DocumentMistake> mistakes = checkDocument(text);
    CHECK_FALSE(mistakes.empty());
    for (const DocumentMistake& mistake : mistakes) {
      CHECK(describe(mistake.error).find("hunter2") == std::string::npos);
    }
  }
}

TEST_CASE(
    "the canonical text can be parsed and is independent of order, version and secret values") {
  const Configuration configuration = parsed().configuration;
  const std::string text = canonicalText(configuration);
  CHECK(text.find("hunter2") == std::string::npos);
  CHECK(*parseCanonical(Version(7), text) == configuration);

  const Configuration reordered =
      parsed(altered("\"POST\", \"GET\"", "\"GET\", \"POST\"")).configuration;
  CHECK(contentDigest(reordered) == contentDigest(configuration));
  Configuration renumbered = configuration;
  renumbered.version = Version(8);
  CHECK(contentDigest(renumbered) == contentDigest(configuration));
  const Configuration other = parsed(altered("hunter2", "hunter3")).configuration;
  CHECK(contentDigest(other) != contentDigest(configuration));
  CHECK(parseCanonical(Version(7), "{}").error().kind == ErrorKind::kMalformed);
}

TEST_CASE(
    "the canonical text is byte-identical to that of earlier releases, so digests stay valid") {
  Configuration configuration = parsed().configuration;
  configuration.limits.body_bytes = 1024;
  Route& corridor = configuration.routes.at(RouteName("corridor"));
  corridor.split = {{ServiceName("corridor"), 3}, {ServiceName("booking"), 1}};
  corridor.longest_hold = std::chrono::seconds(2);
  corridor.target_latency = std::chrono::milliseconds(800);
  corridor.rank = 2;
  corridor.max_attempts = 3;
  corridor.match.headers[0].value = "a\"b\\c/\xc3\xa9";
  CHECK(canonicalText(configuration) ==
        R"({"limits":{"body_bytes":1024,"head_bytes":0,"head_timeout_ms":0,"idle_timeout_ms":0},)"
        R"("routes":[{"headers":[],"host":"rail.example","methods":["GET","POST"],"name":"book",)"
        R"("path_prefix":"/book","priority":"interactive","repeatable":"never",)"
        R"("secrets":[{"header":"Authorization","secret":"token"}],"service":"booking",)"
        R"("timeout_ms":250,"zones":["z1","z2"]},)"
        R"({"headers":[{"name":"x-a","value":"a\"b\\c/é"},{"name":"x-b","value":"2"}],)"
        R"("host":"","longest_hold_ms":2000,"max_attempts":3,"methods":[],"name":"corridor",)"
        R"("path_prefix":"/corridor","priority":"interactive","rank":2,"repeatable":"by_method",)"
        R"("secrets":[],"service":"corridor","split":[{"service":"corridor","weight":3},)"
        R"({"service":"booking","weight":1}],"target_latency_ms":800,"timeout_ms":5000,)"
        R"("zones":[]}],"secrets":[{"digest":")" +
            configuration.secrets.at(SecretName("token")).digest.toHex() +
            R"(","name":"token"}],)"
            R"("services":[{"connections_per_server":100,"max_attempts":3,"name":"booking",)"
            R"("queue_limit":200,"retry_budget_percent":20,"slots_per_server":12},)"
            R"({"connections_per_server":100,"max_attempts":3,"name":"corridor",)"
            R"("queue_limit":200,"retry_budget_percent":20,"slots_per_server":10}]})");
}

TEST_CASE("a delta yields the complete target configuration or an error") {
  const Configuration base = parsed().configuration;
  Configuration target =
      parsed(altered("\"timeout_ms\": 250", "\"timeout_ms\": 300")).configuration;
  target.version = Version(8);
  target.routes.erase(RouteName("corridor"));
  const Delta delta = makeDelta(base, target);
  CHECK(delta.upserted_routes.size() == 1);
  CHECK(delta.removed_routes.size() == 1);
  CHECK(*deltaFromText(deltaToText(delta)) == delta);
  CHECK(*applyDelta(base, delta) == target);
  CHECK(applyDelta(target, delta).error().kind == ErrorKind::kBaseMismatch);

  Delta corrupt = delta;
  corrupt.upserted_routes[0].timeout += std::chrono::milliseconds(1);
  CHECK(applyDelta(base, corrupt).error().kind == ErrorKind::kDigestMismatch);
  CHECK(deltaFromText("{}").error().kind == ErrorKind::kMalformed);
}

TEST_CASE("a diff lists the names of added, changed and removed items") {
  const Configuration base = parsed().configuration;
  Configuration target = base;
  CHECK(diff(base, target).empty());
  target.services.at(ServiceName("booking")).queue_limit = 5;
  target.services[ServiceName("extra")].name = ServiceName("extra");
  target.secrets.clear();
  const ConfigurationDiff changes = diff(base, target);
  CHECK(changes.routes.empty());
  CHECK(changes.services.changed == std::vector{ServiceName("booking")});
  CHECK(changes.services.added == std::vector{ServiceName("extra")});
  CHECK(changes.secrets.removed == std::vector{SecretName("token")});
}

TEST_CASE(
    "a snapshot has the zone's routes with their services and secrets, or building it fails") {
  const ConfigurationDocument document = parsed();
  const SecretName token("token");
  const Result<SnapshotPointer> whole =
      buildSnapshot(document.configuration, document.secret_values, ZoneId("z1"));
  REQUIRE(whole.has_value());
  CHECK((*whole)->routes.size() == 2);
  CHECK((*whole)->secrets.at(token).reveal() == "hunter2-value");
  CHECK((*whole)->digest == contentDigest(document.configuration));

  const Result<SnapshotPointer> other = buildSnapshot(document.configuration, {}, ZoneId("z9"));
  REQUIRE(other.has_value());
  CHECK((*other)->routes.size() == 1);
  CHECK((*other)->secrets.empty());
  CHECK(secretsUsedInZone(document.configuration, ZoneId("z9")).empty());
  CHECK(secretsUsedInZone(document.configuration, ZoneId("z2")) == std::vector{token});

  CHECK(buildSnapshot(document.configuration, {}, ZoneId("z1")).error().kind ==
        ErrorKind::kMissingDependency);
  const SecretValues wrong = {{token, SecretValue("old")}};
  CHECK(buildSnapshot(document.configuration, wrong, ZoneId("z1")).error().kind ==
        ErrorKind::kDigestMismatch);
  Configuration without_service = document.configuration;
  without_service.services.erase(ServiceName("corridor"));
  CHECK(buildSnapshot(without_service, document.secret_values, ZoneId("z1")).error().kind ==
        ErrorKind::kMissingDependency);
}

}  // namespace coursepond::model
