#include "runtime/http_head_writer.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "core/http_headers.h"

namespace coursepond::runtime {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

void appendNumber(std::string& out, std::uint64_t value, int base = 10) {
  char digits[24];
  const auto [end, status] = std::to_chars(digits, digits + sizeof digits, value, base);
  out.append(digits, end);
}

void appendField(std::string& out, std::string_view name, std::string_view value) {
  out.append(name).append(": ").append(value).append(kLineEnd);
}

void appendField(std::string& out, std::string_view name, std::uint64_t value) {
  out.append(name).append(": ");
  appendNumber(out, value);
  out.append(kLineEnd);
}

/// Whether a request field is forwarded as the caller sent it.
bool passesToServer(FieldRole role) {
  switch (role) {
    case FieldRole::kHopByHop:
    case FieldRole::kConnection:
    case FieldRole::kContentLength:
    case FieldRole::kTransferEncoding:
    case FieldRole::kExpect:
    case FieldRole::kHost:
    case FieldRole::kRequestId:
    case FieldRole::kDeadline:
    case FieldRole::kAttempt:
    case FieldRole::kHopClass:
    case FieldRole::kHopLoad:
      return false;
    default:
      return true;
  }
}

bool passesToCaller(FieldRole role, AnswerStyle style) {
  switch (role) {
    case FieldRole::kOutcome:
    case FieldRole::kReason:
      // Between the two hops, only the nodes' own answers carry an outcome.
      return style == AnswerStyle::kDirect;
    case FieldRole::kHopClass:
    case FieldRole::kHopLoad:
    case FieldRole::kHopByHop:
    case FieldRole::kConnection:
    case FieldRole::kContentLength:
    case FieldRole::kTransferEncoding:
    case FieldRole::kRequestId:
    case FieldRole::kConfigurationVersion:
      return false;
    default:
      return true;
  }
}

bool isSetByPlan(std::string_view name, const proxy::AttemptPlan& plan) {
  return std::any_of(
      plan.headers_to_set.begin(), plan.headers_to_set.end(),
      [&](const proxy::HeaderField& field) { return equalsIgnoringCase(field.name, name); });
}

void appendRequestFraming(std::string& out, const MessageHead& head) {
  if (head.framing == BodyFraming::kChunked) {
    appendField(out, "Transfer-Encoding", "chunked");
  } else if (head.has_content_length) {
    appendField(out, "Content-Length", head.content_length);
  }
}

std::string_view phraseOf(int status) {
  switch (status) {
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 417:
      return "Expectation Failed";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Error";
  }
}

void appendStatusLine(std::string& out, unsigned status, std::string_view phrase) {
  out.append("HTTP/1.1 ");
  appendNumber(out, status);
  out.append(" ").append(phrase).append(kLineEnd);
}

/// Appends a non-negative number as a whole number of 1/`units`.
void appendUnits(std::string& out, double value, double units) {
  constexpr double kMaxUnits = 1e15;
  appendNumber(out, static_cast<std::uint64_t>(std::llround(std::min(value * units, kMaxUnits))));
}

void appendLimit(std::string& out, double per_second) {
  appendUnits(out, per_second, proxy::kLimitUnits);
}

void appendHopLoad(std::string& out, const proxy::HopLoad& load) {
  out.append(http_headers::kHopLoad).append(": ");
  appendNumber(out, load.running);
  out.append(",");
  appendNumber(out, load.waiting);
  out.append(",");
  appendNumber(out, load.slots);
  out.append(",");
  appendNumber(out, static_cast<std::uint64_t>(toMilliseconds(load.service_time)));
  out.append(load.draining ? ",1," : ",0,");
  if (load.server_limit) {
    appendLimit(out, *load.server_limit);
  } else if (load.is_limit_known) {
    out.append(http_headers::kNoLimit);
  }
  out.append(",");
  appendNumber(out, static_cast<std::uint64_t>(toMilliseconds(load.link_backlog)));
  out.append(",");
  if (load.admission_level) appendUnits(out, *load.admission_level, proxy::kLevelUnits);
  out.append(",");
  if (load.slowness) appendUnits(out, *load.slowness, proxy::kSlownessUnits);
  out.append(kLineEnd);
}

/// An item of kHopClass that may be empty.
void appendOptionalFingerprint(std::string& out, RequestFingerprint fingerprint) {
  out.append(",");
  if (!fingerprint.empty()) out.append(fingerprint.toHex());
}

void appendHopClass(std::string& out, const proxy::HopClass& hop) {
  out.append(http_headers::kHopClass).append(": ").append(hop.service).append(",");
  appendNumber(out, hop.rank);
  out.append(",");
  appendNumber(out, static_cast<std::uint64_t>(toMilliseconds(hop.target_latency)));
  out.append(hop.is_repeatable ? ",1" : ",0");
  out.append(hop.is_call ? ",1," : ",0,");
  appendNumber(
      out, static_cast<std::uint64_t>(std::lround(hop.repeat_share * proxy::kRepeatShareUnits)));
  out.append(hop.may_wait ? ",1," : ",0,").append(hop.fingerprints.whole.toHex());
  out.append(hop.isTrial() ? ",1," : ",0,");
  if (hop.server_limit) appendLimit(out, *hop.server_limit);
  out.append(hop.is_returning ? ",1" : ",0");
  if (hop.sent) {
    out.append(",");
    appendNumber(out, hop.sent->clock);
    out.append(",");
    appendNumber(out, static_cast<std::uint64_t>(toMilliseconds(hop.sent->at)));
  } else if (!hop.fingerprints.head.empty()) {
    out.append(",,");
  }
  if (!hop.fingerprints.head.empty()) {
    appendOptionalFingerprint(out, hop.fingerprints.head);
    appendOptionalFingerprint(out, hop.isTrial() ? RequestFingerprint() : hop.trial_of);
  }
  out.append(kLineEnd);
}

void appendContext(std::string& out, const AnswerContext& context) {
  if (!context.request_id.empty()) {
    appendField(out, context.names->request_id, context.request_id);
  }
  if (context.style == AnswerStyle::kDirect) {
    appendField(out, http_headers::kConfigurationVersion, context.version.value());
  }
  if (context.hop_load) appendHopLoad(out, *context.hop_load);
  if (context.close) {
    appendField(out, "Connection", "close");
  } else if (!context.caller_is_http_1_1) {
    appendField(out, "Connection", "keep-alive");
  }
}

/// Rounded up, because Retry-After has whole seconds and a caller that returns too early would be
/// refused again.
std::uint64_t wholeSeconds(Duration duration) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(duration).count()));
}

void appendRetryAfter(std::string& out, Duration delay, bool exact) {
  if (!exact) return appendField(out, "Retry-After", wholeSeconds(delay));
  const auto milliseconds = static_cast<std::uint64_t>(
      std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::milliseconds>(delay).count()));
  const std::string thousandths = std::to_string(1000 + milliseconds % 1000);
  out.append("Retry-After: ");
  appendNumber(out, milliseconds / 1000);
  out.append(".").append(thousandths, 1).append(kLineEnd);
}

/// Whether the plan replaces the caller's value of a field by its own.
bool isReplaced(FieldRole role, const proxy::AttemptPlan& plan) {
  if (role == FieldRole::kTargetInstance) return !plan.target_instance.empty();
  if (role == FieldRole::kCallerService) return !plan.caller_service.empty();
  if (role == FieldRole::kApiKey || role == FieldRole::kTenant) return plan.replaces_tenant;
  return false;
}

}  // namespace

void appendRequestHead(std::string& out, const CallerRequest& request, const MessageHead& head,
                       const proxy::AttemptPlan& plan, const HeaderNames& names) {
  out.append(head.method).append(" ").append(request.origin_target).append(" HTTP/1.1\r\n");
  appendField(out, "Host", request.host_field);
  const bool has_connection_field = head.fields.count(FieldRole::kConnection) > 0;
  for (std::size_t index = 0; index < head.fields.size(); ++index) {
    const FieldView field = head.fields[index];
    if (!passesToServer(field.role) || isSetByPlan(field.name, plan)) continue;
    if (isReplaced(field.role, plan)) continue;
    if (has_connection_field && head.fields.connectionNames(field.name)) continue;
    appendField(out, field.name, field.value);
  }
  appendField(out, names.request_id, request.request_id);
  appendField(
      out, names.deadline,
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, toMilliseconds(plan.remaining))));
  for (const proxy::HeaderField& field : plan.headers_to_set) {
    appendField(out, field.name, field.value);
  }
  if (!plan.target_instance.empty()) appendField(out, names.target_instance, plan.target_instance);
  if (!plan.caller_service.empty()) {
    appendField(out, names.caller_service, plan.caller_service.value());
  }
  if (!plan.tenant.empty()) appendField(out, names.tenant, plan.tenant.value());
  if (plan.hop_class) appendHopClass(out, *plan.hop_class);
  if (plan.confirm && head.framing != BodyFraming::kNone)
    appendField(out, "Expect", "100-continue");
  appendRequestFraming(out, head);
  out.append(kLineEnd);
}

BodyFraming framingTowards(const MessageHead& answer, bool caller_is_http_1_1) {
  if (answer.framing == BodyFraming::kNone || answer.framing == BodyFraming::kLength) {
    return answer.framing;
  }
  return caller_is_http_1_1 ? BodyFraming::kChunked : BodyFraming::kUntilClose;
}

void appendAnswerHead(std::string& out, const MessageHead& answer, const AnswerContext& context) {
  appendStatusLine(out, answer.status, answer.reason);
  const bool has_connection_field = answer.fields.count(FieldRole::kConnection) > 0;
  for (std::size_t index = 0; index < answer.fields.size(); ++index) {
    const FieldView field = answer.fields[index];
    if (!passesToCaller(field.role, context.style)) continue;
    if (has_connection_field && answer.fields.connectionNames(field.name)) continue;
    appendField(out, field.name, field.value);
  }
  if (context.whole_length) {
    if (answer.framing != BodyFraming::kNone || answer.has_content_length) {
      appendField(out, "Content-Length", *context.whole_length);
    }
  } else if (framingTowards(answer, context.caller_is_http_1_1) == BodyFraming::kChunked) {
    appendField(out, "Transfer-Encoding", "chunked");
  } else if (answer.has_content_length && answer.status != 204) {
    appendField(out, "Content-Length", answer.content_length);
  }
  appendContext(out, context);
  out.append(kLineEnd);
}

void appendLocalAnswer(std::string& out, const proxy::LocalAnswer& answer,
                       const AnswerContext& context) {
  const bool not_run = answer.outcome == proxy::Outcome::kNotRun;
  appendStatusLine(out, static_cast<unsigned>(answer.status), phraseOf(answer.status));
  appendField(out, "Content-Type", "text/plain; charset=utf-8");
  appendField(out, "Content-Length", answer.reason.size() + 1);
  appendField(out, http_headers::kOutcome,
              not_run ? http_headers::kOutcomeNotRun : http_headers::kOutcomeUnknown);
  appendField(out, http_headers::kReason, answer.reason);
  if (answer.retry_after) appendRetryAfter(out, *answer.retry_after, context.exact_retry_after);
  appendContext(out, context);
  out.append(kLineEnd);
  if (!context.head_request) out.append(answer.reason).append("\n");
}

void appendChunk(std::string& out, std::string_view piece) {
  appendNumber(out, piece.size(), 16);
  out.append(kLineEnd).append(piece).append(kLineEnd);
}

}  // namespace coursepond::runtime
