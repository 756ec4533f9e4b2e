#include "admin/plan.h"

#include <doctest/doctest.h>

#include <string>

#include "model/document.h"
#include "support/fake_platform.h"

namespace coursepond::admin {
namespace {

using distribution::AcceptanceRecord;

AcceptanceRecord makeRecord(std::uint64_t version, std::uint64_t base) {
  return {Version(version), Digest::of("content " + std::to_string(version)), Version(base)};
}

model::Configuration configurationOf(std::uint64_t version, const std::vector<std::string>& routes,
                                     const std::string& secret = "value") {
  return model::parseDocument(testing::documentText(version, routes, secret)).value().configuration;
}

TEST_CASE("a plan's id contains its version, base and digest") {
  const AcceptanceRecord record = makeRecord(18'446'744'073'709'551'615U, 7);
  const auto parsed = parsePlanId(planIdOf(record).value());
  REQUIRE(parsed.has_value());
  CHECK(*parsed == record);
}

TEST_CASE("text that is not a plan id is rejected") {
  const std::string digest(64, 'a');
  for (const std::string& text :
       {std::string(), std::string("plan-"), "plan-2-1-" + digest + "0", "plan-2-1-" + digest + "/",
        "plan-02-1-" + digest, "plan-1-1-" + digest, "plan-1-2-" + digest, "plan--1-" + digest,
        "plan-2-" + digest, "Plan-2-1-" + digest, "plan-99999999999999999999999-1-" + digest,
        "plan-2-1-" + std::string(64, 'A')}) {
    CAPTURE(text);
    CHECK(parsePlanId(text).has_error());
  }
}

TEST_CASE("the status of a plan depends on the accepted record") {
  const AcceptanceRecord plan = makeRecord(5, 3);
  CHECK(statusOf(plan, makeRecord(3, 2)) == PlanStatus::kOpen);
  CHECK(statusOf(plan, makeRecord(2, 1)) == PlanStatus::kOpen);
  CHECK(statusOf(plan, plan) == PlanStatus::kAccepted);
  CHECK(statusOf(plan, makeRecord(4, 3)) == PlanStatus::kOutdated);
  CHECK(statusOf(plan, makeRecord(6, 5)) == PlanStatus::kSuperseded);
  CHECK(statusOf(plan, makeRecord(5, 4)) == PlanStatus::kSuperseded);
}

TEST_CASE("the effect counts proxies and routes per zone") {
  const model::Configuration base = configurationOf(1, {"a", "b"});
  model::Configuration target = configurationOf(3, {"b", "c"}, "another value");
  target.routes.at(RouteName("c")).zones = {ZoneId("west")};

  membership::View view;
  view.own_zone = ZoneId("east");
  view.zones[ZoneId("east")] = {ZoneId("east"), {}, 2, true};
  view.zones[ZoneId("west")] = {ZoneId("west"), {}, 3, false};
  ProxyCensus census;
  census.answered = {ZoneId("east")};
  census.proxies = {{NodeId("e1"), ZoneId("east"), Version(1), Version(1), Version(3), ""},
                    {NodeId("e2"), ZoneId("east"), Version(3), Version(3), Version(3), ""}};

  const PlanEffect effect = effectOf(base, target, view, census);
  CHECK(effect.diff.routes.added == std::vector{RouteName("c")});
  CHECK(effect.diff.routes.removed == std::vector{RouteName("a")});
  CHECK(effect.diff.secrets.changed == std::vector{SecretName("key")});
  REQUIRE(effect.zones.size() == 2);
  const ZoneEffect& east = effect.zones[0];
  CHECK(east.answered);
  CHECK(east.proxies_to_change == 1);
  CHECK(east.from_versions == std::map<Version, std::size_t>{{Version(1), 1}});
  CHECK(east.routes_affected == 1);
  const ZoneEffect& west = effect.zones[1];
  CHECK_FALSE(west.answered);
  CHECK(west.nodes == 3);
  CHECK(west.routes_affected == 2);
  CHECK(effect.bytes.total == 5 * (effect.bytes.delta_per_node + effect.bytes.record_per_node));
}

}  // namespace
}  // namespace coursepond::admin
