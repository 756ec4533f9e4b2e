#include "cli/api_documents.h"

#include <doctest/doctest.h>

#include "cli/api_client.h"
#include "cli/confirm_command.h"
#include "cli/plan_command.h"
#include "cli/status_command.h"

using namespace coursepond;
using namespace coursepond::cli;

namespace {

constexpr char kPlan[] = R"({"id": "plan-7-6-ab", "status": "open", "version": 7, "base": 6,
  "digest": "ab", "accepted_version": 6, "valid": true, "missing_dependencies": [],
  "zones_missing": ["c"], "platform_reached": true,
  "routes": {"added": ["r1", "r2"], "changed": [], "removed": ["old"]},
  "services": {"added": [], "changed": ["s"], "removed": []},
  "secrets": {"added": [], "changed": [], "removed": []},
  "zones": [{"zone": "a", "answered": true, "nodes": 4, "proxies_to_change": 4,
             "from_versions": [{"version": 6, "proxies": 4}], "routes_affected": 3}],
  "estimated_bytes": {"delta_per_node": 300, "record_per_node": 60, "total": 1440}})";

StatusZone zone(const std::string& name, std::uint64_t nodes, std::uint64_t current) {
  StatusZone result;
  result.zone = ZoneId(name);
  result.nodes = nodes;
  result.current = current;
  result.behind = nodes - current;
  return result;
}

}  // namespace

TEST_CASE("a plan is shown with its changes, zones, bytes and the next command") {
  const Result<PlanDocument> plan = parsePlan(kPlan);
  REQUIRE(plan.has_value());
  const std::string text = renderPlan(*plan, "127.0.0.1:9");
  CAPTURE(text);
  for (const char* part : {"version 7 on top of version 6, open", "r1, r2", "old", "6 (4)",
                           "300 per node to stage", "zones that did not answer: c",
                           "coursepond confirm plan-7-6-ab --wait --node 127.0.0.1:9"}) {
    CHECK(text.find(part) != std::string::npos);
  }
}

TEST_CASE("an answer that cannot be parsed is a malformed error") {
  for (const char* text : {"", "[]", "{\"id\": 5}", "<html>"}) {
    CHECK(parsePlan(text).error().kind == ErrorKind::kMalformed);
    CHECK(parseStatus(text).error().kind == ErrorKind::kMalformed);
    CHECK(parseProxies(text).error().kind == ErrorKind::kMalformed);
    CHECK(parseMistakes(text).empty());
  }
}

TEST_CASE("progress counts proxies and names the zones that are behind") {
  StatusDocument status;
  status.accepted = Version(7);
  status.zones = {zone("a", 200, 200), zone("b", 300, 212)};
  const Progress progress = progressOf(status, Version(7));
  CHECK(progress.text == "412/500 proxies, zone b 88 behind");
  CHECK_FALSE(progress.done);

  status.zones = {zone("a", 2, 2)};
  status.converged = true;
  CHECK(progressOf(status, Version(7)).done);
  CHECK(progressOf(status, Version(7)).text == "2/2 proxies");
  CHECK_FALSE(progressOf(status, Version(8)).done);
  CHECK(progressOf(status, Version(8)).current == 0);
}

TEST_CASE("refusals of the API preserve their kind and remedy") {
  const ApiAnswer answer{409, R"({"error": {"kind": "conflict", "message": "m", "remedy": "r"}})"};
  const std::optional<Error> refusal = refusalOf(answer);
  REQUIRE(refusal.has_value());
  CHECK(refusal->kind == ErrorKind::kConflict);
  CHECK(refusal->remedy == "r");
  CHECK(exitCodeOf(*refusal) == ExitCode::kRefused);
  CHECK(exitCodeOf(Error{ErrorKind::kOutcomeUnknown, "", ""}) == ExitCode::kOutcomeUnknown);
  CHECK(refusalOf(ApiAnswer{500, "oops"})->kind == ErrorKind::kUnavailable);
  CHECK_FALSE(refusalOf(ApiAnswer{200, "{}"}).has_value());
}

TEST_CASE("proxies are listed with their versions and errors") {
  ProxiesDocument document;
  document.proxies.push_back(
      ProxyDocument{NodeId("b1"), ZoneId("b"), Version(6), Version(7), Version(7), "digest"});
  document.zones_missing = {"c"};
  const std::string text = renderProxies(document);
  CHECK(text.find("b1    b     6         7         7       digest") != std::string::npos);
  CHECK(text.find("zone c did not answer") != std::string::npos);
}
