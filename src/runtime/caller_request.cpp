#include "runtime/caller_request.h"

#include <algorithm>
#include <charconv>

#include "core/http_headers.h"
#include "core/time_arithmetic.h"

namespace coursepond::runtime {
namespace {

constexpr std::size_t kMaxRequestIdBytes = 128;
/// Longer deadlines are reduced to this, so that the arithmetic cannot overflow.
constexpr std::uint64_t kMaxDeadlineMs = 24ULL * 60 * 60 * 1000;

bool isVisible(char letter) { return letter > ' ' && letter < '\x7f'; }

bool isHostLetter(char letter) {
  return isVisible(letter) &&
         std::string_view("/?#@\\\"<>^`{|}").find(letter) == std::string_view::npos;
}

template <typename Number>
std::optional<Number> parseNumber(std::string_view text) {
  Number value = 0;
  const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (status != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

/// Returns an empty fingerprint when `text` is not a hexadecimal number.
RequestFingerprint parseFingerprint(std::string_view text) {
  constexpr int kHexadecimal = 16;
  const char* const last = text.data() + text.size();
  std::uint64_t value = 0;
  const auto [end, status] = std::from_chars(text.data(), last, value, kHexadecimal);
  return status == std::errc() && end == last ? RequestFingerprint(value) : RequestFingerprint();
}

/// Host names are compared in lower case and without the port.
std::string hostWithoutPort(std::string_view host) {
  const bool is_ipv6 = host.starts_with('[');
  const std::size_t colon = is_ipv6 ? host.find(':', host.find(']')) : host.find(':');
  std::string name(host.substr(0, colon));
  std::transform(name.begin(), name.end(), name.begin(), [](char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
  });
  return name;
}

/// Splits "http://authority/path" into its parts. Other targets are left unchanged.
bool splitTarget(const MessageHead& head, CallerRequest& request) {
  static constexpr std::string_view kScheme = "http://";
  const std::string_view target = head.target;
  if (target.starts_with('/') || (target == "*" && head.method == "OPTIONS")) {
    request.origin_target = target;
    return true;
  }
  if (target.size() <= kScheme.size() ||
      !equalsIgnoringCase(target.substr(0, kScheme.size()), kScheme)) {
    return false;
  }
  const std::string_view rest = target.substr(kScheme.size());
  const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
  request.host_field = rest.substr(0, end);
  request.origin_target = rest.substr(end);
  if (!request.origin_target.starts_with('/')) request.origin_target.insert(0, 1, '/');
  return true;
}

std::optional<RefusalReason> readHost(const MessageHead& head, CallerRequest& request,
                                      proxy::RequestHead& flow_head) {
  const std::size_t hosts = head.fields.count(FieldRole::kHost);
  if (hosts > 1 || (hosts == 0 && head.is_http_1_1)) return RefusalReason::kBadHost;
  if (request.host_field.empty()) request.host_field = head.fields.find(FieldRole::kHost);
  const std::string& host = request.host_field;
  if (!std::all_of(host.begin(), host.end(), isHostLetter)) return RefusalReason::kBadHost;
  flow_head.host = hostWithoutPort(host);
  return std::nullopt;
}

std::optional<RefusalReason> readRequestId(const MessageHead& head, RequestIdSource& ids,
                                           CallerRequest& request) {
  const std::string_view id = head.fields.find(FieldRole::kRequestId);
  const bool valid =
      id.size() <= kMaxRequestIdBytes && std::all_of(id.begin(), id.end(), isVisible);
  if (!valid || head.fields.count(FieldRole::kRequestId) > 1) return RefusalReason::kBadRequestId;
  if (id.empty()) {
    ids.appendNext(request.request_id);
  } else {
    request.request_id = id;
  }
  return std::nullopt;
}

std::optional<RefusalReason> readDeadline(const MessageHead& head, proxy::RequestHead& flow_head) {
  const std::size_t deadlines = head.fields.count(FieldRole::kDeadline);
  if (deadlines == 0) return std::nullopt;
  const auto value = parseNumber<std::uint64_t>(head.fields.find(FieldRole::kDeadline));
  if (deadlines > 1 || !value) return RefusalReason::kBadDeadline;
  flow_head.deadline = std::chrono::milliseconds(std::min(*value, kMaxDeadlineMs));
  return std::nullopt;
}

std::optional<RefusalReason> readPriority(const MessageHead& head, proxy::RequestHead& flow_head) {
  const std::size_t priorities = head.fields.count(FieldRole::kPriority);
  if (priorities == 0) return std::nullopt;
  const std::string_view value = head.fields.find(FieldRole::kPriority);
  if (priorities > 1) return RefusalReason::kBadPriority;
  if (value == "interactive") {
    flow_head.priority = model::Priority::kInteractive;
  } else if (value == "batch") {
    flow_head.priority = model::Priority::kBatch;
  } else {
    return RefusalReason::kBadPriority;
  }
  return std::nullopt;
}

std::optional<RefusalReason> readExpectation(const MessageHead& head, CallerRequest& request) {
  const std::string_view value = head.fields.find(FieldRole::kExpect);
  if (value.empty()) return std::nullopt;
  if (!equalsIgnoringCase(value, "100-continue")) return RefusalReason::kBadExpectation;
  request.expects_continue = head.is_http_1_1;
  return std::nullopt;
}

/// Only the digest of the API key is passed on. If there are several keys, it is unknown which one
/// is the caller's; the empty digest then matches no key.
std::optional<Digest> readApiKey(const MessageHead& head) {
  const std::size_t keys = head.fields.count(FieldRole::kApiKey);
  if (keys == 0) return std::nullopt;
  return keys == 1 ? Digest::of(head.fields.find(FieldRole::kApiKey)) : Digest();
}

/// Removes and returns the text up to the next comma of `list`.
std::string_view takeItem(std::string_view& list) {
  const std::size_t comma = std::min(list.find(','), list.size());
  const std::string_view item = list.substr(0, comma);
  list.remove_prefix(std::min(comma + 1, list.size()));
  return item;
}

/// Parses a whole number of 1/`units`.
std::optional<double> parseUnits(std::string_view text, double units) {
  const auto number = parseNumber<std::uint64_t>(text);
  if (!number) return std::nullopt;
  return static_cast<double>(*number) / units;
}

std::optional<double> parseLimitUnits(std::string_view text) {
  return parseUnits(text, proxy::kLimitUnits);
}

/// Clocks count from the boot of their machine.
constexpr std::uint64_t kMaxClockMs = std::uint64_t{100} * 365 * 86'400'000;

/// Nodes of an earlier release do not send it.
std::optional<proxy::SendTime> takeSendTime(std::string_view& text) {
  const auto clock = parseNumber<std::uint32_t>(takeItem(text));
  const auto at_ms = parseNumber<std::uint64_t>(takeItem(text));
  if (!clock || !at_ms || *at_ms > kMaxClockMs) return std::nullopt;
  return proxy::SendTime{*clock, std::chrono::milliseconds(*at_ms)};
}

std::optional<proxy::HopClass> parseHopClass(std::string_view text) {
  const std::string_view service = takeItem(text);
  const auto rank = parseNumber<std::uint32_t>(takeItem(text));
  const auto target_ms = parseNumber<std::uint32_t>(takeItem(text));
  const std::string_view repeatable = takeItem(text);
  const std::string_view call = takeItem(text);
  const auto repeat_units = parseNumber<std::uint32_t>(takeItem(text));
  if (!rank || !target_ms) return std::nullopt;
  proxy::HopClass hop;
  hop.service = service;
  hop.rank = *rank;
  hop.target_latency = std::chrono::milliseconds(*target_ms);
  hop.is_repeatable = repeatable == "1";
  hop.is_call = call == "1";
  // Nodes of an earlier release do not send this.
  hop.repeat_share = std::min(1.0, repeat_units.value_or(0) / proxy::kRepeatShareUnits);
  // Nor this: their requests may wait, and cannot be distinguished from others.
  hop.may_wait = takeItem(text) != "0";
  hop.fingerprints.whole = parseFingerprint(takeItem(text));
  const bool is_trial = takeItem(text) == "1";
  hop.server_limit = parseLimitUnits(takeItem(text));
  hop.is_returning = takeItem(text) == "1";
  hop.sent = takeSendTime(text);
  hop.fingerprints.head = parseFingerprint(takeItem(text));
  hop.trial_of = parseFingerprint(takeItem(text));
  if (is_trial) hop.trial_of = hop.fingerprints.whole;
  return hop;
}

std::optional<proxy::HopLoad> parseHopLoad(std::string_view text) {
  const auto running = parseNumber<std::uint32_t>(takeItem(text));
  const auto waiting = parseNumber<std::uint32_t>(takeItem(text));
  const auto slots = parseNumber<std::uint32_t>(takeItem(text));
  const auto service_ms = parseNumber<std::uint32_t>(takeItem(text));
  if (!running || !waiting || !slots || !service_ms) return std::nullopt;
  proxy::HopLoad load{*running, *waiting, *slots, std::chrono::milliseconds(*service_ms)};
  load.draining = takeItem(text) == "1";
  const std::string_view limit = takeItem(text);
  load.server_limit = parseLimitUnits(limit);
  load.is_limit_known = load.server_limit || limit == http_headers::kNoLimit;
  // Nodes of an earlier release send none of the following.
  const auto backlog_ms = parseNumber<std::uint32_t>(takeItem(text));
  load.link_backlog = std::chrono::milliseconds(backlog_ms.value_or(0));
  load.admission_level = parseUnits(takeItem(text), proxy::kLevelUnits);
  load.slowness = parseUnits(takeItem(text), proxy::kSlownessUnits);
  if (load.slowness <= 0.0) load.slowness.reset();
  return load;
}

/// Parses "running,waiting,slots" and returns the load as a ratio: 0 is idle, 1 is full.
std::optional<double> parseListedLoad(std::string_view text) {
  const auto running = parseNumber<std::uint32_t>(takeItem(text));
  const auto waiting = parseNumber<std::uint32_t>(takeItem(text));
  const auto slots = parseNumber<std::uint32_t>(takeItem(text));
  if (!running || !waiting || !slots || *slots == 0) return std::nullopt;
  return static_cast<double>(*running + *waiting) / *slots;
}

/// A server that is slower or faster than usual by more than this factor would hardly answer.
constexpr double kMaxSlownessFactor = 100;

/// Parses the fourth figure of "running,waiting,slots,slowness in percent", if there is one.
void parseSlowness(std::string_view text, proxy::AnswerHead& answer) {
  for (int figure = 0; figure < 3; ++figure) takeItem(text);
  if (text.empty()) return;
  const auto percent = parseNumber<double>(takeItem(text));
  const double slowness = percent.value_or(0) / proxy::kSlownessUnits;
  answer.has_unusable_slowness =
      !(slowness >= 1 / kMaxSlownessFactor && slowness <= kMaxSlownessFactor);
  if (!answer.has_unusable_slowness) answer.slowness = slowness;
}

/// Parses a number of seconds, which may have a fraction.
std::optional<Duration> parseSeconds(std::string_view text) {
  constexpr double kMaxSeconds = 86400;
  const auto seconds = parseNumber<double>(text);
  if (!seconds || !(*seconds >= 0 && *seconds <= kMaxSeconds)) return std::nullopt;
  return durationFromSeconds(*seconds);
}

/// Parses "busy/slots" or the format of parseListedLoad() and returns the load as a ratio.
std::optional<double> parseLoad(std::string_view text) {
  if (text.find(',') != std::string_view::npos) return parseListedLoad(text);
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const auto busy = parseNumber<std::uint32_t>(text.substr(0, slash));
  const auto slots = parseNumber<std::uint32_t>(text.substr(slash + 1));
  if (!busy || !slots || *slots == 0) return std::nullopt;
  return static_cast<double>(*busy) / *slots;
}

}  // namespace

void CallerRequest::clear() {
  request_id.clear();
  host_field.clear();
  origin_target.clear();
  expects_continue = false;
}

void RequestIdSource::appendNext(std::string& out) {
  char digits[24];
  const auto [end, status] = std::to_chars(digits, digits + sizeof digits, ++last_number_, 16);
  out.append(prefix_).append(digits, end);
}

std::optional<RefusalReason> checkRequest(const MessageHead& head, RequestIdSource& ids,
                                          CallerRequest& request, proxy::RequestHead& flow_head) {
  request.clear();
  if (head.method == "CONNECT") return RefusalReason::kUnsupportedMethod;
  if (!splitTarget(head, request)) return RefusalReason::kBadTarget;
  if (const auto refusal = readHost(head, request, flow_head)) return refusal;
  if (const auto refusal = readRequestId(head, ids, request)) return refusal;
  if (const auto refusal = readDeadline(head, flow_head)) return refusal;
  if (const auto refusal = readPriority(head, flow_head)) return refusal;
  if (const auto refusal = readExpectation(head, request)) return refusal;

  flow_head.request_id = request.request_id;
  flow_head.target_instance = head.fields.find(FieldRole::kTargetInstance);
  if (head.fields.count(FieldRole::kHopClass) == 1) {
    flow_head.hop_class = parseHopClass(head.fields.find(FieldRole::kHopClass));
  }
  flow_head.key_digest = readApiKey(head);
  flow_head.tenant = head.fields.find(FieldRole::kTenant);
  flow_head.method = head.method;
  flow_head.path =
      std::string_view(request.origin_target).substr(0, request.origin_target.find('?'));
  flow_head.headers.reserve(head.fields.size());
  for (std::size_t index = 0; index < head.fields.size(); ++index) {
    const FieldView field = head.fields[index];
    if (field.role == FieldRole::kApiKey) continue;
    flow_head.headers.push_back({std::string(field.name), std::string(field.value)});
  }
  return std::nullopt;
}

proxy::AnswerHead summarizeAnswer(const MessageHead& head) {
  proxy::AnswerHead answer;
  answer.status = static_cast<int>(head.status);
  if (head.framing == BodyFraming::kLength) answer.body_bytes = head.content_length;
  for (std::size_t index = 0; index < head.fields.size(); ++index) {
    const FieldView field = head.fields[index];
    switch (field.role) {
      case FieldRole::kOutcome:
        answer.node_outcome = field.value;
        answer.not_run = answer.not_run || field.value == http_headers::kOutcomeNotRun;
        break;
      case FieldRole::kReason:
        answer.node_reason = field.value;
        break;
      case FieldRole::kNotRun:
        answer.not_run = true;
        break;
      case FieldRole::kRequestId:
        answer.request_id = field.value;
        break;
      case FieldRole::kSignature:
        answer.is_signed = !field.value.empty();
        break;
      case FieldRole::kContentEncoding:
        answer.is_encoded = true;
        break;
      case FieldRole::kInstance:
        answer.instance = field.value;
        break;
      case FieldRole::kHopLoad:
        answer.hop_load = parseHopLoad(field.value);
        break;
      case FieldRole::kDraining:
        answer.draining = field.value == "1";
        break;
      case FieldRole::kServerLimit:
        answer.limit = proxy::readLimit(field.value);
        break;
      case FieldRole::kLoad:
        answer.load = parseLoad(field.value);
        parseSlowness(field.value, answer);
        break;
      case FieldRole::kConfigurationVersion:
        answer.from_node = true;
        break;
      case FieldRole::kRetryAfter:
        answer.retry_after = parseSeconds(field.value);
        break;
      default:
        break;
    }
  }
  return answer;
}

}  // namespace coursepond::runtime
