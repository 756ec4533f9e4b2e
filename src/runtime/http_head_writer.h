#pragma once

/// Writes the message heads that a proxy sends: requests to servers and answers to callers. They
/// are written directly into the connection's output, so that the head and the first body bytes
/// leave in one write.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "proxy/request_flow.h"
#include "runtime/caller_request.h"
#include "runtime/http_parser.h"

namespace coursepond::runtime {

/// Appends the request's head as it is sent to the server on this attempt.
void appendRequestHead(std::string& out, const CallerRequest& request, const MessageHead& head,
                       const proxy::AttemptPlan& plan, const HeaderNames& names = {});

/// Who receives a server's answers and the node's own answers.
enum class AnswerStyle {
  kDirect,   ///< Callers of a node that reaches servers directly; also nodes further up the call
             ///< path.
  kIngress,  ///< Egresses: they receive the server's load, and the outcome in a header.
  kEgress,   ///< Callers of the first of two hops: they see the outcome in the status only.
};

/// What every answer to a caller carries, whether a server or the node itself produced it.
struct AnswerContext {
  const HeaderNames* names = &FieldTable::standard().names();
  AnswerStyle style = AnswerStyle::kDirect;
  std::optional<proxy::HopLoad> hop_load;
  /// Set when the whole body is available: its length replaces the server's framing.
  std::optional<std::uint64_t> whole_length;
  /// Retry-After in fractions of a second instead of whole seconds.
  bool exact_retry_after = false;
  std::string_view request_id;
  Version version;
  bool caller_is_http_1_1 = true;
  bool close = false;         ///< The connection ends with this answer.
  bool head_request = false;  ///< The request was HEAD: no body may follow.
};

/// The framing with which a server's body is forwarded to this caller.
BodyFraming framingTowards(const MessageHead& answer, bool caller_is_http_1_1);

/// Appends the head of a server's answer as it is sent to the caller.
void appendAnswerHead(std::string& out, const MessageHead& answer, const AnswerContext& context);

/// Appends a complete answer of the node itself.
void appendLocalAnswer(std::string& out, const proxy::LocalAnswer& answer,
                       const AnswerContext& context);

/// Appends one chunk of the chunked coding. `piece` must not be empty.
void appendChunk(std::string& out, std::string_view piece);

inline constexpr std::string_view kLastChunk = "0\r\n\r\n";
inline constexpr std::string_view kReceiptAnswer = "HTTP/1.1 102 Processing\r\n\r\n";
inline constexpr std::string_view kContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace coursepond::runtime
