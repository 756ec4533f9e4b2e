#include "runtime/settings.h"

#include <doctest/doctest.h>

#include "repository_files.h"
#include "runtime/settings_keys.h"

using namespace coursepond;
using namespace coursepond::runtime;

namespace {

constexpr char kGood[] = R"([node]
id = "a1"
zone = "a"
caller_listen = "127.0.0.1:8080"
peer_listen = "127.0.0.1:7946"
admin_listen = "127.0.0.1:9090"

[platform]
address = "127.0.0.1:7000"

[admin]
token = "correct-horse"
)";

/// A mistake that must be reported for a broken file.
struct Expected {
  std::uint32_t line;
  std::string key;
  std::string remedy_part;
};

struct BrokenFile {
  std::string name;
  std::string text;
  std::vector<Expected> mistakes;
};

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::vector<BrokenFile> brokenFiles() {
  const std::string good = kGood;
  return {
      {"empty file",
       "",
       {{0, "node.id", "add it to section [node]"},
        {0, "node.zone", "[node]"},
        {0, "node.caller_listen", "[node]"},
        {0, "node.peer_listen", "[node]"},
        {0, "node.admin_listen", "[node]"},
        {0, "platform.address", "[platform]"},
        {0, "admin.token", "[admin]"}}},
      {"two hops without a server",
       good + "[two_hop]\ningress_listen = \"127.0.0.1:8081\"\n",
       {{14, "two_hop.server", "add server"}, {14, "two_hop.service", "add service"}}},
      {"two hops on one address",
       good + "[two_hop]\ningress_listen = \"127.0.0.1:8080\"\nserver = \"127.0.0.1:9000\"\n"
              "service = \"stock\"\n",
       {{14, "two_hop.ingress_listen", "its own port"}}},
      {"a header's name with a blank",
       good + "[headers]\nrequest_id = \"X Id\"\n",
       {{14, "headers.request_id", "letters, digits"}}},
      {"misspelt keys",
       replaced(replaced(good, "zone", "zoen"), "token", "tokn"),
       {{3, "node.zoen", "node.zone"}, {12, "admin.tokn", "admin.token"}}},
      {"unknown section", good + "[meesh]\nname = \"m\"\n", {{14, "meesh.name", "mesh.name"}}},
      {"key in the wrong section",
       good + "[mesh]\nversion_interval_ms = 50\n",
       {{14, "mesh.version_interval_ms", "platform.version_interval_ms"}}},
      {"wrong types",
       good + "[mesh]\nname = 7\nseeds = \"127.0.0.1:1\"\njoin_timeout_ms = \"1000\"\n",
       {{14, "mesh.name", "text in quotation marks"},
        {15, "mesh.seeds", "a list of texts"},
        {16, "mesh.join_timeout_ms", "a whole number"}}},
      {"out of range",
       good + "[peer]\nframe_limit_bytes = 12\nidle_timeout_ms = 99999999\n",
       {{14, "peer.frame_limit_bytes", "at least 4096"},
        {15, "peer.idle_timeout_ms", "at most 3600000"}}},
      {"addresses",
       replaced(replaced(good, "127.0.0.1:7946", "localhost:7946"), "127.0.0.1:7000",
                "127.0.0.1:0"),
       {{5, "node.peer_listen", "IP address"}, {9, "platform.address", "port"}}},
      {"choices and names",
       replaced(good, "\"a1\"", "\"a 1\"") + "[mesh]\nacceptance = \"manual\"\n",
       {{2, "node.id", "use 1 to 64"}, {14, "mesh.acceptance", "\"operator\" or \"automatic\""}}},
      {"not TOML in two lines, and a short token",
       replaced(replaced(good, "\"a\"", "a"), "\"correct-horse\"", "\"short\"") +
           "[log]\nlevel info\n",
       {{3, "", "quotation marks"},
        {12, "admin.token", "at least 8"},
        {14, "", "quotation marks"},
        {0, "node.zone", "[node]"}}},
      {"keys that clash",
       replaced(replaced(good, "127.0.0.1:7946", "0.0.0.0:7946"), "127.0.0.1:9090",
                "127.0.0.1:8080") +
           "[peer]\nreconnect_min_ms = 9000\nqueue_limit_bytes = 4096\n"
           "[mesh]\nzones = [\"b\"]\nseeds = [\"a1@10.0.0.7:1\"]\n",
       {{6, "node.admin_listen", "own port"},
        {14, "peer.reconnect_max_ms", "raise peer.reconnect_max_ms"},
        {15, "peer.queue_limit_bytes", "raise it"},
        {17, "mesh.zones", "add it"},
        {18, "mesh.seeds", "ZONE/ID@IP:PORT"},
        {0, "node.peer_advertise", "add peer_advertise"}}},
  };
}

}  // namespace

TEST_CASE("a settings file with the required keys is accepted") {
  const SettingsOutcome outcome = loadSettings(kGood, {});
  REQUIRE(outcome.mistakes.empty());
  CHECK(outcome.settings.node.id == NodeId("a1"));
  CHECK(outcome.settings.node.zone == ZoneId("a"));
  CHECK(outcome.settings.node.peer_listen == Address{"127.0.0.1", 7946});
  CHECK(outcome.settings.control.distribution.acceptance ==
        distribution::AcceptanceMode::kOperator);
  CHECK(outcome.settings.admin.token.reveal() == "correct-horse");
}

TEST_CASE("thirteen broken settings files: every mistake in each is reported") {
  const std::vector<BrokenFile> files = brokenFiles();
  CHECK(files.size() == 13);
  for (const BrokenFile& file : files) {
    CAPTURE(file.name);
    const SettingsOutcome outcome = loadSettings(file.text, {});
    std::string all;
    for (const SettingMistake& mistake : outcome.mistakes) all += describe(mistake) + "\n";
    CAPTURE(all);
    REQUIRE(outcome.mistakes.size() == file.mistakes.size());
    for (std::size_t i = 0; i < file.mistakes.size(); ++i) {
      CHECK(outcome.mistakes[i].line == file.mistakes[i].line);
      CHECK(outcome.mistakes[i].key == file.mistakes[i].key);
      CHECK(outcome.mistakes[i].error.remedy.find(file.mistakes[i].remedy_part) !=
            std::string::npos);
      CHECK_FALSE(outcome.mistakes[i].expected.empty());
    }
  }
}

TEST_CASE("flags override the file and are checked like it") {
  const std::vector<SettingOverride> overrides = {
      {"node.id", "b7"},
      {"mesh.seeds", R"(["a/a2@127.0.0.1:1", "b/b1@[::1]:2"])"},
      {"peer.idle_timeout_ms", "500"}};
  const SettingsOutcome outcome = loadSettings(kGood, overrides);
  REQUIRE(outcome.mistakes.empty());
  CHECK(outcome.settings.node.id == NodeId("b7"));
  REQUIRE(outcome.settings.control.seeds.size() == 2);
  CHECK(outcome.settings.control.seeds[1].id == NodeId("b1"));
  CHECK(outcome.settings.control.seeds[1].zone == ZoneId("b"));
  CHECK(outcome.settings.control.seeds[1].peer_address == Address{"::1", 2});
  CHECK(outcome.settings.peer.idle_timeout == std::chrono::milliseconds(500));

  const SettingsOutcome broken =
      loadSettings(kGood, {{"node.idd", "b7"}, {"peer.idle_timeout_ms", "soon"}});
  REQUIRE(broken.mistakes.size() == 2);
  CHECK(broken.mistakes[0].error.remedy == "did you mean node.id?");
  CHECK(broken.mistakes[1].error.remedy == "write a whole number");
}

TEST_CASE("an override needs a section, a key and a value") {
  CHECK(parseOverride("node.zone=a=b")->value == "a=b");
  CHECK(parseOverride("node.zone").has_error());
  CHECK(parseOverride("zone=a").has_error());
}

TEST_CASE("printed settings parse to the same values, without the secret") {
  const SettingsOutcome outcome = loadSettings(kGood, {});
  const std::string printed = printSettings(outcome.settings);
  CHECK(printed.find("correct-horse") == std::string::npos);
  const SettingsOutcome again = loadSettings(printed, {});
  REQUIRE(again.mistakes.empty());
  CHECK(printSettings(again.settings) == printed);
}

TEST_CASE("a mistake about the token does not show it") {
  const SettingsOutcome outcome = loadSettings(replaced(kGood, "correct-horse", "hunter2"), {});
  REQUIRE(outcome.mistakes.size() == 1);
  CHECK(describe(outcome.mistakes[0]).find("hunter2") == std::string::npos);
}

TEST_CASE("the names of keys contain their units") {
  for (const SettingKey& key : settingKeys()) {
    CAPTURE(key.fullName());
    CHECK(key.key.ends_with("_ms") == (key.expected.find("of milliseconds") != std::string::npos));
    CHECK(key.key.ends_with("_bytes") == (key.expected.find("of bytes") != std::string::npos));
    CHECK_FALSE(key.meaning.empty());
  }
}

TEST_CASE("the settings page contains exactly the table of keys") {
  testing::checkPageEndsWith("docs/operators/SETTINGS.md", "### [", settingsReference());
}
