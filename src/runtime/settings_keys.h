#pragma once

/// The table of all settings: every key with its type, range, default and meaning.

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "runtime/settings.h"

namespace coursepond::runtime {

/// This section is read first, because its keys determine the defaults of others; see promises.h.
inline constexpr std::string_view kPromisesSection = "promises";

/// The types a key may have in the file.
enum class SettingType { kText, kInteger, kDecimal, kTextList };

/// A value of one of these types.
using SettingValue = std::variant<std::string, std::int64_t, double, std::vector<std::string>>;

struct SettingKey {
  std::string section;
  std::string key;
  SettingType type = SettingType::kText;
  bool required = false;
  bool secret = false;
  std::string expected;  ///< Type and range in words.
  std::string meaning;
  /// Sets the field, or returns why the value is rejected.
  std::function<std::optional<Error>(Settings&, const SettingValue&)> assign;
  /// Returns the field as TOML; for a secret only whether it is set.
  std::function<std::string(const Settings&)> format;

  std::string fullName() const { return section + "." + key; }
};

/// Returns all keys, with the sections in the order of the documentation.
const std::vector<SettingKey>& settingKeys();

/// Returns the key with that full name, or nullptr.
const SettingKey* findSettingKey(std::string_view full_name);

/// Returns the known key that `full_name` most likely means, or nullptr when none is similar.
const SettingKey* nearestSettingKey(std::string_view full_name);

/// Returns the default as TOML, or an empty string for a required key.
std::string defaultText(const SettingKey& key);

/// Returns the tables of docs/operators/SETTINGS.md as Markdown, one section each.
std::string settingsReference();

}  // namespace coursepond::runtime
