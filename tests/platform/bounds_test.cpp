#include "bounds.h"

#include <doctest/doctest.h>

namespace coursepond::platform {

TEST_CASE("bounds with a corresponding setting become flags, the others are skipped") {
  const auto flags = promiseFlags(
      "seed_lag=3s,contact=3000ms,drain=2500ms,retry_budget_ratio=0.29,grace=6s,"
      "config_apply=2s,recovery=15s,budget_window=10s,budget_slack=62.0");
  REQUIRE(flags.has_value());
  CHECK(*flags == std::vector<std::string>{
                      "--set", "promises.settled_ms=3000", "--set", "promises.leaving_ms=2500",
                      "--set", "promises.repeat_ratio_percent=29", "--set", "promises.stop_ms=6000",
                      "--set", "promises.in_force_ms=2000", "--set", "promises.repeat_burst=62"});
}

TEST_CASE("empty bounds give no flags, and an invalid value gives an error with a remedy") {
  CHECK(promiseFlags("")->empty());
  CHECK(promiseFlags(",,drain_whole=true,drain=,")->empty());
  for (const char* bounds : {"drain=soon", "drain", "grace=6", "{\"drain\":\"1200ms\"}",
                             "retry_budget_ratio=some", "budget_slack=-1", "budget_slack=1e999"}) {
    CAPTURE(bounds);
    const auto flags = promiseFlags(bounds);
    REQUIRE_FALSE(flags.has_value());
    CHECK(flags.error().kind == ErrorKind::kInvalidArgument);
    CHECK_FALSE(flags.error().remedy.empty());
  }
}

}  // namespace coursepond::platform
