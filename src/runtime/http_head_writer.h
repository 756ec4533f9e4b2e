#pragma once

/// Writes the heads that a proxy sends: requests towards servers, answers towards callers. Written
/// straight into the connection's output, so that head and first body bytes leave in one write.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "proxy/request_flow.h"
#include "runtime/caller_request.h"
#include "runtime/http_parser.h"

namespace coursepond::runtime {

/// Appends the request's head as the server shall see it for this attempt.
void appendRequestHead(std::string& out, const CallerRequest& request, const MessageHead& head,
                       const proxy::AttemptPlan& plan, const HeaderNames& names = {});

/// Who reads a server's answers and the node's own.
enum class AnswerStyle {
  kDirect,   ///< Callers of a node that reaches servers itself; also nodes further up the call.
  kIngress,  ///< Egresses: told the server's load, and the outcome in a header.
  kEgress,   ///< Callers of the first of two hops: told by status alone.
};

/// What an answer to a caller carries whoever made it.
struct AnswerContext {
  const HeaderNames* names = &FieldTable::standard().names();
  AnswerStyle style = AnswerStyle::kDirect;
  std::optional<proxy::HopLoad> hop_load;
  /// The whole body is at hand: its length replaces the server's framing.
  std::optional<std::uint64_t> whole_length;
  bool exact_retry_after = false;  ///< In fractions of a second; otherwise whole ones.
  std::string_view request_id;
  Version version;
  bool caller_is_http_1_1 = true;
  bool close = false;         ///< The connection ends with this answer.
  bool head_request = false;  ///< No body may follow.
};

/// How a server's body is passed on to this caller.
BodyFraming framingTowards(const MessageHead& answer, bool caller_is_http_1_1);

/// Appends a server's answer head as the caller shall see it.
void appendAnswerHead(std::string& out, const MessageHead& answer, const AnswerContext& context);

/// Appends an answer of the node itself, whole.
void appendLocalAnswer(std::string& out, const proxy::LocalAnswer& answer,
                       const AnswerContext& context);

/// Appends one chunk of the chunked coding. `piece` must not be empty.
void appendChunk(std::string& out, std::string_view piece);

inline constexpr std::string_view kLastChunk = "0\r\n\r\n";
inline constexpr std::string_view kReceiptAnswer = "HTTP/1.1 102 Processing\r\n\r\n";
inline constexpr std::string_view kContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace coursepond::runtime
