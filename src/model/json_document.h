#pragma once

/// A parsed JSON tree that is cheap to create and destroy, because it is allocated in a few large
/// blocks.

#include <boost/json/fwd.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace coursepond::model {

/// What the strings of a document may contain.
enum class JsonStrings {
  kUnicode,
  /// Also bytes that are not UTF-8, which are kept, and halves of surrogate pairs, which become the
  /// replacement character. For documents in which strings of different writers are put together.
  kAnyBytes,
};

class JsonDocument {
 public:
  /// Returns nothing if `text` is not a single JSON value, if its strings contain anything else
  /// than `strings` allows, if objects and arrays are nested deeper than `maximum_depth`, or if a
  /// number is out of range for a double. If an object has a duplicate key, its last value is used.
  static std::optional<JsonDocument> parse(std::string_view text, std::size_t maximum_depth,
                                           JsonStrings strings = JsonStrings::kUnicode);
  ~JsonDocument();
  JsonDocument(JsonDocument&&) noexcept;
  JsonDocument& operator=(JsonDocument&&) noexcept;

  /// Valid as long as the document. Non-negative integers are stored as int64 or uint64. -0 is
  /// stored as a double, because no reader accepts it as a count.
  const boost::json::value& root() const;

  /// Whether any object has a duplicate key. Visits all keys.
  bool hasRepeatedKey() const;

 private:
  struct Content;
  static std::optional<JsonDocument> parseOnce(std::string_view text, std::size_t maximum_depth,
                                               JsonStrings strings);
  explicit JsonDocument(std::unique_ptr<Content> content);
  std::unique_ptr<Content> content_;
};

}  // namespace coursepond::model
