#pragma once

/// The types of settings. Each function makes a table entry that checks, sets and prints one field.
/// A field is given as a function object that takes (const) Settings& and returns a reference into
/// it.

#include <cmath>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "runtime/settings_keys.h"

namespace coursepond::runtime {

/// Inclusive bounds.
struct Range {
  std::int64_t lowest;
  std::int64_t highest;
};

/// What an address is used for, which determines the valid addresses.
enum class AddressUse { kListen, kConnect, kOptionalConnect };

/// One word that a choice setting accepts in the file.
template <typename Enumeration>
struct Choice {
  std::string name;
  Enumeration value;
};

inline constexpr char kNameExpected[] = "a name: 1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.'";
/// Minimum length of the operator token, in characters.
inline constexpr std::size_t kTokenMinimum = 8;

/// Returns `text` as a TOML string.
std::string quoted(const std::string& text);
/// Returns the shortest decimal text that reads back as `number`, such as "12.5".
std::string formatDecimal(double number);
/// Returns "[a, b]".
std::string formatList(const std::vector<std::string>& elements);
/// Accepts letters, digits, '-', '_' and '.', so that a name is safe in logs, labels and paths.
std::optional<Error> checkName(const std::string& text);
/// Accepts a header name, or empty text: the header is not used.
std::optional<Error> checkHeaderName(const std::string& text);
/// Accepts a path that starts with a slash.
std::optional<Error> checkPath(const std::string& text);
std::optional<Error> checkRange(std::int64_t value, const Range& range);
std::string describeRange(const Range& range, const std::string& unit);
/// Parses an IP address and a port. Port 0 is valid only for listening.
Result<Address> readAddress(const std::string& text, AddressUse use);
/// Parse and format "ZONE/ID@IP:PORT".
Result<model::ListedNode> readSeed(const std::string& text);
std::string formatSeed(const model::ListedNode& seed);

/// Makes an entry with the parts that every type has.
inline SettingKey makeKey(std::string section, std::string key, std::string meaning,
                          std::string expected, SettingType type) {
  SettingKey entry;
  entry.section = std::move(section);
  entry.key = std::move(key);
  entry.meaning = std::move(meaning);
  entry.expected = std::move(expected);
  entry.type = type;
  return entry;
}

/// The text of a core name type or a plain string.
template <typename NameType>
const std::string& textOf(const NameType& name) {
  if constexpr (std::is_same_v<NameType, std::string>) {
    return name;
  } else {
    return name.value();
  }
}

/// Whether a name may be left empty, and whether its key may be left out.
enum class NameUse { kRequired, kDefaulted, kMayBeEmpty };

/// A name; `NameType` is a core Name or std::string.
template <typename NameType, typename Field>
SettingKey nameKey(std::string section, std::string key, NameUse use, std::string meaning,
                   Field field) {
  SettingKey entry = makeKey(std::move(section), std::move(key), std::move(meaning), kNameExpected,
                             SettingType::kText);
  entry.required = use == NameUse::kRequired;
  entry.assign = [field, use](Settings& settings,
                              const SettingValue& value) -> std::optional<Error> {
    const std::string& text = std::get<std::string>(value);
    const bool is_omitted = text.empty() && use == NameUse::kMayBeEmpty;
    if (std::optional<Error> error = checkName(text); error && !is_omitted) return error;
    field(settings) = NameType(text);
    return std::nullopt;
  };
  entry.format = [field](const Settings& settings) {
    return quoted(textOf<NameType>(field(settings)));
  };
  return entry;
}

/// Text with its own rule; `check` returns what is wrong with it.
template <typename Field>
SettingKey textKey(std::string section, std::string key, std::string expected, std::string meaning,
                   std::optional<Error> (*check)(const std::string&), Field field) {
  SettingKey entry = makeKey(std::move(section), std::move(key), std::move(meaning),
                             std::move(expected), SettingType::kText);
  entry.assign = [field, check](Settings& settings,
                                const SettingValue& value) -> std::optional<Error> {
    const std::string& text = std::get<std::string>(value);
    if (std::optional<Error> error = check(text)) return error;
    field(settings) = text;
    return std::nullopt;
  };
  entry.format = [field](const Settings& settings) { return quoted(field(settings)); };
  return entry;
}

/// A ratio or factor, written in hundredths.
template <typename Field>
SettingKey percentKey(std::string section, std::string key, Range range, std::string meaning,
                      Field field) {
  SettingKey entry = makeKey(std::move(section), std::move(key), std::move(meaning),
                             describeRange(range, " of hundredths"), SettingType::kInteger);
  entry.assign = [field, range](Settings& settings,
                                const SettingValue& value) -> std::optional<Error> {
    const std::int64_t number = std::get<std::int64_t>(value);
    if (std::optional<Error> error = checkRange(number, range)) return error;
    field(settings) = static_cast<double>(number) / 100.0;
    return std::nullopt;
  };
  entry.format = [field](const Settings& settings) {
    return std::to_string(std::llround(field(settings) * 100.0));
  };
  return entry;
}

template <typename Field>
SettingKey addressKey(std::string section, std::string key, AddressUse use, std::string meaning,
                      Field field) {
  SettingKey entry =
      makeKey(std::move(section), std::move(key), std::move(meaning),
              use == AddressUse::kListen ? "IP:port (port 0: any free port)" : "IP:port",
              SettingType::kText);
  entry.required = use != AddressUse::kOptionalConnect;
  entry.assign = [field, use](Settings& settings,
                              const SettingValue& value) -> std::optional<Error> {
    const std::string& text = std::get<std::string>(value);
    if (text.empty() && use == AddressUse::kOptionalConnect) {
      field(settings) = Address();
      return std::nullopt;
    }
    const Result<Address> address = readAddress(text, use);
    if (!address) return address.error();
    field(settings) = *address;
    return std::nullopt;
  };
  entry.format = [field](const Settings& settings) {
    const Address& address = field(settings);
    return quoted(address.host.empty() ? "" : formatAddress(address));
  };
  return entry;
}

/// A list whose elements `read` parses (to a Result) and `write` formats.
template <typename Field, typename Read, typename Write>
SettingKey listKey(std::string section, std::string key, std::string expected, std::string meaning,
                   Read read, Write write, Field field) {
  SettingKey entry = makeKey(std::move(section), std::move(key), std::move(meaning),
                             std::move(expected), SettingType::kTextList);
  entry.assign = [field, read](Settings& settings,
                               const SettingValue& value) -> std::optional<Error> {
    std::remove_reference_t<decltype(field(settings))> elements;
    for (const std::string& text : std::get<std::vector<std::string>>(value)) {
      const auto element = read(text);
      if (!element) return element.error();
      elements.push_back(*element);
    }
    field(settings) = std::move(elements);
    return std::nullopt;
  };
  entry.format = [field, write](const Settings& settings) {
    std::vector<std::string> texts;
    for (const auto& element : field(settings)) texts.push_back(quoted(write(element)));
    return formatList(texts);
  };
  return entry;
}

/// A duration in milliseconds; the key's name must end in "_ms".
template <typename Field>
SettingKey millisecondsKey(std::string section, std::string key, Range range, std::string meaning,
                           Field field) {
  SettingKey entry = makeKey(std::move(section), std::move(key), std::move(meaning),
                             describeRange(range, " of milliseconds"), SettingType::kInteger);
  entry.assign = [field, range](Settings& settings,
                                const SettingValue& value) -> std::optional<Error> {
    const std::int64_t number = std::get<std::int64_t>(value);
    if (std::optional<Error> error = checkRange(number, range)) return error;
    field(settings) = std::chrono::milliseconds(number);
    return std::nullopt;
  };
  entry.format = [field](const Settings& settings) {
    return std::to_string(toMilliseconds(field(settings)));
  };
  return entry;
}

/// A whole number in a field of any arithmetic type; `unit` is " of bytes" for keys that end in
/// "_bytes".
template <typename Field>
SettingKey numberKey(std::string section, std::string key, Range range, const std::string& unit,
                     std::string meaning, Field field) {
  SettingKey entry = makeKey(std::move(section), std::move(key), std::move(meaning),
                             describeRange(range, unit), SettingType::kInteger);
  entry.assign = [field, range](Settings& settings,
                                const SettingValue& value) -> std::optional<Error> {
    const std::int64_t number = std::get<std::int64_t>(value);
    if (std::optional<Error> error = checkRange(number, range)) return error;
    auto& target = field(settings);
    target = static_cast<std::remove_reference_t<decltype(target)>>(number);
    return std::nullopt;
  };
  entry.format = [field](const Settings& settings) {
    return std::to_string(static_cast<std::int64_t>(field(settings)));
  };
  return entry;
}

/// A number that may have a fraction.
template <typename Field>
SettingKey decimalKey(std::string section, std::string key, Range range, std::string meaning,
                      Field field) {
  const std::string bounds =
      "from " + std::to_string(range.lowest) + " to " + std::to_string(range.highest);
  SettingKey entry = makeKey(std::move(section), std::move(key), std::move(meaning),
                             "a number " + bounds, SettingType::kDecimal);
  entry.assign = [field, range, bounds](Settings& settings,
                                        const SettingValue& value) -> std::optional<Error> {
    const double number = std::get<double>(value);
    const bool is_in_range =
        number >= static_cast<double>(range.lowest) && number <= static_cast<double>(range.highest);
    if (!is_in_range) {
      return Error{ErrorKind::kInvalidArgument, formatDecimal(number) + " is out of range",
                   "write a number " + bounds};
    }
    field(settings) = number;
    return std::nullopt;
  };
  entry.format = [field](const Settings& settings) { return formatDecimal(field(settings)); };
  return entry;
}

template <typename Enumeration, typename Field>
SettingKey choiceKey(std::string section, std::string key, std::string meaning,
                     std::vector<Choice<Enumeration>> choices, Field field) {
  std::string expected;
  for (const Choice<Enumeration>& choice : choices) {
    expected += (expected.empty() ? "" : " or ") + quoted(choice.name);
  }
  SettingKey entry =
      makeKey(std::move(section), std::move(key), std::move(meaning), expected, SettingType::kText);
  entry.assign = [field, choices, expected](Settings& settings,
                                            const SettingValue& value) -> std::optional<Error> {
    const std::string& text = std::get<std::string>(value);
    for (const Choice<Enumeration>& choice : choices) {
      if (choice.name != text) continue;
      field(settings) = choice.value;
      return std::nullopt;
    }
    return Error{ErrorKind::kInvalidArgument, quoted(text) + " is not one of the choices",
                 "write " + expected};
  };
  entry.format = [field, choices](const Settings& settings) {
    for (const Choice<Enumeration>& choice : choices) {
      if (choice.value == field(settings)) return quoted(choice.name);
    }
    return quoted("");
  };
  return entry;
}

/// A required secret in a SecretText field. It is shown neither when settings are printed nor in
/// mistakes.
template <typename Field>
SettingKey secretKey(std::string section, std::string key, std::string meaning, Field field) {
  SettingKey entry =
      makeKey(std::move(section), std::move(key), std::move(meaning),
              "a secret text of at least " + std::to_string(kTokenMinimum) + " characters",
              SettingType::kText);
  entry.required = true;
  entry.secret = true;
  entry.assign = [field](Settings& settings, const SettingValue& value) -> std::optional<Error> {
    const std::string& text = std::get<std::string>(value);
    if (text.size() < kTokenMinimum) {
      return Error{ErrorKind::kInvalidArgument, "the text is too short to be a secret",
                   "write at least " + std::to_string(kTokenMinimum) + " characters"};
    }
    field(settings) = SecretText(text);
    return std::nullopt;
  };
  entry.format = [field](const Settings& settings) {
    return quoted(field(settings).reveal().empty() ? "" : "(set, not shown)");
  };
  return entry;
}

}  // namespace coursepond::runtime
