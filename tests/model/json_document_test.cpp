#include "model/json_document.h"

#include <doctest/doctest.h>

#include <boost/json.hpp>
#include <string>

namespace coursepond::model {
namespace {

constexpr std::size_t kDepth = 4;

bool parses(std::string_view text) { return JsonDocument::parse(text, kDepth).has_value(); }

}  // namespace

TEST_CASE("the tree of a JSON document stays valid as long as the document") {
  std::optional<JsonDocument> document = JsonDocument::parse(
      "\xef\xbb\xbf {\"a\": [1, -1, 18446744073709551615], \"b\": \"x\\u00e9\"} ", kDepth);
  REQUIRE(document.has_value());
  const JsonDocument moved = std::move(*document);
  const boost::json::object& root = moved.root().get_object();
  CHECK(root.at("a").get_array().size() == 3);
  CHECK(root.at("a").at(0).get_int64() == 1);
  CHECK(root.at("a").at(2).get_uint64() == 18446744073709551615U);
  CHECK(root.at("b").get_string() == "x\xc3\xa9");
  CHECK_FALSE(moved.hasRepeatedKey());
}

TEST_CASE("text that is not one JSON value, too deeply nested or out of range is rejected") {
  for (const char* text : {"", " ", "{", "{} {}", "{\"a\":1,}", "[01]", "[+1]", "[.5]", "\"\x01\"",
                           "\"\xff\"", "\"\\ud800\"", "[1e999]", "[-1e999]", "nul", "'a'"}) {
    CAPTURE(text);
    CHECK_FALSE(parses(text));
  }
  CHECK(parses("[[[[1]]]]"));
  CHECK_FALSE(parses("[[[[[1]]]]]"));
  CHECK_FALSE(parses(std::string(1'000'000, '[')));
}

TEST_CASE("minus zero is not an integer") {
  CHECK(JsonDocument::parse("-0", kDepth)->root().is_double());
  CHECK(JsonDocument::parse("0", kDepth)->root().is_int64());
}

TEST_CASE("the last value of a duplicate key is used, and the duplicate is reported") {
  const auto document = JsonDocument::parse(R"([{"a": 1, "b": {"c": 1, "c": 2}}])", kDepth);
  REQUIRE(document.has_value());
  CHECK(document->hasRepeatedKey());
  CHECK(document->root().at(0).at("b").at("c").get_int64() == 2);
  const auto apart = JsonDocument::parse(R"([{"a": 1, "b": {"a": 1}}, {"a": 1}])", kDepth);
  CHECK_FALSE(apart->hasRepeatedKey());
}

}  // namespace coursepond::model
