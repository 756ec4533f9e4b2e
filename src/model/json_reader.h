#pragma once

/// Internal to src/model: reads JSON objects field by field, strictly, and collects every mistake
/// with its place instead of stopping at the first.

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/document.h"
#include "model/json_document.h"

namespace coursepond::model {

using Mistakes = std::vector<DocumentMistake>;

/// What a string must look like.
struct TextRule {
  const char* expectation;  ///< "a name of 1 to 253 letters, digits, '.', '_' or '-'".
  bool (*accepts)(std::string_view);
  bool confidential = false;  ///< Its value must not appear in a message.
};

/// Bounds of a whole number, both included.
struct NumberRange {
  std::uint64_t minimum = 0;
  std::uint64_t maximum = 0;
};

/// The largest whole number that every JSON implementation keeps exactly.
inline constexpr std::uint64_t kLargestExactNumber = 9007199254740991;

inline constexpr std::size_t kMaximumDocumentBytes = 64U << 20U;

/// Parses `text`; on failure adds a mistake (never with a part of the text, which may hold secrets)
/// and returns nothing. A key that stands twice in one object is a mistake.
std::optional<JsonDocument> parseJson(std::string_view text, Mistakes& mistakes);

/// Reads one object. Each reading function adds a mistake when the field is wrong and then returns
/// a harmless value, so that reading can go on. Keys must outlive the reader: literals.
class ObjectReader {
 public:
  /// `value` and `mistakes` must outlive this. A `value` that is no object is a mistake.
  ObjectReader(const boost::json::value& value, std::string path, Mistakes& mistakes);

  std::string text(std::string_view key, const TextRule& rule);
  std::string textOr(std::string_view key, std::string_view fallback, const TextRule& rule);
  std::uint64_t number(std::string_view key, NumberRange range);
  std::uint64_t numberOr(std::string_view key, std::uint64_t fallback, NumberRange range);
  Digest digest(std::string_view key);
  /// The strings of an optional array, sorted; one that stands twice is a mistake.
  std::vector<std::string> sortedTexts(std::string_view key, const TextRule& rule);
  /// True or false; `fallback` when the key is absent.
  bool flagOr(std::string_view key, bool fallback);
  /// Whether the key is there, with any value.
  bool has(std::string_view key) { return find(key) != nullptr; }
  /// The index of the string among `words`; `fallback` when the key is absent.
  std::size_t choiceOr(std::string_view key, std::size_t fallback,
                       const std::vector<std::string_view>& words);

  /// Reads each element of an array of objects, and checks each for unknown keys.
  using ElementReader = std::function<void(ObjectReader&)>;
  void requiredObjects(std::string_view key, const ElementReader& read);
  void optionalObjects(std::string_view key, const ElementReader& read);
  /// Reads an object, if it is there, and checks it for unknown keys.
  void optionalObject(std::string_view key, const ElementReader& read);

  /// Adds a mistake at `key` of this object (at the object itself when empty).
  void refuse(std::string_view key, ErrorKind kind, const std::string& message, std::string remedy);
  /// Every key that no call asked for is a mistake; the remedy names the nearest known key.
  void refuseUnknownKeys();

  const std::string& path() const { return path_; }

 private:
  const boost::json::value* find(std::string_view key);
  const boost::json::value* require(std::string_view key);
  std::string readText(const boost::json::value& value, std::string_view key, const TextRule& rule);
  std::uint64_t readNumber(const boost::json::value& value, std::string_view key,
                           NumberRange range);
  void readObjects(const boost::json::value& value, std::string_view key,
                   const ElementReader& read);
  std::string placeOf(std::string_view key) const;

  const boost::json::value& value_;
  std::string path_;
  Mistakes& mistakes_;
  std::vector<std::string_view> known_keys_;
};

namespace rules {
extern const TextRule kName;
extern const TextRule kHost;
extern const TextRule kPathPrefix;
extern const TextRule kMethod;
extern const TextRule kHeaderName;
extern const TextRule kHeaderValue;
extern const TextRule kSecretValue;
extern const TextRule kAddress;
}  // namespace rules

}  // namespace coursepond::model
