#pragma once

/// The one table of settings: every key with its type, range, default and meaning.

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "runtime/settings.h"

namespace coursepond::runtime {

/// Read before all others, since its keys decide their defaults; see promises.h.
inline constexpr std::string_view kPromisesSection = "promises";

/// The types a key may have in the file.
enum class SettingType { kText, kInteger, kTextList };

/// A value of one of those types.
using SettingValue = std::variant<std::string, std::int64_t, std::vector<std::string>>;

struct SettingKey {
  std::string section;
  std::string key;
  SettingType type = SettingType::kText;
  bool required = false;
  bool secret = false;
  std::string expected;  ///< Type and range in words.
  std::string meaning;
  /// Sets the field, or tells why the value is refused.
  std::function<std::optional<Error>(Settings&, const SettingValue&)> assign;
  /// The field as TOML; for a secret only whether it is set.
  std::function<std::string(const Settings&)> format;

  std::string fullName() const { return section + "." + key; }
};

/// All keys, sections in the order of the documentation.
const std::vector<SettingKey>& settingKeys();

/// The key of that full name, or nullptr.
const SettingKey* findSettingKey(std::string_view full_name);

/// The known key that `full_name` most likely means, or nullptr when none is near.
const SettingKey* nearestSettingKey(std::string_view full_name);

/// The default as TOML, or an empty string for a required key.
std::string defaultText(const SettingKey& key);

/// The tables of docs/operators/SETTINGS.md, a section each, as Markdown.
std::string settingsReference();

}  // namespace coursepond::runtime
