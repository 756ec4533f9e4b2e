#include "runtime/http_parser.h"

#include <doctest/doctest.h>

#include "core/ascii.h"

namespace coursepond::runtime {
namespace {

class CollectingSink final : public BodySink {
 public:
  void onBody(std::string_view piece) override { body.append(piece); }
  std::string body;
};

struct Parsed {
  ParseFailure failure = ParseFailure::kNone;
  bool complete = false;
  std::string body;
};

/// Feeds the bytes in pieces of `step` bytes.
Parsed parseInSteps(MessageParser& parser, const std::string& bytes, std::size_t step) {
  CollectingSink sink;
  std::string waiting;
  for (std::size_t sent = 0; sent < bytes.size(); sent += step) {
    waiting += bytes.substr(sent, step);
    if (!parser.headComplete()) waiting.erase(0, parser.parseHead(waiting));
    if (parser.headComplete() && parser.failure() == ParseFailure::kNone) {
      waiting.erase(0, parser.parseBody(waiting, sink));
    }
    if (parser.failure() != ParseFailure::kNone) break;
  }
  return {parser.failure(), parser.complete(), sink.body};
}

}  // namespace

TEST_CASE("a message parses the same, whatever pieces it arrives in") {
  const std::string bytes =
      "POST /a HTTP/1.1\r\nHost: svc\r\nX-Load: 1/2\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nwiki\r\n5;e=1\r\npedia\r\n0\r\nContent-Type: x\r\n\r\n";
  MessageParser parser(MessageParser::Kind::kRequest, {});
  for (std::size_t step = 1; step <= bytes.size(); ++step) {
    CAPTURE(step);
    parser.reset();
    const Parsed parsed = parseInSteps(parser, bytes, step);
    CHECK(parsed.failure == ParseFailure::kNone);
    CHECK(parsed.complete);
    CHECK(parsed.body == "wikipedia");
    CHECK(parser.head().method == "POST");
    CHECK(parser.head().fields.size() == 3);
  }
}

// Guards against a process that ends at a valid message: the library asserts that the last chunk is
// seen with more bytes before it.
TEST_CASE("an empty chunked body parses the same, whatever pieces it arrives in") {
  MessageParser parser(MessageParser::Kind::kAnswer, {});
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string body : {"0\r\n\r\n", "0;a\r\n\r\n", "00\r\nX-A: b\r\n\r\n"}) {
    for (std::size_t step = 1; step <= head.size() + body.size(); ++step) {
      CAPTURE(body);
      CAPTURE(step);
      parser.reset();
      const Parsed parsed = parseInSteps(parser, head + body, step);
      CHECK(parsed.failure == ParseFailure::kNone);
      CHECK(parsed.complete);
      CHECK(parsed.body.empty());
    }
  }
}

TEST_CASE("the head limit covers all fields, however they arrive") {
  const std::string line = "X-A: 0123456789\r\n";
  std::string bytes = "GET / HTTP/1.1\r\nHost: svc\r\n";
  for (int count = 0; count < 100; ++count) bytes += line;
  ParserLimits limits;
  limits.head_bytes = 600;
  MessageParser parser(MessageParser::Kind::kRequest, limits);
  for (const std::size_t step : {std::size_t{1}, line.size(), bytes.size()}) {
    CAPTURE(step);
    parser.reset();
    CHECK(parseInSteps(parser, bytes + "\r\n", step).failure == ParseFailure::kHeadTooLarge);
  }
}

TEST_CASE("an answer without a length ends with the stream; a truncated answer does not end") {
  CollectingSink sink;
  MessageParser parser(MessageParser::Kind::kAnswer, {});
  const std::string open_ended = "HTTP/1.1 200 OK\r\n\r\nabc";
  CHECK_FALSE(parseInSteps(parser, open_ended, 5).complete);
  CHECK(parser.head().framing == BodyFraming::kUntilClose);
  CHECK(parser.parseEnd());
  parser.reset();
  CHECK_FALSE(parseInSteps(parser, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", 9).complete);
  CHECK_FALSE(parser.parseEnd());
}

// RFC 9110, section 15: a status has three digits, the first of which is not zero.
TEST_CASE("an answer whose status is below 100 is malformed, any other status is not") {
  MessageParser parser(MessageParser::Kind::kAnswer, {});
  for (unsigned status = 0; status < 1000; ++status) {
    CAPTURE(status);
    const std::string digits = std::to_string(1000 + status).substr(1);
    const std::string bytes = "HTTP/1.1 " + digits + " OK\r\nContent-Length: 0\r\n\r\n";
    for (const std::size_t step : {std::size_t{1}, bytes.size()}) {
      parser.reset();
      const Parsed parsed = parseInSteps(parser, bytes, step);
      const ParseFailure expected = status < 100 ? ParseFailure::kMalformed : ParseFailure::kNone;
      CHECK(parsed.failure == expected);
      CHECK(parsed.complete == (status >= 100));
    }
  }
  for (const std::string digits : {"", "2", "20", "2000", "+20", "2x0", " 200", "-01"}) {
    CAPTURE(digits);
    parser.reset();
    const std::string bytes = "HTTP/1.1 " + digits + " OK\r\nContent-Length: 0\r\n\r\n";
    CHECK(parseInSteps(parser, bytes, bytes.size()).failure != ParseFailure::kNone);
  }
}

bool mayBeInName(unsigned char byte) {
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";  // RFC 9110, section 5.6.2.
  const auto character = static_cast<char>(byte);
  return isLetterOrDigit(character) || kOthers.find(character) != std::string_view::npos;
}

// Guards against lines that are no field, and against a body that ends elsewhere than the server
// meant: another parser may read a name such as "Content-Length " as one that it knows.
TEST_CASE("the name of a field of an answer has no other bytes than those of a token") {
  MessageParser parser(MessageParser::Kind::kAnswer, {});
  const std::string start = "HTTP/1.1 200 OK\r\n";
  for (unsigned byte = 0; byte < 256; ++byte) {
    const std::string text(1, static_cast<char>(byte));
    const bool is_colon = text == ":";
    for (const std::string before : {"", "X-B: c\r\n"}) {
      for (const std::string& name : {text + "X-A", "X" + text + "A", "X-A" + text}) {
        CAPTURE(byte);
        CAPTURE(before);
        const std::string bytes = start + before + name + ": d\r\nContent-Length: 2\r\n\r\nok";
        const bool is_valid =
            mayBeInName(static_cast<unsigned char>(byte)) || (is_colon && !name.starts_with(':'));
        for (const std::size_t step : {std::size_t{1}, bytes.size()}) {
          parser.reset();
          const Parsed parsed = parseInSteps(parser, bytes, step);
          CHECK((parsed.failure == ParseFailure::kNone) == is_valid);
          CHECK(parsed.complete == is_valid);
        }
      }
    }
  }
}

TEST_CASE("a line of an answer that continues the line before is malformed") {
  MessageParser parser(MessageParser::Kind::kAnswer, {});
  for (const std::string fields :
       {"X-A: b\r\n Content-Length: 2\r\n", "X-A: b\r\n\tc\r\n", "Content-Length:\r\n 2\r\n",
        "X-A:\r\n \r\n", "X-A: b\r\n \r\nContent-Length: 2\r\n"}) {
    CAPTURE(fields);
    const std::string bytes = "HTTP/1.1 200 OK\r\n" + fields + "\r\nok";
    for (const std::size_t step : {std::size_t{1}, std::size_t{3}, bytes.size()}) {
      CAPTURE(step);
      parser.reset();
      CHECK(parseInSteps(parser, bytes, step).failure == ParseFailure::kMalformed);
    }
  }
}

TEST_CASE("a line of a request that continues the line before is joined with it") {
  MessageParser parser(MessageParser::Kind::kRequest, {});
  const std::string bytes = "GET / HTTP/1.1\r\nHost: svc\r\nX-A: b\r\n c\r\n\r\n";
  CHECK(parseInSteps(parser, bytes, bytes.size()).complete);
  REQUIRE(parser.head().fields.size() == 2);
  CHECK(parser.head().fields[1].value == "b c");
}

TEST_CASE("every role is found, whatever the case of the field name") {
  CHECK(roleOf("te") == FieldRole::kHopByHop);
  CHECK(roleOf("HOST") == FieldRole::kHost);
  CHECK(roleOf("x-configuration-VERSION") == FieldRole::kConfigurationVersion);
  CHECK(roleOf("retry-after") == FieldRole::kRetryAfter);
  CHECK(roleOf("X-Reques-Id") == FieldRole::kPlain);
  CHECK(roleOf("") == FieldRole::kPlain);
  CHECK(roleOf(std::string(100, 'x')) == FieldRole::kPlain);
  FieldBlock fields;
  fields.add("Connection", "close, x-A ");
  fields.add("connection", "x-b");
  CHECK(fields.connectionNames("X-a"));
  CHECK(fields.connectionNames("x-b"));
  CHECK_FALSE(fields.connectionNames("x-"));
  CHECK(fields.count(FieldRole::kConnection) == 2);
  CHECK(fields.find(FieldRole::kConnection) == "close, x-A ");
}

}  // namespace coursepond::runtime
