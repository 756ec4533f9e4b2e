#pragma once

/// A parsed JSON tree that is cheap to create and destroy, because it is allocated in a few large
/// blocks.

#include <boost/json/fwd.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace coursepond::model {

class JsonDocument {
 public:
  /// Returns nothing if `text` is not a single JSON value in UTF-8, if objects and arrays are
  /// nested deeper than `maximum_depth`, or if a number is out of range for a double. If an object
  /// has a duplicate key, its last value is used.
  static std::optional<JsonDocument> parse(std::string_view text, std::size_t maximum_depth);
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
  explicit JsonDocument(std::unique_ptr<Content> content);
  std::unique_ptr<Content> content_;
};

}  // namespace coursepond::model
