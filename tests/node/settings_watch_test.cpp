#include "node/settings_watch.h"

#include <doctest/doctest.h>

#include "runtime/settings_change.h"
#include "support/node_settings.h"
#include "support/virtual_environment.h"

namespace coursepond::node {
namespace {

using std::chrono::seconds;

/// A settings file in memory and the watch for it.
struct Bench {
  std::string text;
  bool is_readable = true;
  std::vector<runtime::Settings> applied_settings;
  std::size_t rejected = 0;
  proxy::VirtualEnvironment environment;
  SettingsWatch watch{
      {testing::kNodeSettings,
       [this]() -> Result<std::string> {
         if (is_readable) return text;
         return Error{ErrorKind::kNotFound, "away", ""};
       },
       [](const std::string& toml) { return runtime::loadSettings(toml, {}); }},
      seconds(5),
      environment,
      [this](const runtime::Settings& settings) { applied_settings.push_back(settings); },
      [this](const std::vector<runtime::SettingMistake>&) { ++rejected; }};

  /// Starts with the minimal settings, after which the file has the content `content`.
  explicit Bench(std::string content = testing::kNodeSettings) : text(std::move(content)) {
    watch.start();
  }
};

}  // namespace

TEST_CASE("a changed file is detected by polling, and immediately on a signal") {
  Bench bench;
  bench.environment.advance(seconds(20));
  CHECK(bench.applied_settings.empty());
  bench.text += "[log]\nlines_per_second = 7\n";
  bench.environment.advance(seconds(6));
  REQUIRE(bench.applied_settings.size() == 1);
  CHECK(bench.applied_settings[0].log.lines_per_second == 7);
  bench.text += "level = \"warning\"\n";
  bench.watch.check();
  CHECK(bench.applied_settings.size() == 2);
}

TEST_CASE("a change between the node's start and the first check is not missed") {
  Bench bench(std::string(testing::kNodeSettings) + "[log]\nlines_per_second = 7\n");
  bench.environment.advance(seconds(6));
  CHECK(bench.applied_settings.size() == 1);
}

TEST_CASE("errors are reported once and change nothing; the corrected file is applied") {
  Bench bench;
  bench.text = std::string(testing::kNodeSettings) + "[log]\nlines_per_second = \"many\"\n";
  bench.environment.advance(seconds(20));
  CHECK(bench.rejected == 1);
  CHECK(bench.applied_settings.empty());
  bench.text = std::string(testing::kNodeSettings) + "[log]\nlines_per_second = 9\n";
  bench.environment.advance(seconds(6));
  CHECK(bench.applied_settings.size() == 1);
}

TEST_CASE("an unreadable or partly written file changes nothing") {
  Bench bench;
  bench.is_readable = false;
  bench.watch.check();
  bench.is_readable = true;
  bench.watch.check();
  CHECK(bench.applied_settings.empty());
  bench.text = std::string(testing::kNodeSettings).substr(0, 40);
  bench.watch.check();
  CHECK(bench.rejected == 1);
  bench.text = testing::kNodeSettings;
  bench.watch.check();
  CHECK(bench.applied_settings.size() == 1);
}

TEST_CASE("changed settings are listed, and only those that need no restart are applied") {
  const runtime::Settings before = runtime::loadSettings(testing::kNodeSettings, {}).settings;
  const runtime::Settings after =
      runtime::loadSettings(
          testing::kNodeSettings,
          {{"log.lines_per_second", "7"}, {"node.zone", "b"}, {"promises.leaving_ms", "1200"}})
          .settings;
  const auto changes = runtime::changesBetween(before, after);
  std::vector<std::string> applied;
  std::vector<std::string> needs_restart_keys;
  for (const runtime::SettingChange& change : changes) {
    (change.needs_restart ? needs_restart_keys : applied).push_back(change.key);
  }
  CHECK(applied == std::vector<std::string>{
                       "promises.leaving_ms", "watch.gather_ms", "relay.source_wait_ms",
                       "relay.source_slack_ms", "relay.peer_wait_ms", "relay.peer_slack_ms",
                       "relay.configuration_wait_ms", "relay.stall_limit_ms",
                       "relay.avoid_unfit_ms", "relay.next_parent_ms", "log.lines_per_second"});
  CHECK(needs_restart_keys == std::vector<std::string>{"node.zone"});
  runtime::Settings current = before;
  applyChangeable(current, after);
  CHECK(current.log.lines_per_second == 7);
  CHECK(current.egress.lapse_hold == after.egress.lapse_hold);
  CHECK(current.node.zone == before.node.zone);
  // All changes that need no restart were applied.
  for (const runtime::SettingChange& remaining : runtime::changesBetween(current, after)) {
    CHECK(remaining.needs_restart);
  }
}

}  // namespace coursepond::node
