#pragma once

/// Internal to src/model: strict, field-by-field reader of JSON objects. Collects all mistakes with
/// their locations instead of stopping at the first one.

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

/// Validation rule for a string.
struct TextRule {
  const char* expectation;  ///< For messages, such as "an HTTP method in upper case".
  bool (*accepts)(std::string_view);
  bool confidential = false;  ///< Its value must not appear in a message.
};

/// Inclusive bounds of an integer.
struct NumberRange {
  std::uint64_t minimum = 0;
  std::uint64_t maximum = 0;
};

/// Largest integer that every JSON implementation represents exactly (2^53 - 1).
inline constexpr std::uint64_t kLargestExactNumber = 9007199254740991;

inline constexpr std::size_t kMaximumDocumentBytes = 64U << 20U;

/// Parses `text`. On failure, adds a mistake and returns nothing. The mistake never quotes values
/// of the text, which may contain secrets. A duplicate key in an object is a mistake.
std::optional<JsonDocument> parseJson(std::string_view text, Mistakes& mistakes);

/// Reads one object. If a field is invalid, the read functions add a mistake and return a default
/// value, so that reading can continue. Keys must outlive the reader; pass string literals.
class ObjectReader {
 public:
  /// `value` and `mistakes` must outlive this. It is a mistake if `value` is not an object.
  ObjectReader(const boost::json::value& value, std::string path, Mistakes& mistakes);

  std::string text(std::string_view key, const TextRule& rule);
  std::string textOr(std::string_view key, std::string_view fallback, const TextRule& rule);
  std::uint64_t number(std::string_view key, NumberRange range);
  std::uint64_t numberOr(std::string_view key, std::uint64_t fallback, NumberRange range);
  Digest digest(std::string_view key);
  /// Returns the strings of an optional array, sorted. A duplicate string is a mistake.
  std::vector<std::string> sortedTexts(std::string_view key, const TextRule& rule);
  /// Returns a boolean, or `fallback` if the key is absent.
  bool flagOr(std::string_view key, bool fallback);
  /// Whether the key is present, with any value.
  bool has(std::string_view key) { return find(key) != nullptr; }
  /// Returns the index of the string in `words`, or `fallback` if the key is absent.
  std::size_t choiceOr(std::string_view key, std::size_t fallback,
                       const std::vector<std::string_view>& words);

  /// Reads each element of an array of objects, and checks each for unknown keys.
  using ElementReader = std::function<void(ObjectReader&)>;
  void requiredObjects(std::string_view key, const ElementReader& read);
  void optionalObjects(std::string_view key, const ElementReader& read);
  /// Reads an optional object and checks it for unknown keys.
  void optionalObject(std::string_view key, const ElementReader& read);

  /// Adds a mistake at `key` of this object, or at the object itself if `key` is empty.
  void refuse(std::string_view key, ErrorKind kind, const std::string& message, std::string remedy);
  /// Adds a mistake for each key that was never read. The remedy suggests the most similar known
  /// key.
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
