#pragma once

/// Incremental parsing of HTTP/1 messages for the data path: takes bytes, and yields head fields
/// and decoded body pieces without holding a whole message. Wraps Beast's parser and adds the
/// checks that a proxy needs: it rejects every message whose end two parsers could place
/// differently.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "runtime/http_field.h"

namespace coursepond::runtime {

struct ParserLimits {
  std::uint32_t head_bytes = 16 * 1024;
  std::optional<std::uint64_t> body_bytes;            ///< Unset: any length.
  const FieldTable* table = &FieldTable::standard();  ///< Must outlive the parser.
};

enum class ParseFailure {
  kNone,
  kMalformed,           ///< Not HTTP/1, or malformed chunks.
  kHeadTooLarge,        ///< Larger than ParserLimits::head_bytes.
  kBodyTooLarge,        ///< Larger than ParserLimits::body_bytes.
  kAmbiguousLength,     ///< Content-Length and Transfer-Encoding conflict or are repeated.
  kUnsupportedCoding,   ///< A Transfer-Encoding other than chunked.
  kUnsupportedVersion,  ///< Not HTTP/1.0 or HTTP/1.1.
};

/// How the end of a body is determined.
enum class BodyFraming { kNone, kLength, kChunked, kUntilClose };

/// Receives the decoded bytes of a body. Each view is valid during the call only.
class BodySink {
 public:
  virtual ~BodySink() = default;
  virtual void onBody(std::string_view piece) = 0;
};

/// The head of a request or an answer.
struct MessageHead {
  std::string method;       ///< Requests only.
  std::string target;       ///< Requests only.
  unsigned status = 0;      ///< Answers only.
  std::string reason;       ///< Answers only: the phrase after the status.
  bool is_http_1_1 = true;  ///< False for HTTP/1.0.
  bool keep_alive = true;   ///< The sender accepts another message on this connection.
  BodyFraming framing = BodyFraming::kNone;
  /// With kLength; also the length announced by an answer without body.
  std::uint64_t content_length = 0;
  bool has_content_length = false;
  FieldBlock fields;
};

/// Whether an answer with this status is an interim one, which the final answer follows.
inline bool isInterim(unsigned status) { return status / 100 == 1; }

/// Parses the messages of one connection, one after another.
class MessageParser {
 public:
  enum class Kind { kRequest, kAnswer };

  MessageParser(Kind kind, const ParserLimits& limits);
  ~MessageParser();
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Starts the next message. `answer_to_head`: the answer has no body, whatever length it
  /// announces.
  void reset(bool answer_to_head = false);

  /// Consumes bytes until the head is complete and returns how many were used. Pass the unused
  /// bytes again, followed by newly received ones.
  std::size_t parseHead(std::string_view bytes);
  /// Consumes body bytes after the head and returns how many were used.
  std::size_t parseBody(std::string_view bytes, BodySink& sink);
  /// Call when the sender has ended the stream. Returns true if this properly ends the message.
  bool parseEnd();

  /// Whether no byte of the message has been consumed yet.
  bool atStart() const { return head_bytes_ == 0; }
  /// Number of bytes of the head that have been consumed.
  std::size_t headBytes() const { return head_bytes_; }
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
  bool body_begun_ = false;  ///< Some bytes of the body have been consumed.
  bool complete_ = false;
  ParseFailure failure_ = ParseFailure::kNone;
  std::unique_ptr<Core> core_;
};

}  // namespace coursepond::runtime
