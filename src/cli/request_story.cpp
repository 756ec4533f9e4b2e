#include "cli/request_story.h"

#include <algorithm>
#include <array>
#include <set>

#include "proxy/decision_log.h"

namespace coursepond::cli {
namespace {

using runtime::LogLine;

constexpr std::string_view kNotRunStatus = "503";
constexpr std::string_view kLateStatus = "504";
constexpr std::string_view kLostStatus = "502";
constexpr std::string_view kNoRouteStatus = "404";

constexpr std::string_view kIngressLoadHint =
    "fields running and waiting of the ingress's line; are there fewer servers than before "
    "(server_leaving, server_lapsed)?";

constexpr std::string_view kRetryBudgetHint =
    "retry_budget lines of the service: fields repeats, denied and left";

constexpr std::array kReasons = {
    ReasonText{"queue_full", "the ingresses do not expect to answer in time", kIngressLoadHint},
    ReasonText{"deadline_too_short", "the ingress expects to answer after the request's target",
               kIngressLoadHint},
    ReasonText{"no_free_slot", "the request required a free slot and there was none",
               "harmless: other servers are tried before the request is queued"},
    ReasonText{"server_limit",
               "the server reported how many requests per second it accepts, and that is used up",
               "server_limit lines of the ingress: the limit, and since when"},
    ReasonText{
        "link_full",
        "the answer would be large, and the links could not send it in time after the others",
        "the machine's link: the total size of the large answers of its server"},
    ReasonText{"server_rejecting",
               "the server rejects a large share of its requests, and there was an alternative",
               "server_refused lines of that server"},
    ReasonText{
        "server_slow",
        "the server is slower than usual and would answer late, and there was an alternative",
        "ingress_server_slowness of its node: what else runs on that machine?"},
    ReasonText{"crashes_servers",
               "servers ended while running this request, or others with the same fingerprint",
               "server_ended and crash_suspect lines with its fingerprint; suspect_cleared means "
               "that it was not the cause"},
    ReasonText{"queue_timeout", "it waited for a slot for the longest time that the settings allow",
               kIngressLoadHint},
    ReasonText{"batch_shed", "batch requests were shed in favor of interactive requests",
               kIngressLoadHint},
    ReasonText{"server_draining", "the server or its node is leaving",
               "harmless while other servers take over"},
    ReasonText{"zone_drained",
               "operators drained the server's zone, or every zone with servers of the service",
               "drained_zones lines: which zones, since when"},
    ReasonText{"stopping", "the node is being stopped as planned",
               "harmless while other servers take over"},
    ReasonText{"wrong_service", "the address belongs to another service now",
               "entry_age_ms: is the source behind (source_trouble)?"},
    ReasonText{
        "unknown_instance", "an instance whose service is not known has the address of the server",
        "server_replaced line of the node, then server_listed: it is used once its entry names "
        "the service of the node"},
    ReasonText{"no_server", "no server is listed, or none can be reached",
               "server_lapsed, server_unreachable and source_trouble lines"},
    ReasonText{"no_configuration", "the node has just started and has no configuration yet",
               "source_trouble, then peer_state"},
    ReasonText{"no_route", "no route of the version in force matches",
               "version and version_age_ms: did a newer version come a moment later?"},
    ReasonText{
        "stale_configuration",
        "no route or key of the version in force matches, and the node may have missed a newer one",
        "source_trouble and reader_failed lines with topic=configuration"},
    ReasonText{"unknown_api_key", "it needs an API key, and has none that belongs to a tenant",
               "version and version_age_ms: did a recent version add or remove the key?"},
    ReasonText{"unknown_parent",
               "it has no API key, and the request that it was made for is unknown",
               "harmless if that request was given up: caller_gone and started lines of the node"},
    ReasonText{
        "quota_exceeded", "its tenant has used up its quota",
        "configuration_in_force: was the quota lowered? quota_ask_failures_total of the nodes"},
    ReasonText{"ambiguous_path", "the path has '.' or '..' segments", "the caller"},
    ReasonText{"connect_failed", "no connection could be made",
               "the machine of the named server: is it down, or cut off?"},
    ReasonText{"no_connection_free", "the server accepts no more connections",
               "connections_per_server of the service"},
    ReasonText{"closed_unsent", "a kept-alive connection was closed before anything was sent",
               "harmless: the request is sent again"},
    ReasonText{"cannot_replay", "the body is no longer available",
               "the size of the request's body"},
    ReasonText{"retry_budget",
               "a repeat was refused: the retry budget of a service that it calls is used up, or "
               "most runs of its kind fail because of their calls (`retry_runs_unservable_total`)",
               "retry_budget lines of the called service: repeats, calls_of_repeats and left"},
    ReasonText{
        "other_instance", "another instance has the server's address",
        "harmless: it is sent again, to that instance once it is known to be of the service"},
    ReasonText{"sibling_failed",
               "a call was not repeated, because another call of the same run had failed",
               "the called service"},
    ReasonText{"answer_lost", "no further server was tried after an answer was lost",
               kRetryBudgetHint},
    ReasonText{"ingress_silent", "no further server was tried after an ingress was silent",
               kRetryBudgetHint},
    ReasonText{"ingress_lost", "no further server was tried after an ingress ended",
               kRetryBudgetHint},
    ReasonText{"silent", "the ingress did not acknowledge the request",
               "the machine of the named server: is it frozen, or cut off?"},
    ReasonText{"superseded", "another attempt, beside which it was open, was answered first",
               "harmless: the caller gets that answer"},
    ReasonText{"run_cancelled", "its egress left while the server had the request",
               "the egress's line before it: silent means that the acknowledgement was late"},
    ReasonText{"send_cancelled", "its egress left before the server had any of the request",
               "harmless: the request has not run"},
    ReasonText{"wait_cancelled", "its egress left while it waited for a slot",
               "the egress's line before it"},
    ReasonText{"answer_abandoned", "its egress left while the answer was being sent",
               "the egress's line before it"},
    ReasonText{"lost_after_send", "the connection broke after the request was sent",
               "side names the hop; check that node or server"},
    ReasonText{"connection_lost", "a connection broke while the request was in flight",
               "the attempt_ended line before it; a started line of that node indicates a restart"},
    ReasonText{"not_its_answer", "the answer belonged to another request, or was not signed",
               "the server"},
    ReasonText{"malformed_answer", "the server did not send a valid answer", "the server"},
    ReasonText{"server_refused", "the server refused to run it",
               "the server: is it full, or was it restarted under another id?"},
    ReasonText{"server_failed", "the server answered with a failure, and another server was tried",
               "the server"},
    ReasonText{
        "deadline", "no answer arrived in time",
        "elapsed_ms of the ingress's line: a small value means that the request arrived late, "
        "a large one that the server was slow"},
};

std::string_view valueOf(const LogLine& line, std::string_view key) {
  return line.field(key).value_or(std::string_view());
}

bool isEarlier(const LogLine& one, const LogLine& other) {
  return one.written_at < other.written_at;
}

std::string outcomeOf(const LogLine& line) {
  if (line.event == proxy::decisionName(proxy::DecisionKind::kForwarded) ||
      line.event == proxy::decisionName(proxy::DecisionKind::kServerEndsCleared)) {
    return "the server's answer was forwarded";
  }
  if (line.event == proxy::decisionName(proxy::DecisionKind::kAnswerCut)) {
    return "the server's answer ended early, and so did the answer to the caller";
  }
  if (line.event == proxy::decisionName(proxy::DecisionKind::kCallerGone)) {
    return "the caller disconnected; attempts in flight were cancelled";
  }
  if (line.event == proxy::decisionName(proxy::DecisionKind::kAttemptEnded) ||
      line.event == proxy::decisionName(proxy::DecisionKind::kAttemptResumed) ||
      line.event == proxy::decisionName(proxy::DecisionKind::kRepeatDenied)) {
    return "an attempt ended; the outcome of the request is not in these logs";
  }
  const std::string_view status = valueOf(line, "status");
  if (status == kNotRunStatus) return "refused: it has not run and never will";
  if (status == kLateStatus) return "late: given up at its deadline, it may have run";
  if (status == kLostStatus) return "unknown: the answer was lost, it may have run";
  if (status == kNoRouteStatus) return "refused: there is no such route";
  return "answered by the node with status " + std::string(status);
}

}  // namespace

ReasonText explainReason(std::string_view name) {
  const auto found = std::find_if(kReasons.begin(), kReasons.end(),
                                  [name](const ReasonText& text) { return text.name == name; });
  return found == kReasons.end() ? ReasonText{name, "", ""} : *found;
}

std::string reasonsReference() {
  std::string text = "| Reason | What happened | Look at |\n|---|---|---|\n";
  for (const ReasonText& reason : kReasons) {
    text += "| `" + std::string(reason.name) + "` | " + std::string(reason.meaning) + " | " +
            std::string(reason.look_at) + " |\n";
  }
  return text;
}

void RequestTimeline::read(std::istream& log) {
  std::string text;
  while (std::getline(log, text)) {
    std::optional<LogLine> line = runtime::parseLogLine(text);
    if (!line) continue;
    const std::optional<std::string_view> request = line->field("request");
    if (!request) {
      state_changes_.push_back(std::move(*line));
    } else if (*request == request_) {
      decisions_.push_back(std::move(*line));
    }
  }
}

std::vector<TimelineEntry> RequestTimeline::lines() const {
  if (!isFound()) return {};
  std::set<std::string_view> nodes;
  for (const LogLine& line : decisions_) nodes.insert(valueOf(line, "node"));
  const auto [first, last] = std::minmax_element(decisions_.begin(), decisions_.end(), isEarlier);
  const Duration from = runtime::timeOfDay(*first) - around_;
  const Duration until = runtime::timeOfDay(*last);

  std::vector<TimelineEntry> timeline;
  for (const LogLine& line : decisions_) timeline.push_back({line, true});
  for (const LogLine& line : state_changes_) {
    const Duration when = runtime::timeOfDay(line);
    if (when < from || when > until || !nodes.contains(valueOf(line, "node"))) continue;
    timeline.push_back({line, false});
  }
  std::stable_sort(timeline.begin(), timeline.end(),
                   [](const TimelineEntry& one, const TimelineEntry& other) {
                     return isEarlier(one.line, other.line);
                   });
  return timeline;
}

const LogLine& RequestTimeline::lastDecision() const {
  const LogLine* last = &decisions_.front();
  bool is_egress = false;
  for (const LogLine& line : decisions_) {
    const bool of_egress = valueOf(line, "side") == proxy::kEgressSide;
    if (is_egress && !of_egress) continue;
    const bool is_later = !isEarlier(line, *last);
    if (is_later || (of_egress && !is_egress)) last = &line;
    is_egress = is_egress || of_egress;
  }
  return *last;
}

Conclusion RequestTimeline::conclusion() const {
  if (!isFound()) return {};
  const LogLine& last = lastDecision();
  const ReasonText text = explainReason(valueOf(last, "reason"));
  return {outcomeOf(last), std::string(text.name), std::string(text.meaning),
          std::string(text.look_at)};
}

}  // namespace coursepond::cli
