#include "runtime/http_parser.h"

// clang-format off: has to come before Beast
#include "runtime/beast_warnings.h"
// clang-format on

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace coursepond::runtime {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// The library accepts any three digits (RFC 9110, section 15).
constexpr int kLowestStatus = 100;
/// The library asserts that it has seen more than this when it returns to an incomplete last chunk.
constexpr std::string_view kShortestLastChunk = "0\r\n";

std::string_view view(beast::string_view text) { return {text.data(), text.size()}; }

ParseFailure failureOf(const error_code& error) {
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    return ParseFailure::kHeadTooLarge;
  }
  if (error == http::error::body_limit) return ParseFailure::kBodyTooLarge;
  if (error == http::error::bad_version) return ParseFailure::kUnsupportedVersion;
  if (error == http::error::bad_content_length || error == http::error::multiple_content_length ||
      error == http::error::bad_transfer_encoding) {
    return ParseFailure::kAmbiguousLength;
  }
  return ParseFailure::kMalformed;
}

/// Returns whether a line of a head begins with a blank. The library joins such a line with the one
/// before it; the sender may have meant a field of its own (RFC 9112, section 5.2).
bool hasContinuedLine(std::string_view lines) {
  return lines.find("\r\n ") != std::string_view::npos ||
         lines.find("\r\n\t") != std::string_view::npos;
}

/// RFC 9112, section 6: rejects every message whose end is ambiguous.
ParseFailure checkLength(const MessageHead& head) {
  const std::size_t lengths = head.fields.count(FieldRole::kContentLength);
  const std::size_t codings = head.fields.count(FieldRole::kTransferEncoding);
  if (lengths + codings > 1) return ParseFailure::kAmbiguousLength;
  if (lengths == 1 && head.fields.find(FieldRole::kContentLength).find(',') != std::string::npos) {
    return ParseFailure::kAmbiguousLength;
  }
  if (codings == 0) return ParseFailure::kNone;
  if (!head.is_http_1_1) return ParseFailure::kAmbiguousLength;
  const std::string_view coding = head.fields.find(FieldRole::kTransferEncoding);
  return equalsIgnoringCase(coding, "chunked") ? ParseFailure::kNone
                                               : ParseFailure::kUnsupportedCoding;
}

}  // namespace

/// Parses one message, either a request or an answer.
class MessageParser::Core {
 public:
  virtual ~Core() = default;
  virtual void reset(const ParserLimits& limits, bool answer_to_head) = 0;
  virtual std::size_t put(std::string_view bytes, BodySink* sink, error_code& error) = 0;
  virtual void putEnd(error_code& error) = 0;
  virtual bool headDone() const = 0;
  virtual bool done() const = 0;
  virtual void describeHead(MessageHead& head) const = 0;
};

template <bool is_request>
class MessageParser::BeastCore final : public Core {
 public:
  explicit BeastCore(MessageHead& head) : head_(head) {}

  void reset(const ParserLimits& limits, bool answer_to_head) override {
    parser_.emplace(head_);
    parser_->header_limit(limits.head_bytes);
    if (limits.body_bytes) {
      parser_->body_limit(*limits.body_bytes);
    } else {
      parser_->body_limit(boost::none);
    }
    parser_->skip(answer_to_head);
  }

  std::size_t put(std::string_view bytes, BodySink* sink, error_code& error) override {
    parser_->sink = sink;
    return parser_->put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
  }

  void putEnd(error_code& error) override {
    if (!parser_->got_some()) {
      error = http::error::end_of_stream;
      return;
    }
    parser_->put_eof(error);
  }

  bool headDone() const override { return parser_->is_header_done(); }
  bool done() const override { return parser_->is_done(); }

  void describeHead(MessageHead& head) const override {
    head.keep_alive = parser_->keep_alive();
    const auto length = parser_->content_length();
    head.has_content_length = length.has_value();
    head.content_length = length.value_or(0);
    head.framing = framing();
  }

 private:
  struct Parser final : http::basic_parser<is_request> {
    explicit Parser(MessageHead& head_in) : head(head_in) {}

    void on_request_impl(http::verb, beast::string_view method, beast::string_view target,
                         int version, error_code& error) override {
      head.method = view(method);
      head.target = view(target);
      head.is_http_1_1 = version == 11;
      error = {};
    }
    void on_response_impl(int status, beast::string_view reason, int version,
                          error_code& error) override {
      head.status = static_cast<unsigned>(status);
      head.reason = view(reason);
      head.is_http_1_1 = version == 11;
      error = status < kLowestStatus ? make_error_code(http::error::bad_status) : error_code();
    }
    void on_field_impl(http::field, beast::string_view name, beast::string_view value,
                       error_code& error) override {
      error = {};
      if (!in_trailer) head.fields.add(view(name), view(value));
    }
    void on_header_impl(error_code& error) override {
      in_trailer = true;
      error = {};
    }
    void on_body_init_impl(boost::optional<std::uint64_t> const&, error_code& error) override {
      error = {};
    }
    std::size_t on_body_impl(beast::string_view body, error_code& error) override {
      error = {};
      if (sink != nullptr) sink->onBody(view(body));
      return body.size();
    }
    void on_chunk_header_impl(std::uint64_t, beast::string_view, error_code& error) override {
      error = {};
    }
    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view body,
                                   error_code& error) override {
      return on_body_impl(body, error);
    }
    void on_finish_impl(error_code& error) override { error = {}; }

    MessageHead& head;
    BodySink* sink = nullptr;
    bool in_trailer = false;  ///< Trailer fields are dropped.
  };

  BodyFraming framing() const {
    if (parser_->is_done()) return BodyFraming::kNone;
    if (parser_->chunked()) return BodyFraming::kChunked;
    if (parser_->need_eof()) return BodyFraming::kUntilClose;
    return BodyFraming::kLength;
  }

  MessageHead& head_;
  std::optional<Parser> parser_;
};

MessageParser::MessageParser(Kind kind, const ParserLimits& limits) : kind_(kind), limits_(limits) {
  if (kind_ == Kind::kRequest) {
    core_ = std::make_unique<BeastCore<true>>(head_);
  } else {
    core_ = std::make_unique<BeastCore<false>>(head_);
  }
  head_.fields = FieldBlock(*limits_.table);
  reset();
}

MessageParser::~MessageParser() = default;

void MessageParser::reset(bool answer_to_head) {
  head_.fields.clear();
  head_bytes_ = 0;
  head_complete_ = body_begun_ = false;
  complete_ = false;
  failure_ = ParseFailure::kNone;
  core_->reset(limits_, answer_to_head);
}

std::size_t MessageParser::parseHead(std::string_view bytes) {
  if (bytes.empty()) return 0;
  error_code error;
  const std::size_t used = core_->put(bytes, nullptr, error);
  head_bytes_ += used;
  // Fields are consumed whole, with the lines that continue them.
  if (kind_ == Kind::kAnswer && hasContinuedLine(bytes.substr(0, used))) {
    failure_ = ParseFailure::kMalformed;
    return used;
  }
  if (error == http::error::need_more) {
    // Beast applies its own limit anew after each field that it has consumed.
    const bool too_large = head_bytes_ + bytes.size() - used >= limits_.head_bytes;
    if (too_large) failure_ = ParseFailure::kHeadTooLarge;
    return used;
  }
  if (error) {
    failure_ = failureOf(error);
    return used;
  }
  if (!core_->headDone()) return used;
  if (head_bytes_ > limits_.head_bytes) {
    failure_ = ParseFailure::kHeadTooLarge;
    return used;
  }
  head_complete_ = true;
  complete_ = core_->done();
  core_->describeHead(head_);
  failure_ = checkLength(head_);
  return used;
}

std::size_t MessageParser::parseBody(std::string_view bytes, BodySink& sink) {
  const bool is_chunked = head_.framing == BodyFraming::kChunked;
  if (is_chunked && !body_begun_ && bytes == kShortestLastChunk) return 0;
  std::size_t used = 0;
  while (used < bytes.size() && !complete_) {
    error_code error;
    const std::size_t step = core_->put(bytes.substr(used), &sink, error);
    used += step;
    complete_ = core_->done();
    if (error == http::error::need_more) break;
    if (error) {
      failure_ = failureOf(error);
      break;
    }
  }
  if (used > 0) body_begun_ = true;
  return used;
}

bool MessageParser::parseEnd() {
  if (complete_) return true;
  error_code error;
  core_->putEnd(error);
  complete_ = !error;
  return complete_;
}

}  // namespace coursepond::runtime
