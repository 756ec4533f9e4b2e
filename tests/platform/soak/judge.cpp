#include "judge.h"

#include <algorithm>
#include <stdexcept>

namespace coursepond::soak {
namespace {

using std::chrono::milliseconds;

/// Time after the end of a request by which its back end has recorded the end too.
constexpr Duration kSettled = milliseconds(1500);
/// A request that is sent this much later than the first effect of a version must not be handled
/// with an older version. This is `rollback_slack` of the platform, and eight times as much on a
/// machine with a fault.
constexpr Duration kRollbackSlack = milliseconds(250);
constexpr Duration kRollbackSlackWithFault = milliseconds(2000);
/// `lost_slack` of the platform: the connection of a request that was not forwarded may be cut
/// within this time.
constexpr Duration kLostSlack = milliseconds(200);
/// Tolerance for the timers of the soak and for the transit time of a request.
constexpr Duration kClockSlack = milliseconds(60);
/// After the end of a link fault, delayed requests arrive within this time.
constexpr Duration kLinkSettled = milliseconds(500);
/// Time for the close of a client's connection to reach the node beside the server.
constexpr Duration kCancelTime = milliseconds(500);
/// Number of requests in a run that may reach a server later than that.
constexpr std::size_t kMaxArrivalsOfGone = 3;
constexpr Duration kRouteTimeout = std::chrono::seconds(3);
constexpr Duration kHeldSlack = milliseconds(500);
/// Number of servers that a request may crash before it must be known as a crashing request.
constexpr std::size_t kCrashesUntilKnown = 3;
/// Number of times that a known crashing request may still reach a server.
constexpr std::size_t kMaxArrivalsOnceKnown = 3;
/// Upper bound for consecutive unserved requests on a machine in touch while its service has a
/// server in touch.
constexpr std::size_t kMaxUnserved = 30;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// Returns true for 503, 429, 408 and 421: they promise that the request was not executed and never
/// will be.
bool promisesNotRun(int status) {
  return status == kUnavailable || status == 429 || status == 408 || status == 421;
}

bool isUnknown(int status) { return status == kBadGateway || status == kGatewayTimeout; }

std::string endWord(RequestEnd end) {
  switch (end) {
    case RequestEnd::kOpen:
      return "open";
    case RequestEnd::kAnswered:
      return "answered";
    case RequestEnd::kCut:
      return "cut";
    case RequestEnd::kUnread:
      return "unread";
    case RequestEnd::kGivenUp:
      return "given_up";
  }
  return "";
}

}  // namespace

void PromiseChecker::report(const std::string& kind, const std::string& description) {
  violations_.push_back({kind, description});
  if (on_violation_) on_violation_(violations_.back());
}

std::string PromiseChecker::formatTime(TimePoint when) const {
  return std::to_string(toMilliseconds(when - origin_)) + " ms";
}

std::string PromiseChecker::describeRequest(const Request& request, const std::string& what) const {
  const Route& route = versions_.route(request.route);
  std::string text = what + ": request " + request.id + " at " + request.machine +
                     " (incarnation " + std::to_string(request.node_incarnation) + ") route " +
                     route.name + (request.is_repeatable ? " repeatable" : " unrepeatable") +
                     " body_bytes " + std::to_string(request.body_bytes) + " answer_bytes " +
                     std::to_string(request.answer_bytes) + " deadline_ms " +
                     std::to_string(toMilliseconds(request.deadline)) + " sent " +
                     formatTime(request.sent);
  if (request.was_pipelined) text += " behind others";
  if (request.injected_fault != AnswerFault::kNone) text += " with a fault injected by its server";
  text += " " + endWord(request.end);
  if (request.end != RequestEnd::kOpen) {
    text += " " + formatTime(request.ended) + " status " + std::to_string(request.status);
  }
  for (const Run& run : request.runs) {
    text += "; ran at " + run.instance + " from " + formatTime(run.started);
    if (run.ended != TimePoint()) text += " to " + formatTime(run.ended);
    if (run.was_cut) text += " cut";
  }
  return text;
}

const Machine& PromiseChecker::machineOf(const std::string& name) const {
  const auto found = std::find_if(machines_.begin(), machines_.end(),
                                  [&](const auto& machine) { return machine->name() == name; });
  if (found == machines_.end()) throw std::logic_error("no machine " + name);
  return **found;
}

// ---- Fault-free times

bool PromiseChecker::isUndisturbed(const std::string& machine, TimePoint from, TimePoint to) const {
  return faults_.isFaultFree(machine, from, to) && faults_.isFaultFree(kStoreComponent, from, to) &&
         faults_.isFaultFree(kSoakComponent, from, to);
}

bool PromiseChecker::isInTouch(const std::string& machine, TimePoint when) const {
  return isUndisturbed(machine, when - bounds_.contact, when);
}

bool PromiseChecker::isEverythingFaultFree(TimePoint from, TimePoint to) const {
  return std::all_of(machines_.begin(), machines_.end(), [&](const auto& machine) {
    return isUndisturbed(machine->name(), from, to) &&
           faults_.isFaultFree(machine->serverComponent(), from, to);
  });
}

/// Returns true if there was no fault on the machines and servers that executed the request.
bool PromiseChecker::areServersFaultFree(const Request& request) const {
  const TimePoint from = request.sent - bounds_.contact;
  return std::all_of(request.runs.begin(), request.runs.end(), [&](const Run& run) {
    return faults_.isFaultFree(run.machine, from, request.ended) &&
           faults_.isFaultFree(machineOf(run.machine).serverComponent(), from, request.ended);
  });
}

bool PromiseChecker::hasServerInTouch(const std::string& service, TimePoint from,
                                      TimePoint to) const {
  return std::any_of(machines_.begin(), machines_.end(), [&](const auto& machine) {
    return machine->service() == service && !machine->hadSaidLeaving(from, to) &&
           isUndisturbed(machine->name(), from - bounds_.contact, to) &&
           faults_.isFaultFree(machine->serverComponent(), from - bounds_.contact, to);
  });
}

// ---- Arrivals

void PromiseChecker::onArrival(const Machine& machine, const std::string& instance,
                               const std::string& id, const Request* request, TimePoint now) {
  if (request == nullptr) {
    return report("unasked", instance + " received a request that no client sent: '" + id + "'");
  }
  if (request->crasher > 0) checkCrasher(*request, instance, now);
  checkRoute(machine, instance, *request);
  checkNotices(machine, instance, *request, now);
  checkClientGone(machine, instance, *request, now);
  const std::optional<TimePoint> left = machine.leavingSince(instance);
  if (!left || now <= *left + bounds_.drain) return;
  const bool is_promised = isInTouch(machine.name(), now) && isInTouch(request->machine, now) &&
                           faults_.isFaultFree(kStoreComponent, *left - bounds_.contact, now);
  if (!is_promised) return;
  report("late_at_leaving_server",
         describeRequest(*request, instance + " has been leaving since " + formatTime(*left) +
                                       " and received a request " +
                                       std::to_string(toMilliseconds(now - *left)) + " ms later"));
}

void PromiseChecker::checkRoute(const Machine& machine, const std::string& instance,
                                const Request& request) {
  if (request.lacks_slash) {
    report("wrong_route", describeRequest(request, instance + " received a request for " +
                                                       request.target + ", which has no route"));
  }
  if (machine.serverService() == versions_.route(request.route).service) return;
  report("wrong_route", describeRequest(request, instance + " of " + machine.serverService() +
                                                     " received a request for another service"));
}

/// Checks what servers report in their answers: a limit, and that they are leaving.
void PromiseChecker::checkNotices(const Machine& machine, const std::string& instance,
                                  const Request& request, TimePoint now) {
  const testing::NoticedArrival arrival{instance, request.machine, request.sent};
  if (const std::optional<Duration> late = notices_.lateForLeaving(arrival)) {
    report("late_at_server_that_said_leaving",
           describeRequest(request, instance + " received a request that was sent " +
                                        std::to_string(toMilliseconds(*late)) +
                                        " ms after its machine was told"));
  }
  if (notices_.wasToldOfLeaving(arrival)) ++counts_.leavings_judged;
  if (hasLinkFault(machine.name(), now)) return notices_.forgetArrivals(instance);
  const auto over = notices_.overLimit(arrival, now);
  if (notices_.judgesLimitOf(instance, now)) ++counts_.limits_judged;
  const bool is_judged =
      faults_.isFaultFree(kSoakComponent, now - testing::NoticeBounds().window, now);
  if (!over || !is_judged) return;
  report("over_limit",
         describeRequest(request, instance + " received " + std::to_string(over->arrivals) +
                                      " requests in a window that allows " +
                                      std::to_string(over->allowed)));
}

/// Only the few requests that are lost and sent again may arrive after their client has left.
void PromiseChecker::checkClientGone(const Machine& machine, const std::string& instance,
                                     const Request& request, TimePoint now) {
  if (request.end != RequestEnd::kGivenUp) return;
  const TimePoint from = request.ended - bounds_.contact;
  if (!isUndisturbed(request.machine, from, now) || !isUndisturbed(machine.name(), from, now)) {
    return;
  }
  ++counts_.gone_judged;
  if (now <= request.ended + kCancelTime) return;
  if (++arrivals_of_gone_ <= kMaxArrivalsOfGone) return;
  report("reached_after_leaving",
         describeRequest(request, instance + " received a request " +
                                      std::to_string(toMilliseconds(now - request.ended)) +
                                      " ms after its client had left, the " +
                                      std::to_string(arrivals_of_gone_) + "th one"));
}

void PromiseChecker::onLinkFault(const std::string& machine, bool begins, TimePoint now) {
  LinkFaults& faults = link_faults_[machine];
  faults.active += begins ? 1 : -1;
  faults.ended = now;
  notices_.excuseFromLimits(machine);
}

bool PromiseChecker::hasLinkFault(const std::string& machine, TimePoint now) const {
  const auto found = link_faults_.find(machine);
  if (found == link_faults_.end()) return false;
  return found->second.active > 0 || now < found->second.ended + kLinkSettled;
}

void PromiseChecker::onEnd(const Request& request) {
  ended_.push_back(&request);
  const bool is_forwarded = request.end == RequestEnd::kAnswered && request.is_from_server;
  if (!is_forwarded || request.answered_by.empty()) return;
  notices_.onForwarded(request.answered_by, request.machine, request.has_limit,
                       request.says_leaving, request.ended);
}

/// After a request has crashed three servers, all machines in touch must know it within `contact`.
void PromiseChecker::checkCrasher(const Request& request, const std::string& instance,
                                  TimePoint now) {
  Crasher& crasher = crashers_[request.crasher];
  if (crasher.crashes.size() < kCrashesUntilKnown) return;
  const TimePoint known = crasher.crashes[kCrashesUntilKnown - 1] + bounds_.contact;
  if (now <= known || !isInTouch(request.machine, now)) return;
  if (++crasher.late_arrivals <= kMaxArrivalsOnceKnown) return;
  report(
      "crashes_on",
      describeRequest(request, "crashing request " + std::to_string(request.crasher) + " reached " +
                                   instance + " " + std::to_string(toMilliseconds(now - known)) +
                                   " ms after it had to be known, the " +
                                   std::to_string(crasher.late_arrivals) + "th time"));
}

// ---- Ended requests

void PromiseChecker::checkEnded(TimePoint now) {
  while (!ended_.empty() && ended_.front()->ended + kSettled <= now) {
    const Request& request = *ended_.front();
    ended_.pop_front();
    check(request);
  }
}

void PromiseChecker::check(const Request& request) {
  count(request);
  if (!request.answer_error.empty())
    report("mixed", describeRequest(request, request.answer_error));
  if (request.lacks_slash) return checkNotFound(request);
  checkVersion(request);
  checkStop(request);
  checkFailure(request);
  checkHeld(request);
  checkUnserved(request);
}

/// Checks a request that has no route in any version. It must be answered, and not by a server.
void PromiseChecker::checkNotFound(const Request& request) {
  checkStop(request);
  checkFailure(request);
  checkHeld(request);
  if (request.end != RequestEnd::kAnswered) return;
  if (request.status != kNotFound && request.status != kUnavailable) {
    report("wrong_route", describeRequest(request, "a request without a route was answered"));
  }
}

void PromiseChecker::count(const Request& request) {
  ++counts_.requests;
  const bool in_touch = isInTouch(request.machine, request.sent);
  if (in_touch) ++counts_.in_touch;
  if (in_touch && request.status == kOk) ++counts_.in_touch_served;
  if (promisesNotRun(request.status)) ++counts_.refused;
  if (isUnknown(request.status)) ++counts_.unknown;
  if (request.end == RequestEnd::kCut) ++counts_.cut;
  if (request.status == kNotFound) ++counts_.not_found;
  if (faults_.wasStopping(request.machine, request.sent, request.ended)) ++counts_.by_stop;
}

// ---- Versions

std::size_t PromiseChecker::newestSeenBefore(const Request& request) const {
  const auto found = seen_.find(NodeProcess(request.machine, request.node_incarnation));
  if (found == seen_.end()) return 0;
  const bool is_calm = isInTouch(request.machine, request.sent) &&
                       isUndisturbed(request.machine, request.sent, request.ended);
  const Duration slack = is_calm ? kRollbackSlack : kRollbackSlackWithFault;
  std::size_t newest = 0;
  for (const SeenVersion& seen : found->second) {
    if (seen.when + slack < request.sent) newest = std::max(newest, seen.version);
  }
  return newest;
}

VersionSpan PromiseChecker::possibleVersions(const Request& request, bool with_seen) const {
  VersionSpan span;
  span.last = versions_.newestAt(request.ended).value_or(0);
  if (isInTouch(request.machine, request.sent)) {
    span.first = versions_.newestAt(request.sent - bounds_.config_apply).value_or(0);
  }
  if (with_seen) span.first = std::max(span.first, newestSeenBefore(request));
  return span;
}

void PromiseChecker::recordSeenVersion(const Request& request, std::size_t version) {
  std::vector<SeenVersion>& seen = seen_[NodeProcess(request.machine, request.node_incarnation)];
  if (seen.empty() || seen.back().version < version) seen.push_back({request.ended, version});
}

void PromiseChecker::checkVersion(const Request& request) {
  if (request.end != RequestEnd::kAnswered) return;
  const Route& route = versions_.route(request.route);
  const bool was_found = request.is_from_server && request.status == kOk;
  const bool was_missed = request.status == kNotFound;
  const bool is_other_refusal = request.status >= 400 && request.status < 500 && !was_missed &&
                                !promisesNotRun(request.status);
  if (is_other_refusal) report("denied", describeRequest(request, "a valid request was refused"));
  if (!was_found && !was_missed) return;

  const VersionSpan span = possibleVersions(request, false);
  const VersionSpan narrower = possibleVersions(request, true);
  const bool fits = was_found ? versions_.anyHas(span, route) : versions_.anyLacks(span, route);
  const bool fits_seen =
      was_found ? versions_.anyHas(narrower, route) : versions_.anyLacks(narrower, route);
  if (isInTouch(request.machine, request.sent) && route.added > 0) ++counts_.on_new_routes;
  const std::string versions =
      "added with " + VersionHistory::label(route.added) +
      (route.removed ? ", removed with " + VersionHistory::label(*route.removed) : std::string()) +
      ", possibly in force " + VersionHistory::label(narrower.first) + " to " +
      VersionHistory::label(narrower.last);
  if (!fits) {
    const bool is_denial = was_missed && route.added == 0;
    const std::size_t changed = was_found ? route.removed.value_or(0) : route.added;
    const Duration age = request.sent - versions_.acknowledgedAt(changed);
    report(is_denial ? "denied" : "version_late",
           describeRequest(request, "the change was acknowledged " +
                                        std::to_string(toMilliseconds(age)) +
                                        " ms before it was sent (" + versions + ")"));
  } else if (!fits_seen) {
    report("version_went_back",
           describeRequest(request, "a newer version was seen before (" + versions + ")"));
  }
  if (was_found) recordSeenVersion(request, route.added);
  if (was_missed && route.removed && fits && narrower.first >= route.added) {
    recordSeenVersion(request, *route.removed);
  }
}

// ---- Planned stops and failures

void PromiseChecker::checkStop(const Request& request) {
  if (request.injected_fault != AnswerFault::kNone) return;
  const TimePoint from = request.sent - bounds_.contact;
  const bool own_stops = faults_.wasStopping(request.machine, request.sent, request.ended);
  const auto is_stopping = [&](const Run& run) {
    return faults_.wasStopping(run.machine, request.sent, request.ended);
  };
  const bool other_stops = std::any_of(request.runs.begin(), request.runs.end(), is_stopping);
  if (!own_stops && !other_stops) return;
  const auto is_excused = [&](const std::string& machine) {
    return !faults_.isFaultFreeExceptStops(machine, from, request.ended);
  };
  const bool has_other_fault =
      is_excused(request.machine) || is_excused(kSoakComponent) ||
      std::any_of(request.runs.begin(), request.runs.end(), [&](const Run& run) {
        return is_excused(run.machine) || is_excused(machineOf(run.machine).serverComponent());
      });
  if (has_other_fault) return;
  ++counts_.stops_judged;

  const bool was_run = !request.runs.empty();
  const Duration age = request.ended - request.sent;
  const std::string whose =
      own_stops ? "its own node was stopping" : "the node of its server was stopping";
  if (request.end == RequestEnd::kCut) {
    if (!was_run && (age <= kLostSlack || request.was_pipelined)) return;
    return report(own_stops ? "cut_by_stop" : "cut_by_stop_of_other",
                  describeRequest(request, "the connection ended while " + whose));
  }
  const bool has_own_answer = request.end == RequestEnd::kAnswered && !request.is_from_server;
  if (!has_own_answer || !isUnknown(request.status) || !was_run) return;
  const bool was_at_work = request.runs.back().was_cut;
  const Duration limit = std::min(request.deadline, kRouteTimeout) - kClockSlack;
  if (!was_at_work || age >= limit) return;
  report(own_stops ? "broken_off_by_stop" : "broken_off_by_stop_of_other",
         describeRequest(request, "its server was executing it while " + whose));
}

/// Without any fault, no connection is cut and no outcome is unknown before the deadline.
void PromiseChecker::checkFailure(const Request& request) {
  const bool is_cut = request.end == RequestEnd::kCut;
  const bool is_unknown =
      request.end == RequestEnd::kAnswered && !request.is_from_server && isUnknown(request.status);
  if (!is_cut && !is_unknown) return;
  if (request.injected_fault != AnswerFault::kNone) return;
  const TimePoint from = request.sent - bounds_.contact;
  if (!isUndisturbed(request.machine, from, request.ended)) return;
  const bool was_run = !request.runs.empty();
  const bool is_calm =
      was_run ? areServersFaultFree(request) : isEverythingFaultFree(from, request.ended);
  if (!is_calm) return;
  const Duration age = request.ended - request.sent;
  if (age >= std::min(request.deadline, kRouteTimeout) - kClockSlack) return;
  // A persistent connection may be closed just when a request is sent.
  if (is_cut && !was_run && age <= kLostSlack) return;
  report(is_cut ? "cut_when_calm" : "failed_when_calm",
         describeRequest(request, "there was no fault on its path"));
}

void PromiseChecker::checkHeld(const Request& request) {
  if (request.end != RequestEnd::kGivenUp || request.abandoned_early) return;
  // Responses on one connection are in the order of its requests, so an earlier request may delay
  // this one.
  if (request.was_pipelined) return;
  if (request.ended - request.sent < request.deadline + kHeldSlack) return;
  if (!isUndisturbed(request.machine, request.sent - bounds_.contact, request.ended)) return;
  report("held", describeRequest(request, "no response long after its deadline"));
}

/// A machine in touch must serve requests while the service has a server in touch.
void PromiseChecker::checkUnserved(const Request& request) {
  std::vector<const Request*>& row = unserved_[request.machine];
  if (request.status == kOk) return row.clear();
  const Route& route = versions_.route(request.route);
  const bool is_promised = route.added == 0 && !request.abandoned_early &&
                           isInTouch(request.machine, request.sent) &&
                           isUndisturbed(request.machine, request.sent, request.ended) &&
                           hasServerInTouch(route.service, request.sent, request.ended);
  if (!is_promised) return;
  row.push_back(&request);
  if (row.size() < kMaxUnserved) return;
  report("unserved", describeRequest(request, "the last of " + std::to_string(row.size()) +
                                                  " consecutive unserved requests"));
  row.clear();
}

// ---- End of the soak

void PromiseChecker::checkAll() {
  for (const auto& [number, crasher] : crashers_) {
    counts_.crashes += crasher.crashes.size();
    if (crasher.crashes.size() >= kCrashesUntilKnown) ++counts_.crashers_judged;
  }
  for (const auto& [id, request] : ledger_.all()) {
    if (request.is_repeatable) continue;
    if (request.runs.size() > 1)
      report("ran_twice", describeRequest(request, "it was executed more than once"));
    const bool was_refused = request.end == RequestEnd::kAnswered && promisesNotRun(request.status);
    if (was_refused && !request.runs.empty()) {
      report("refused_but_ran",
             describeRequest(request, "the response says that it was not executed"));
    }
  }
}

}  // namespace coursepond::soak
