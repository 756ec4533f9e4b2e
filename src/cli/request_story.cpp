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

constexpr std::string_view kIngressLoad =
    "running and waiting of the ingress's line; are there fewer servers than before "
    "(server_leaving, server_lapsed)?";

constexpr std::string_view kAllowance =
    "retry_budget lines of the service: repeats, denied and left of its allowance";

constexpr std::array kReasons = {
    ReasonText{"queue_full", "the ingresses expect to answer too late", kIngressLoad},
    ReasonText{"deadline_too_short", "the ingress expects to answer after the request's target",
               kIngressLoad},
    ReasonText{"no_free_slot", "a free slot was asked for and there was none",
               "harmless: others are asked before it waits"},
    ReasonText{"link_full", "its answer would be large, and others were still being sent",
               "the machine's link: what do the large answers of its server add up to?"},
    ReasonText{"server_rejecting",
               "the server rejects much of what it gets, and the request had another choice",
               "server_refused lines of that server"},
    ReasonText{"crashes_servers",
               "servers ended under this request, or under others with the same fingerprint",
               "server_ended and crash_suspect lines with its fingerprint; suspect_cleared tells "
               "that it was innocent"},
    ReasonText{"queue_timeout", "it waited for a slot as long as the settings allow", kIngressLoad},
    ReasonText{"batch_shed", "batch work made room for interactive work", kIngressLoad},
    ReasonText{"server_draining", "the server or its node is leaving",
               "harmless while other servers take over"},
    ReasonText{"zone_drained",
               "operators drained the server's zone, or every zone with servers of the service",
               "drained_zones lines: which zones, since when"},
    ReasonText{"stopping", "the node is in a planned stop",
               "harmless while other servers take over"},
    ReasonText{"wrong_service", "the address belongs to another service now",
               "entry_age_ms: is the source behind (source_trouble)?"},
    ReasonText{"no_server", "no server is listed, or none can be reached",
               "server_lapsed, server_unreachable and source_trouble lines"},
    ReasonText{"no_configuration", "the node has just started and holds no configuration",
               "source_trouble, then peer_state"},
    ReasonText{"no_route", "no route of the version in force matches",
               "version and version_age_ms: did a newer version come a moment later?"},
    ReasonText{
        "stale_configuration",
        "no route or key of the version in force matches, and the node may have missed a newer one",
        "source_trouble and reader_failed lines with topic=configuration"},
    ReasonText{"unknown_api_key", "it needs an API key, and has none that a tenant holds",
               "version and version_age_ms: did a version come or go with the key?"},
    ReasonText{"unknown_parent", "it has no API key, and the work that it is a call of is unknown",
               "harmless if that work was given up: caller_gone and started lines of the node"},
    ReasonText{
        "quota_exceeded", "its tenant has used what its quota allows",
        "configuration_in_force: was the quota lowered? quota_ask_failures_total of the nodes"},
    ReasonText{"ambiguous_path", "the path has '.' or '..' segments", "the caller"},
    ReasonText{"connect_failed", "no connection could be made",
               "the machine of the named server: is it down, or cut off?"},
    ReasonText{"no_connection_free", "the server takes no more connections",
               "connections_per_server of the service"},
    ReasonText{"closed_unsent", "a kept connection was dead before anything was sent",
               "harmless: it is sent again"},
    ReasonText{"cannot_replay", "the body is no longer at hand", "the size of the request's body"},
    ReasonText{"retry_budget",
               "a repeat whose calls may not be repeated now: the called service has had its share",
               "retry_budget lines: repeats, calls_of_repeats and left of the called service"},
    ReasonText{"other_instance", "another start of the server has the address",
               "harmless: it is asked for that one"},
    ReasonText{"answer_lost", "no further server was asked after an answer was lost", kAllowance},
    ReasonText{"ingress_silent", "no further server was asked after a silent ingress", kAllowance},
    ReasonText{"ingress_lost", "no further server was asked after an ingress ended", kAllowance},
    ReasonText{"silent", "the ingress did not say that it has the request",
               "the machine of the named server: does it stand still, or is it cut off?"},
    ReasonText{"lost_after_send", "the connection broke with the request on it",
               "side tells which hop; then that node or server"},
    ReasonText{"connection_lost", "a connection broke with the request on it",
               "the attempt_ended line before it; a started line of that node tells of a restart"},
    ReasonText{"not_its_answer", "the answer belonged to another request, or was not signed",
               "the server"},
    ReasonText{"malformed_answer", "what the server sent was no answer", "the server"},
    ReasonText{"server_refused", "the server itself did not run it",
               "the server: full, or started anew under another id"},
    ReasonText{"server_failed", "the server's own failure, tried elsewhere", "the server"},
    ReasonText{"deadline", "no answer came in time",
               "elapsed_ms of the ingress's line: little means that the request came late, much "
               "that the server was slow"},
};

std::string_view valueOf(const LogLine& line, std::string_view key) {
  return line.field(key).value_or(std::string_view());
}

bool isEarlier(const LogLine& one, const LogLine& other) {
  return one.written_at < other.written_at;
}

std::string outcomeOf(const LogLine& line) {
  if (line.event == proxy::decisionWord(proxy::DecisionKind::kForwarded)) {
    return "the server's own answer was passed on";
  }
  if (line.event == proxy::decisionWord(proxy::DecisionKind::kAnswerCut)) {
    return "the server's answer ended early, and so did ours";
  }
  if (line.event == proxy::decisionWord(proxy::DecisionKind::kCallerGone)) {
    return "the caller left; what still ran was cancelled";
  }
  if (line.event == proxy::decisionWord(proxy::DecisionKind::kAttemptEnded) ||
      line.event == proxy::decisionWord(proxy::DecisionKind::kRepeatDenied)) {
    return "an attempt ended; how the request did is not in these logs";
  }
  const std::string_view status = valueOf(line, "status");
  if (status == kNotRunStatus) return "refused: it has not run and never will";
  if (status == kLateStatus) return "late: given up at its deadline, it may have run";
  if (status == kLostStatus) return "unknown: its answer is lost, it may have run";
  if (status == kNoRouteStatus) return "refused: there is no such route";
  return "answered by the node with status " + std::string(status);
}

}  // namespace

ReasonText explainReason(std::string_view word) {
  const auto found = std::find_if(kReasons.begin(), kReasons.end(),
                                  [word](const ReasonText& text) { return text.word == word; });
  return found == kReasons.end() ? ReasonText{word, "", ""} : *found;
}

std::string reasonsReference() {
  std::string text = "| Reason | What happened | Look at |\n|---|---|---|\n";
  for (const ReasonText& reason : kReasons) {
    text += "| `" + std::string(reason.word) + "` | " + std::string(reason.meaning) + " | " +
            std::string(reason.look_at) + " |\n";
  }
  return text;
}

void RequestStory::read(std::istream& log) {
  std::string text;
  while (std::getline(log, text)) {
    std::optional<LogLine> line = runtime::parseLogLine(text);
    if (!line) continue;
    const std::optional<std::string_view> request = line->field("request");
    if (!request) {
      beliefs_.push_back(std::move(*line));
    } else if (*request == request_) {
      decisions_.push_back(std::move(*line));
    }
  }
}

std::vector<StoryLine> RequestStory::lines() const {
  if (!isFound()) return {};
  std::set<std::string_view> nodes;
  for (const LogLine& line : decisions_) nodes.insert(valueOf(line, "node"));
  const auto [first, last] = std::minmax_element(decisions_.begin(), decisions_.end(), isEarlier);
  const Duration from = runtime::timeOfDay(*first) - around_;
  const Duration until = runtime::timeOfDay(*last);

  std::vector<StoryLine> story;
  for (const LogLine& line : decisions_) story.push_back({line, true});
  for (const LogLine& line : beliefs_) {
    const Duration when = runtime::timeOfDay(line);
    if (when < from || when > until || !nodes.contains(valueOf(line, "node"))) continue;
    story.push_back({line, false});
  }
  std::stable_sort(story.begin(), story.end(), [](const StoryLine& one, const StoryLine& other) {
    return isEarlier(one.line, other.line);
  });
  return story;
}

const LogLine& RequestStory::lastDecision() const {
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

Conclusion RequestStory::conclusion() const {
  if (!isFound()) return {};
  const LogLine& last = lastDecision();
  const ReasonText text = explainReason(valueOf(last, "reason"));
  return {outcomeOf(last), std::string(text.word), std::string(text.meaning),
          std::string(text.look_at)};
}

}  // namespace coursepond::cli
