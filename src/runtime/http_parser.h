#pragma once

/// Incremental parsing of HTTP/1 messages for the data path: bytes in, head fields and decoded
/// body pieces out, without holding a whole message. Wraps Beast's parser and adds what a proxy
/// must refuse beside it: every message whose end two parsers could see at different places.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "runtime/http_field.h"

namespace coursepond::runtime {

struct ParserLimits {
  std::uint32_t head_bytes = 16 * 1024;
  std::optional<std::uint64_t> body_bytes;            ///< None: any length.
  const FieldTable* table = &FieldTable::standard();  ///< Must outlive the parser.
};

enum class ParseFailure {
  kNone,
  kMalformed,           ///< Not HTTP/1, or broken chunks.
  kHeadTooLarge,        ///< Over ParserLimits::head_bytes.
  kBodyTooLarge,        ///< Over ParserLimits::body_bytes.
  kAmbiguousLength,     ///< Content-Length and Transfer-Encoding disagree or stand twice.
  kUnsupportedCoding,   ///< A Transfer-Encoding other than chunked.
  kUnsupportedVersion,  ///< Not HTTP/1.0 or HTTP/1.1.
};

/// How the end of a body is known.
enum class BodyFraming { kNone, kLength, kChunked, kUntilClose };

/// Receives a body's bytes as they are decoded; each view lasts for the call.
class BodySink {
 public:
  virtual ~BodySink() = default;
  virtual void onBody(std::string_view piece) = 0;
};

/// The head of a request or an answer.
struct MessageHead {
  std::string method;       ///< Of a request.
  std::string target;       ///< Of a request.
  unsigned status = 0;      ///< Of an answer.
  std::string reason;       ///< Of an answer: the phrase after the status.
  bool is_http_1_1 = true;  ///< False for HTTP/1.0.
  bool keep_alive = true;   ///< The sender will take another message on this connection.
  BodyFraming framing = BodyFraming::kNone;
  std::uint64_t content_length = 0;  ///< With kLength; also what a bodiless answer announced.
  bool has_content_length = false;
  FieldBlock fields;
};

/// One message after another from one connection.
class MessageParser {
 public:
  enum class Kind { kRequest, kAnswer };

  MessageParser(Kind kind, const ParserLimits& limits);
  ~MessageParser();
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Begins the next message. `answer_to_head`: an answer that has no body whatever it announces.
  void reset(bool answer_to_head = false);

  /// Takes bytes until the head is complete; returns how many were used. Offer the others again,
  /// with more after them.
  std::size_t parseHead(std::string_view bytes);
  /// Takes body bytes after the head; returns how many were used.
  std::size_t parseBody(std::string_view bytes, BodySink& sink);
  /// The sender ended the stream. True when that ended the message properly.
  bool parseEnd();

  /// No byte of the message was taken yet.
  bool atStart() const { return head_bytes_ == 0; }
  bool headComplete() const { return head_complete_; }
  bool complete() const { return complete_; }
  ParseFailure failure() const { return failure_; }
  const MessageHead& head() const { return head_; }

 private:
  class Core;
  template <bool is_request>
  class BeastCore;

  Kind kind_;
  ParserLimits limits_;
  MessageHead head_;
  std::size_t head_bytes_ = 0;
  bool head_complete_ = false;
  bool complete_ = false;
  ParseFailure failure_ = ParseFailure::kNone;
  std::unique_ptr<Core> core_;
};

}  // namespace coursepond::runtime
