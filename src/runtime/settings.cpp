#include "runtime/settings.h"

#include <toml++/toml.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <set>

#include "model/json_document.h"
#include "runtime/settings_keys.h"

namespace coursepond::runtime {
namespace {

/// Maximum number of lines with TOML syntax errors that are reported individually.
constexpr int kMaxSyntaxMistakes = 20;

SettingMistake makeMistake(std::uint32_t line, std::string key, std::string expected,
                           std::string message, std::string remedy) {
  return SettingMistake{line, std::move(key), std::move(expected),
                        Error{ErrorKind::kInvalidArgument, std::move(message), std::move(remedy)}};
}

SettingMistake syntaxMistake(std::uint32_t line, std::string_view description) {
  return makeMistake(line, "", "TOML: [section], then key = value",
                     "not TOML: " + std::string(description),
                     "put text in quotation marks, and write each key only once");
}

/// Blanks one line of a text, so that the other lines keep their numbers.
void blankLine(std::string& text, std::uint32_t line) {
  std::size_t begin = 0;
  for (std::uint32_t current = 1; current < line; ++current) {
    begin = text.find('\n', begin);
    if (begin == std::string::npos) return;
    ++begin;
  }
  const std::size_t end = std::min(text.find('\n', begin), text.size());
  std::fill(text.begin() + static_cast<std::ptrdiff_t>(begin),
            text.begin() + static_cast<std::ptrdiff_t>(end), ' ');
}

/// Parses as much as possible: each line with a syntax error is reported as a mistake and skipped.
toml::table parseToml(std::string text, std::vector<SettingMistake>& mistakes) {
  std::set<std::uint32_t> blanked;
  while (blanked.size() < kMaxSyntaxMistakes) {
    try {
      return toml::parse(text);
    } catch (const toml::parse_error& error) {
      const std::uint32_t line = error.source().begin.line;
      mistakes.push_back(syntaxMistake(line, error.description()));
      if (!blanked.insert(line).second) return {};
      blankLine(text, line);
    }
  }
  return {};
}

std::string_view typeName(SettingType type) {
  switch (type) {
    case SettingType::kText:
      return "text in quotation marks";
    case SettingType::kInteger:
      return "a whole number";
    case SettingType::kDecimal:
      return "a number";
    case SettingType::kTextList:
      return "a list of texts";
  }
  return "";
}

std::optional<SettingValue> readTextList(const toml::array* array) {
  if (array == nullptr) return std::nullopt;
  std::vector<std::string> texts;
  for (const toml::node& element : *array) {
    const auto text = element.value_exact<std::string>();
    if (!text) return std::nullopt;
    texts.push_back(*text);
  }
  return texts;
}

/// Returns the node's value, or nothing when it has another type.
std::optional<SettingValue> readValue(SettingType type, const toml::node& node) {
  switch (type) {
    case SettingType::kText:
      if (const auto text = node.value_exact<std::string>()) return *text;
      return std::nullopt;
    case SettingType::kInteger:
      if (const auto number = node.value_exact<std::int64_t>()) return *number;
      return std::nullopt;
    case SettingType::kDecimal:
      if (const auto number = node.value<double>()) return *number;
      return std::nullopt;
    case SettingType::kTextList:
      return readTextList(node.as_array());
  }
  return std::nullopt;
}

/// Collects settings and mistakes, first from the file and then from the flags.
class Loader {
 public:
  SettingsOutcome load(std::string_view toml, const std::vector<SettingOverride>& overrides) {
    const toml::table file = parseToml(std::string(toml), outcome_.mistakes);
    readAll(file, overrides, true);
    deriveTimings(outcome_.settings);
    readAll(file, overrides, false);
    checkRequired();
    checkCombinations();
    std::stable_sort(outcome_.mistakes.begin(), outcome_.mistakes.end(),
                     [](const SettingMistake& a, const SettingMistake& b) {
                       return (a.line == 0 ? UINT32_MAX : a.line) <
                              (b.line == 0 ? UINT32_MAX : b.line);
                     });
    return std::move(outcome_);
  }

 private:
  /// Reads either the promises or all other settings.
  void readAll(const toml::table& file, const std::vector<SettingOverride>& overrides,
               bool promises) {
    for (const auto& [section, node] : file) {
      if ((section.str() == kPromisesSection) == promises) {
        readSection(std::string(section.str()), node);
      }
    }
    for (const SettingOverride& setting : overrides) {
      if (isPromise(setting.key) == promises) readOverride(setting);
    }
  }

  static bool isPromise(std::string_view full_name) {
    return full_name.substr(0, full_name.find('.')) == kPromisesSection;
  }

  void readSection(const std::string& section, const toml::node& node) {
    const toml::table* table = node.as_table();
    if (table == nullptr) {
      addUnknown(node.source().begin.line, section);
      return;
    }
    if (table->empty() && !isSection(section)) addUnknown(node.source().begin.line, section);
    for (const auto& [key, value] : *table) {
      readKey(section + "." + std::string(key.str()), value, key.source().begin.line);
    }
  }

  static bool isSection(const std::string& section) {
    return std::any_of(settingKeys().begin(), settingKeys().end(),
                       [&section](const SettingKey& key) { return key.section == section; });
  }

  void readKey(const std::string& full_name, const toml::node& node, std::uint32_t line) {
    const SettingKey* key = findSettingKey(full_name);
    if (key == nullptr) {
      addUnknown(line, full_name);
      return;
    }
    const std::optional<SettingValue> value = readValue(key->type, node);
    if (!value) {
      addWrongType(line, *key);
      return;
    }
    assign(line, *key, *value);
  }

  void readOverride(const SettingOverride& setting) {
    const SettingKey* key = findSettingKey(setting.key);
    if (key == nullptr) {
      addUnknown(0, setting.key);
      return;
    }
    const std::optional<SettingValue> value = readOverrideValue(*key, setting.value);
    if (!value) {
      addWrongType(0, *key);
      return;
    }
    assign(0, *key, *value);
  }

  static std::optional<SettingValue> readOverrideValue(const SettingKey& key,
                                                       const std::string& text) {
    if (key.type == SettingType::kText && (text.empty() || text.front() != '"')) return text;
    try {
      const toml::table table = toml::parse("value = " + text);
      const toml::node* node = table.get("value");
      return node == nullptr ? std::nullopt : readValue(key.type, *node);
    } catch (const toml::parse_error&) {
      return std::nullopt;
    }
  }

  void assign(std::uint32_t line, const SettingKey& key, const SettingValue& value) {
    present_keys_.insert(key.fullName());
    if (const std::optional<Error> error = key.assign(outcome_.settings, value)) {
      outcome_.mistakes.push_back(SettingMistake{line, key.fullName(), key.expected, *error});
      return;
    }
    lines_[key.fullName()] = line;
  }

  void addUnknown(std::uint32_t line, const std::string& full_name) {
    const SettingKey* nearest = nearestSettingKey(full_name);
    if (nearest != nullptr) present_keys_.insert(nearest->fullName());
    outcome_.mistakes.push_back(makeMistake(
        line, full_name, "a key of docs/operators/SETTINGS.md", "the key does not exist",
        nearest == nullptr ? "remove it" : "did you mean " + nearest->fullName() + "?"));
  }

  void addWrongType(std::uint32_t line, const SettingKey& key) {
    present_keys_.insert(key.fullName());
    outcome_.mistakes.push_back(makeMistake(line, key.fullName(), key.expected,
                                            "the value has the wrong type",
                                            "write " + std::string(typeName(key.type))));
  }

  void checkRequired() {
    for (const SettingKey& key : settingKeys()) {
      if (!key.required || present_keys_.contains(key.fullName())) continue;
      outcome_.mistakes.push_back(makeMistake(0, key.fullName(), key.expected,
                                              "the required key is missing",
                                              "add it to section [" + key.section + "]"));
    }
  }

  /// Checks keys against each other.
  void checkCombinations() {
    const Settings& settings = outcome_.settings;
    checkDistinct("node.caller_listen", settings.node.caller_listen, "node.peer_listen",
                  settings.node.peer_listen);
    checkDistinct("node.caller_listen", settings.node.caller_listen, "node.admin_listen",
                  settings.node.admin_listen);
    checkDistinct("node.peer_listen", settings.node.peer_listen, "node.admin_listen",
                  settings.node.admin_listen);
    checkAdvertise();
    checkOrder("peer.reconnect_min_ms", settings.peer.reconnect_min, "peer.reconnect_max_ms",
               settings.peer.reconnect_max);
    checkOrder("platform.backoff_base_ms", settings.control.source.backoff_base,
               "platform.backoff_limit_ms", settings.control.source.backoff_limit);
    checkOrder("confirm.prepare_timeout_ms", 2 * settings.control.acceptance.prepare_timeout,
               "confirm.lease_ms", settings.control.acceptance.lease);
    checkOwnZone();
    checkQueueHoldsFrame();
    checkTwoHop();
  }

  void checkDistinct(const std::string& first_key, const Address& first,
                     const std::string& second_key, const Address& second) {
    if (first.port == 0 || first != second) return;
    outcome_.mistakes.push_back(
        makeMistake(lines_[second_key], second_key, "an address that no other key uses",
                    "it is the same address as " + first_key, "give each its own port"));
  }

  void checkAdvertise() {
    const NodeSettings& node = outcome_.settings.node;
    const bool any_address = node.peer_listen.host == "0.0.0.0" || node.peer_listen.host == "::";
    if (!any_address || present_keys_.contains("node.peer_advertise")) return;
    outcome_.mistakes.push_back(
        makeMistake(0, "node.peer_advertise", "IP:port that other nodes can connect to",
                    "peer_listen is a wildcard address, to which other nodes cannot connect",
                    "add peer_advertise to section [node]"));
  }

  void checkOrder(const std::string& lower_key, Duration lower, const std::string& higher_key,
                  Duration higher) {
    if (lower <= higher) return;
    outcome_.mistakes.push_back(
        makeMistake(lines_[higher_key] != 0 ? lines_[higher_key] : lines_[lower_key], higher_key,
                    "at least " + lower_key + " (" + std::to_string(toMilliseconds(lower)) + ")",
                    std::to_string(toMilliseconds(higher)) + " is below " + lower_key,
                    "raise " + higher_key + " or lower " + lower_key));
  }

  void checkTwoHop() {
    const TwoHopSettings& two_hop = outcome_.settings.two_hop;
    if (!two_hop.enabled()) return;
    const auto require = [this](const char* key, bool is_set, const char* expected) {
      if (is_set) return;
      outcome_.mistakes.push_back(
          makeMistake(lines_["two_hop.ingress_listen"], std::string("two_hop.") + key, expected,
                      "two_hop.ingress_listen is set, but this key is not",
                      std::string("add ") + key + " to section [two_hop], or leave both out"));
    };
    require("server", !two_hop.server.host.empty(), "IP:port of this machine's server");
    require("service", !two_hop.service.empty(), "the name of that server's service");
    checkDistinct("node.caller_listen", outcome_.settings.node.caller_listen,
                  "two_hop.ingress_listen", two_hop.ingress_listen);
  }

  void checkOwnZone() {
    const std::vector<ZoneId>& zones = outcome_.settings.control.zones;
    const ZoneId& own = outcome_.settings.node.zone;
    if (zones.empty() || own.empty()) return;
    if (std::find(zones.begin(), zones.end(), own) != zones.end()) return;
    outcome_.mistakes.push_back(makeMistake(
        lines_["mesh.zones"], "mesh.zones", "a list that contains this node's zone",
        "zone '" + own.value() + "' of node.zone is not in it", "add it, or correct node.zone"));
  }

  void checkQueueHoldsFrame() {
    const PeerSettings& peer = outcome_.settings.peer;
    if (peer.queue_limit_bytes >= peer.frame_limit_bytes) return;
    outcome_.mistakes.push_back(makeMistake(
        lines_["peer.queue_limit_bytes"] != 0 ? lines_["peer.queue_limit_bytes"]
                                              : lines_["peer.frame_limit_bytes"],
        "peer.queue_limit_bytes",
        "at least peer.frame_limit_bytes (" + std::to_string(peer.frame_limit_bytes) + ")",
        "a queue could not hold the largest possible message",
        "raise it or lower the frame limit"));
  }

  SettingsOutcome outcome_;
  std::set<std::string> present_keys_;          ///< Present keys, even if invalid or misspelt.
  std::map<std::string, std::uint32_t> lines_;  ///< Line of each accepted key.
};

}  // namespace

std::optional<std::map<ZoneId, RegionId>> parseZoneRegions(std::string_view text) {
  std::map<ZoneId, RegionId> regions;
  if (text.empty()) return regions;
  constexpr std::size_t kFlat = 1;
  const auto document = model::JsonDocument::parse(text, kFlat);
  if (!document || !document->root().is_object()) return std::nullopt;
  for (const auto& [zone, region] : document->root().get_object()) {
    if (!region.is_string()) return std::nullopt;
    regions[ZoneId(std::string(zone))] = RegionId(std::string(region.get_string()));
  }
  return regions;
}

std::string describe(const SettingMistake& mistake) {
  std::string text;
  if (mistake.line != 0) text += "line " + std::to_string(mistake.line) + ": ";
  if (!mistake.key.empty()) text += mistake.key + ": ";
  text += mistake.error.message + "; expected " + mistake.expected;
  return text + " (remedy: " + mistake.error.remedy + ")";
}

Result<SettingOverride> parseOverride(std::string_view text) {
  const std::size_t equals = text.find('=');
  const std::size_t dot = text.substr(0, equals).find('.');
  if (equals == std::string_view::npos || dot == std::string_view::npos) {
    return Error{ErrorKind::kInvalidArgument, "'" + std::string(text) + "' is not a setting",
                 "write section.key=value, for example node.zone=a"};
  }
  return SettingOverride{std::string(text.substr(0, equals)), std::string(text.substr(equals + 1))};
}

SettingsOutcome loadSettings(std::string_view toml, const std::vector<SettingOverride>& overrides) {
  return Loader().load(toml, overrides);
}

std::string printSettings(const Settings& settings) {
  std::string text;
  std::string section;
  for (const SettingKey& key : settingKeys()) {
    if (key.section != section) {
      text += (section.empty() ? "[" : "\n[") + key.section + "]\n";
      section = key.section;
    }
    text += key.key + " = " + key.format(settings) + "\n";
  }
  return text;
}

}  // namespace coursepond::runtime
