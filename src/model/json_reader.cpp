#include "model/json_reader.h"

#include <algorithm>
#include <boost/json.hpp>
#include <nlohmann/json.hpp>
#include <numeric>
#include <set>

#include "core/address.h"
#include "core/ascii.h"
#include "model/name.h"

namespace coursepond::model {
namespace {

using Json = boost::json::value;
/// Slower than Boost.JSON, but reports the position of a syntax error and the duplicate key.
using ExactJson = nlohmann::json;

constexpr std::size_t kMaximumNestingDepth = 16;
constexpr std::size_t kLongestQuotedText = 80;
/// Initial capacity for the keys of an object; enough for most routes.
constexpr std::size_t kInitialKeyCapacity = 16;

std::string_view textOf(const Json& value) { return value.get_string(); }

/// Formats a number for messages, as 1.0 rather than 1E0.
std::string numberText(const Json& value) {
  return value.is_double() ? ExactJson(value.get_double()).dump() : boost::json::serialize(value);
}

std::string inQuotes(std::string_view text) {
  const bool cut = text.size() > kLongestQuotedText;
  return "'" + std::string(text.substr(0, kLongestQuotedText)) + (cut ? "...'" : "'");
}

/// Returns the Levenshtein distance.
std::size_t editDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> previous(right.size() + 1);
  std::iota(previous.begin(), previous.end(), 0);
  for (std::size_t row = 1; row <= left.size(); ++row) {
    std::vector<std::size_t> current(right.size() + 1, row);
    for (std::size_t column = 1; column <= right.size(); ++column) {
      const std::size_t substitution =
          previous[column - 1] + (left[row - 1] == right[column - 1] ? 0 : 1);
      current[column] = std::min({previous[column] + 1, current[column - 1] + 1, substitution});
    }
    previous = std::move(current);
  }
  return previous.back();
}

std::string_view nearest(std::string_view word, const std::vector<std::string_view>& candidates) {
  std::string_view best;
  std::size_t best_distance = 0;
  for (const std::string_view candidate : candidates) {
    const std::size_t distance = editDistance(word, candidate);
    if (best.empty() || distance < best_distance) {
      best = candidate;
      best_distance = distance;
    }
  }
  return best;
}

/// Detects duplicate keys and excessive nesting, which the parser itself accepts.
class StructureCheck {
 public:
  bool operator()(int depth, ExactJson::parse_event_t event, const ExactJson& parsed) {
    if (static_cast<std::size_t>(depth) > kMaximumNestingDepth) too_deep_ = true;
    switch (event) {
      case ExactJson::parse_event_t::object_start:
        keys_.emplace_back();
        break;
      case ExactJson::parse_event_t::object_end:
        if (!keys_.empty()) keys_.pop_back();
        break;
      case ExactJson::parse_event_t::key:
        noteKey(parsed);
        break;
      default:
        break;
    }
    return !too_deep_;
  }

  bool tooDeep() const { return too_deep_; }
  const std::string& repeatedKey() const { return repeated_key_; }

 private:
  void noteKey(const ExactJson& parsed) {
    const auto& key = parsed.get_ref<const std::string&>();
    if (!keys_.empty() && !keys_.back().insert(key).second) repeated_key_ = key;
  }

  std::vector<std::set<std::string>> keys_;
  std::string repeated_key_;
  bool too_deep_ = false;
};

void addMalformed(Mistakes& mistakes, std::string message, std::string remedy) {
  mistakes.push_back({"", Error{ErrorKind::kMalformed, std::move(message), std::move(remedy)}});
}

/// Adds the reason why `text` was rejected to `mistakes`.
void explain(std::string_view text, Mistakes& mistakes) {
  StructureCheck structure;
  try {
    const auto parsed = ExactJson::parse(
        text, [&structure](int depth, ExactJson::parse_event_t event, ExactJson& value) {
          return structure(depth, event, value);
        });
    const bool is_too_deep = parsed.is_discarded() || structure.tooDeep();
    if (is_too_deep || structure.repeatedKey().empty()) {
      return addMalformed(mistakes, "nested too deeply",
                          "nest at most " + std::to_string(kMaximumNestingDepth) + " levels");
    }
    addMalformed(mistakes,
                 "key " + inQuotes(structure.repeatedKey()) + " occurs twice in an object",
                 "keep one of them");
  } catch (const ExactJson::parse_error& failure) {
    // The library's own message quotes the input, which may be a secret.
    addMalformed(mistakes, "not JSON at byte " + std::to_string(failure.byte),
                 "publish one JSON object");
  } catch (const ExactJson::exception&) {
    addMalformed(mistakes, "not JSON", "publish one JSON object");
  }
}

bool consistsOf(std::string_view text, std::string_view extra) {
  return std::all_of(text.begin(), text.end(), [extra](char character) {
    return isLetterOrDigit(character) || extra.find(character) != std::string_view::npos;
  });
}

bool hasNoControlCharacter(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char character) {
    return static_cast<unsigned char>(character) < 0x20 || character == 0x7f;
  });
}

bool isHost(std::string_view text) {
  const bool upper = std::any_of(text.begin(), text.end(), [](char character) {
    return character >= 'A' && character <= 'Z';
  });
  return text.empty() || (isName(text) && !upper);
}

bool isPathPrefix(std::string_view text) {
  constexpr std::string_view kExtra = "/-._~!$&'()*+,;=:@%";
  return !text.empty() && text.size() <= 2048 && text.front() == '/' && consistsOf(text, kExtra);
}

bool isMethod(std::string_view text) {
  return !text.empty() && text.size() <= 32 &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return (character >= 'A' && character <= 'Z') || character == '-';
         });
}

bool isHeaderName(std::string_view text) {
  return !text.empty() && text.size() <= 128 && consistsOf(text, "!#$%&'*+-.^_`|~");
}

bool isHeaderValue(std::string_view text) {
  return text.size() <= 4096 && hasNoControlCharacter(text);
}

bool isSecretValue(std::string_view text) {
  return !text.empty() && text.size() <= 8192 && hasNoControlCharacter(text);
}

bool isAddress(std::string_view text) { return parseAddress(text).has_value(); }

}  // namespace

namespace rules {
const TextRule kName{"a name of 1 to 253 letters, digits, '.', '_' or '-'", isName};
const TextRule kHost{"a host name in lower case without a port", isHost};
const TextRule kPathPrefix{"a path of at most 2048 characters that begins with '/'", isPathPrefix};
const TextRule kMethod{"an HTTP method in upper case", isMethod};
const TextRule kHeaderName{"an HTTP header name of at most 128 characters", isHeaderName};
const TextRule kHeaderValue{"at most 4096 bytes without control characters", isHeaderValue};
const TextRule kSecretValue{"1 to 8192 bytes without control characters", isSecretValue, true};
const TextRule kAddress{"an address as IP:port", isAddress};
}  // namespace rules

std::optional<JsonDocument> parseJson(std::string_view text, Mistakes& mistakes) {
  if (text.size() > kMaximumDocumentBytes) {
    const std::string limit = std::to_string(kMaximumDocumentBytes);
    mistakes.push_back(
        {"", Error{ErrorKind::kTooLarge, std::to_string(text.size()) + " bytes, over " + limit,
                   "publish at most " + limit + " bytes"}});
    return std::nullopt;
  }
  std::optional<JsonDocument> document = JsonDocument::parse(text, kMaximumNestingDepth);
  if (document && !document->hasRepeatedKey()) return document;
  explain(text, mistakes);
  return std::nullopt;
}

ObjectReader::ObjectReader(const Json& value, std::string path, Mistakes& mistakes)
    : value_(value), path_(std::move(path)), mistakes_(mistakes) {
  known_keys_.reserve(kInitialKeyCapacity);
  if (!value_.is_object()) refuse("", ErrorKind::kInvalidArgument, "not an object", "write {...}");
}

std::string ObjectReader::text(std::string_view key, const TextRule& rule) {
  const Json* value = require(key);
  return value == nullptr ? std::string() : readText(*value, key, rule);
}

std::string ObjectReader::textOr(std::string_view key, std::string_view fallback,
                                 const TextRule& rule) {
  const Json* value = find(key);
  return value == nullptr ? std::string(fallback) : readText(*value, key, rule);
}

std::uint64_t ObjectReader::number(std::string_view key, NumberRange range) {
  const Json* value = require(key);
  return value == nullptr ? range.minimum : readNumber(*value, key, range);
}

std::uint64_t ObjectReader::numberOr(std::string_view key, std::uint64_t fallback,
                                     NumberRange range) {
  const Json* value = find(key);
  return value == nullptr ? fallback : readNumber(*value, key, range);
}

Digest ObjectReader::digest(std::string_view key) {
  const Json* value = require(key);
  if (value == nullptr) return {};
  const Result<Digest> digest =
      Digest::fromHex(value->is_string() ? textOf(*value) : std::string_view());
  if (digest.has_value()) return *digest;
  refuse(key, ErrorKind::kInvalidArgument, "not a digest", "write 64 hexadecimal digits");
  return {};
}

std::vector<std::string> ObjectReader::sortedTexts(std::string_view key, const TextRule& rule) {
  std::vector<std::string> texts;
  const Json* value = find(key);
  if (value == nullptr) return texts;
  if (!value->is_array()) {
    refuse(key, ErrorKind::kInvalidArgument, "not an array", "write [...] of strings");
    return texts;
  }
  for (const Json& element : value->get_array()) {
    const std::string place = std::string(key) + "[" + std::to_string(texts.size()) + "]";
    texts.push_back(readText(element, place, rule));
  }
  std::sort(texts.begin(), texts.end());
  const auto repeated = std::adjacent_find(texts.begin(), texts.end());
  if (repeated != texts.end() && !repeated->empty()) {
    refuse(key, ErrorKind::kInvalidArgument, inQuotes(*repeated) + " is listed twice",
           "keep one of them");
  }
  return texts;
}

bool ObjectReader::flagOr(std::string_view key, bool fallback) {
  const Json* value = find(key);
  if (value == nullptr) return fallback;
  if (value->is_bool()) return value->get_bool();
  refuse(key, ErrorKind::kInvalidArgument, "neither true nor false", "write true or false");
  return fallback;
}

std::size_t ObjectReader::choiceOr(std::string_view key, std::size_t fallback,
                                   const std::vector<std::string_view>& words) {
  const Json* value = find(key);
  if (value == nullptr) return fallback;
  if (value->is_string()) {
    const auto found = std::find(words.begin(), words.end(), textOf(*value));
    if (found != words.end()) return static_cast<std::size_t>(found - words.begin());
  }
  std::string remedy = "write one of";
  for (const std::string_view word : words) remedy += " \"" + std::string(word) + "\"";
  refuse(key, ErrorKind::kInvalidArgument, "not a known value", std::move(remedy));
  return fallback;
}

void ObjectReader::requiredObjects(std::string_view key, const ElementReader& read) {
  const Json* value = require(key);
  if (value != nullptr) readObjects(*value, key, read);
}

void ObjectReader::optionalObjects(std::string_view key, const ElementReader& read) {
  const Json* value = find(key);
  if (value != nullptr) readObjects(*value, key, read);
}

void ObjectReader::optionalObject(std::string_view key, const ElementReader& read) {
  const Json* value = find(key);
  if (value == nullptr) return;
  ObjectReader element(*value, placeOf(key), mistakes_);
  read(element);
  element.refuseUnknownKeys();
}

void ObjectReader::refuse(std::string_view key, ErrorKind kind, const std::string& message,
                          std::string remedy) {
  std::string place = placeOf(key);
  const std::string prefix = place.empty() ? std::string() : place + ": ";
  mistakes_.push_back({std::move(place), Error{kind, prefix + message, std::move(remedy)}});
}

void ObjectReader::refuseUnknownKeys() {
  if (!value_.is_object()) return;
  std::vector<std::string_view> unknown;
  for (const auto& member : value_.get_object()) {
    const std::string_view key = member.key();
    const bool is_known =
        std::find(known_keys_.begin(), known_keys_.end(), key) != known_keys_.end();
    if (!is_known) unknown.push_back(key);
  }
  std::sort(unknown.begin(), unknown.end());
  for (const std::string_view key : unknown) {
    refuse("", ErrorKind::kInvalidArgument, "unknown key " + inQuotes(key),
           "did you mean '" + std::string(nearest(key, known_keys_)) + "'? Otherwise remove it");
  }
}

const Json* ObjectReader::find(std::string_view key) {
  known_keys_.push_back(key);
  const boost::json::object* const members = value_.if_object();
  return members == nullptr ? nullptr : members->if_contains(key);
}

const Json* ObjectReader::require(std::string_view key) {
  const Json* value = find(key);
  if (value == nullptr && value_.is_object()) {
    refuse(key, ErrorKind::kInvalidArgument, "is missing", "add \"" + std::string(key) + "\"");
  }
  return value;
}

std::string ObjectReader::readText(const Json& value, std::string_view key, const TextRule& rule) {
  if (!value.is_string()) {
    refuse(key, ErrorKind::kInvalidArgument, "not a string",
           std::string("write ") + rule.expectation);
    return {};
  }
  const std::string_view text = textOf(value);
  if (rule.accepts(text)) return std::string(text);
  const std::string shown = rule.confidential ? std::string("the value") : inQuotes(text);
  refuse(key, ErrorKind::kInvalidArgument, shown + " is not " + rule.expectation,
         std::string("write ") + rule.expectation);
  return {};
}

std::uint64_t ObjectReader::readNumber(const Json& value, std::string_view key, NumberRange range) {
  const bool whole = value.is_uint64() || (value.is_int64() && value.get_int64() >= 0);
  const std::uint64_t number = whole ? value.to_number<std::uint64_t>() : 0;
  if (whole && number >= range.minimum && number <= range.maximum) return number;
  const std::string bounds = std::to_string(range.minimum) + " to " + std::to_string(range.maximum);
  const std::string shown =
      value.is_number() ? inQuotes(numberText(value)) : std::string("the value");
  refuse(key, ErrorKind::kInvalidArgument, shown + " is not a whole number from " + bounds,
         "write a whole number from " + bounds);
  return range.minimum;
}

void ObjectReader::readObjects(const Json& value, std::string_view key, const ElementReader& read) {
  if (!value.is_array()) {
    refuse(key, ErrorKind::kInvalidArgument, "not an array", "write [...] of objects");
    return;
  }
  std::size_t index = 0;
  for (const Json& item : value.get_array()) {
    ObjectReader element(item, placeOf(key) + "[" + std::to_string(index++) + "]", mistakes_);
    if (!item.is_object()) continue;
    read(element);
    element.refuseUnknownKeys();
  }
}

std::string ObjectReader::placeOf(std::string_view key) const {
  if (key.empty() || path_.empty()) return path_ + std::string(key);
  return path_ + "." + std::string(key);
}

}  // namespace coursepond::model
