#include "model/json_document.h"

#include <boost/json.hpp>
#include <boost/json/basic_parser_impl.hpp>
#include <charconv>
#include <cmath>
#include <string>
#include <utility>

namespace coursepond::model {
namespace {

namespace json = boost::json;

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

/// Builds the tree from parser events like Boost.JSON's own handler, and also counts the keys.
class TreeBuilder {
 public:
  static constexpr std::size_t max_object_size = json::object::max_size();
  static constexpr std::size_t max_array_size = json::array::max_size();
  static constexpr std::size_t max_key_size = json::string::max_size();
  static constexpr std::size_t max_string_size = json::string::max_size();

  explicit TreeBuilder(json::storage_ptr storage) { stack_.reset(std::move(storage)); }

  json::value take() { return stack_.release(); }
  std::size_t keys() const { return keys_; }

  // Boost.JSON requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  bool on_document_begin(json::error_code&) { return true; }
  bool on_document_end(json::error_code&) { return true; }
  bool on_object_begin(json::error_code&) { return true; }
  bool on_object_end(std::size_t size, json::error_code&) {
    keys_ += size;
    stack_.push_object(size);
    return true;
  }
  bool on_array_begin(json::error_code&) { return true; }
  bool on_array_end(std::size_t size, json::error_code&) {
    stack_.push_array(size);
    return true;
  }
  bool on_key_part(json::string_view part, std::size_t, json::error_code&) {
    stack_.push_chars(part);
    return true;
  }
  bool on_key(json::string_view rest, std::size_t, json::error_code&) {
    stack_.push_key(rest);
    return true;
  }
  bool on_string_part(json::string_view part, std::size_t, json::error_code&) {
    stack_.push_chars(part);
    return true;
  }
  bool on_string(json::string_view rest, std::size_t, json::error_code&) {
    stack_.push_string(rest);
    return true;
  }
  bool on_number_part(json::string_view, json::error_code&) { return true; }
  bool on_int64(std::int64_t number, json::string_view text, json::error_code&) {
    if (number == 0 && text.starts_with('-')) {
      stack_.push_double(-0.0);
    } else {
      stack_.push_int64(number);
    }
    return true;
  }
  bool on_uint64(std::uint64_t number, json::string_view, json::error_code&) {
    stack_.push_uint64(number);
    return true;
  }
  bool on_double(double number, json::string_view, json::error_code& error) {
    if (!std::isfinite(number)) error = json::error::exponent_overflow;
    stack_.push_double(number);
    return !error;
  }
  bool on_bool(bool value, json::error_code&) {
    stack_.push_bool(value);
    return true;
  }
  bool on_null(json::error_code&) {
    stack_.push_null();
    return true;
  }
  bool on_comment_part(json::string_view, json::error_code&) { return true; }
  bool on_comment(json::string_view, json::error_code&) { return true; }
  // NOLINTEND(readability-identifier-naming)

 private:
  json::value_stack stack_;
  std::size_t keys_ = 0;
};

std::size_t countKeys(const json::value& value) {
  std::size_t keys = 0;
  if (const json::object* const members = value.if_object()) {
    keys = members->size();
    for (const auto& [key, member] : *members) keys += countKeys(member);
  } else if (const json::array* const elements = value.if_array()) {
    for (const json::value& element : *elements) keys += countKeys(element);
  }
  return keys;
}

/// Returns the UTF-16 code unit of the escape at `index`, such as "\u00e4"; nothing if there is
/// none.
std::optional<unsigned> escapedUnit(std::string_view text, std::size_t index) {
  if (text.substr(index, 2) != "\\u") return std::nullopt;
  const std::string_view digits = text.substr(index + 2, 4);
  unsigned unit = 0;
  const auto [end, status] =
      std::from_chars(digits.data(), digits.data() + digits.size(), unit, 16);
  if (status != std::errc() || end != digits.data() + 4) return std::nullopt;
  return unit;
}

bool isHighSurrogate(unsigned unit) { return unit >= 0xD800 && unit < 0xDC00; }
bool isLowSurrogate(unsigned unit) { return unit >= 0xDC00 && unit < 0xE000; }

/// Replaces escaped halves of surrogate pairs by the replacement character.
std::string withoutLoneSurrogates(std::string_view text) {
  constexpr std::string_view kReplacement = "\\ufffd";
  std::string replaced;
  for (std::size_t index = 0; index < text.size();) {
    const std::optional<unsigned> unit = escapedUnit(text, index);
    const bool begins_pair =
        unit && isHighSurrogate(*unit) &&
        isLowSurrogate(escapedUnit(text, index + kReplacement.size()).value_or(0));
    const bool is_lone = unit && !begins_pair && (isHighSurrogate(*unit) || isLowSurrogate(*unit));
    std::size_t size = text[index] == '\\' ? 2 : 1;  // Skips an escaped backslash as a whole.
    if (is_lone) size = kReplacement.size();
    if (begins_pair) size = 2 * kReplacement.size();
    replaced += is_lone ? kReplacement : text.substr(index, size);
    index += size;
  }
  return replaced;
}

}  // namespace

struct JsonDocument::Content {
  json::monotonic_resource memory;
  json::value root = json::value(json::storage_ptr(&memory));
  std::size_t keys = 0;
};

JsonDocument::JsonDocument(std::unique_ptr<Content> content) : content_(std::move(content)) {}
JsonDocument::~JsonDocument() = default;
JsonDocument::JsonDocument(JsonDocument&&) noexcept = default;
JsonDocument& JsonDocument::operator=(JsonDocument&&) noexcept = default;

std::optional<JsonDocument> JsonDocument::parse(std::string_view text, std::size_t maximum_depth,
                                                JsonStrings strings) {
  if (text.starts_with(kByteOrderMark)) text.remove_prefix(kByteOrderMark.size());
  std::optional<JsonDocument> document = parseOnce(text, maximum_depth, strings);
  if (document || strings == JsonStrings::kUnicode) return document;
  return parseOnce(withoutLoneSurrogates(text), maximum_depth, strings);
}

std::optional<JsonDocument> JsonDocument::parseOnce(std::string_view text,
                                                    std::size_t maximum_depth,
                                                    JsonStrings strings) {
  auto content = std::make_unique<Content>();
  json::parse_options options;
  options.max_depth = maximum_depth;
  options.allow_invalid_utf8 = strings == JsonStrings::kAnyBytes;
  json::basic_parser<TreeBuilder> parser(options, json::storage_ptr(&content->memory));
  json::error_code error;
  const std::size_t read = parser.write_some(false, text.data(), text.size(), error);
  if (error || read < text.size()) return std::nullopt;
  content->root = parser.handler().take();
  content->keys = parser.handler().keys();
  return JsonDocument(std::move(content));
}

const json::value& JsonDocument::root() const { return content_->root; }

bool JsonDocument::hasRepeatedKey() const { return countKeys(content_->root) != content_->keys; }

}  // namespace coursepond::model
