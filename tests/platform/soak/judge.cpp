#include "judge.h"

#include <algorithm>
#include <stdexcept>

namespace coursepond::soak {
namespace {

using std::chrono::milliseconds;

/// Until then, what a back end sees of the end of a request has been seen.
constexpr Duration kSettled = milliseconds(1500);
/// After a version's effect was seen, a request sent so much later may not be handled by an older
/// one: `rollback_slack` of the platform, eight times that on a machine in trouble.
constexpr Duration kRollbackSlack = milliseconds(250);
constexpr Duration kRollbackSlackInTrouble = milliseconds(2000);
/// `lost_slack` of the platform: a request that was not passed on may be cut within this.
constexpr Duration kLostSlack = milliseconds(200);
/// Of the soak's own clocks and of a request's way.
constexpr Duration kClockSlack = milliseconds(60);
constexpr Duration kRouteTimeout = std::chrono::seconds(3);
constexpr Duration kHeldSlack = milliseconds(500);
/// Servers that a request may crash before it is known to,
constexpr std::size_t kEndsKnown = 3;
/// and how often it may reach one after that.
constexpr std::size_t kMostOnceKnown = 3;
/// In a row on one machine in touch, with a server in touch at hand.
constexpr std::size_t kMostUnserved = 30;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// 503, 429, 408 and 421 promise that the request has not run and never will.
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

void Judge::report(const std::string& kind, const std::string& story) {
  violations_.push_back({kind, story});
  if (on_violation_) on_violation_(violations_.back());
}

std::string Judge::clock(TimePoint when) const {
  return std::to_string(toMilliseconds(when - origin_)) + " ms";
}

std::string Judge::story(const Request& request, const std::string& what) const {
  const Route& route = versions_.route(request.route);
  std::string text = what + ": request " + request.id + " at " + request.machine + " (life " +
                     std::to_string(request.node_life) + ") route " + route.name +
                     (request.is_repeatable ? " repeatable" : " unrepeatable") + " body_bytes " +
                     std::to_string(request.body_bytes) + " answer_bytes " +
                     std::to_string(request.answer_bytes) + " deadline_ms " +
                     std::to_string(toMilliseconds(request.deadline)) + " sent " +
                     clock(request.sent);
  if (request.was_behind) text += " behind others";
  if (request.spoil != Spoil::kNone) text += " spoilt by its server";
  text += " " + endWord(request.end);
  if (request.end != RequestEnd::kOpen) {
    text += " " + clock(request.ended) + " status " + std::to_string(request.status);
  }
  for (const Run& run : request.runs) {
    text += "; ran at " + run.instance + " from " + clock(run.started);
    if (run.ended != TimePoint()) text += " to " + clock(run.ended);
    if (run.was_cut) text += " cut";
  }
  return text;
}

const Machine& Judge::machineOf(const std::string& name) const {
  const auto found = std::find_if(machines_.begin(), machines_.end(),
                                  [&](const auto& machine) { return machine->name() == name; });
  if (found == machines_.end()) throw std::logic_error("no machine " + name);
  return **found;
}

// ---- Calm

bool Judge::isQuietFor(const std::string& machine, TimePoint from, TimePoint to) const {
  return troubles_.isCalm(machine, from, to) && troubles_.isCalm(kStorePlace, from, to) &&
         troubles_.isCalm(kSoakPlace, from, to);
}

bool Judge::isInTouch(const std::string& machine, TimePoint when) const {
  return isQuietFor(machine, when - bounds_.contact, when);
}

bool Judge::isEverythingQuiet(TimePoint from, TimePoint to) const {
  return std::all_of(machines_.begin(), machines_.end(), [&](const auto& machine) {
    return isQuietFor(machine->name(), from, to) &&
           troubles_.isCalm(machine->serverPlace(), from, to);
  });
}

/// Whether nothing was wrong where the request ran.
bool Judge::areServersQuiet(const Request& request) const {
  const TimePoint from = request.sent - bounds_.contact;
  return std::all_of(request.runs.begin(), request.runs.end(), [&](const Run& run) {
    return troubles_.isCalm(run.machine, from, request.ended) &&
           troubles_.isCalm(machineOf(run.machine).serverPlace(), from, request.ended);
  });
}

bool Judge::hasServerInTouch(const std::string& service, TimePoint from, TimePoint to) const {
  return std::any_of(machines_.begin(), machines_.end(), [&](const auto& machine) {
    return machine->service() == service &&
           isQuietFor(machine->name(), from - bounds_.contact, to) &&
           troubles_.isCalm(machine->serverPlace(), from - bounds_.contact, to);
  });
}

// ---- Arrivals

void Judge::onArrival(const Machine& machine, const std::string& instance, const std::string& id,
                      const Request* request, TimePoint now) {
  if (request == nullptr) {
    return report("unasked", instance + " got a request that nobody sent: '" + id + "'");
  }
  if (request->crasher > 0) judgeCrasher(*request, instance, now);
  const std::optional<TimePoint> left = machine.leavingSince(instance);
  if (!left || now <= *left + bounds_.drain) return;
  const bool is_promised = isInTouch(machine.name(), now) && isInTouch(request->machine, now) &&
                           troubles_.isCalm(kStorePlace, *left - bounds_.contact, now);
  if (!is_promised) return;
  report("late_at_leaving_server",
         story(*request, instance + " left at " + clock(*left) + " and got a request " +
                             std::to_string(toMilliseconds(now - *left)) + " ms later"));
}

/// Once a request has crashed three servers, machines in touch know of it within `contact`.
void Judge::judgeCrasher(const Request& request, const std::string& instance, TimePoint now) {
  Crasher& crasher = crashers_[request.crasher];
  if (crasher.ends.size() < kEndsKnown) return;
  const TimePoint known = crasher.ends[kEndsKnown - 1] + bounds_.contact;
  if (now <= known || !isInTouch(request.machine, now)) return;
  if (++crasher.late_arrivals <= kMostOnceKnown) return;
  report("crashes_on",
         story(request, "crashing request " + std::to_string(request.crasher) + " reached " +
                            instance + " " + std::to_string(toMilliseconds(now - known)) +
                            " ms after it was to be known, the " +
                            std::to_string(crasher.late_arrivals) + "th time"));
}

// ---- Ends

void Judge::judgeEnded(TimePoint now) {
  while (!ended_.empty() && ended_.front()->ended + kSettled <= now) {
    const Request& request = *ended_.front();
    ended_.pop_front();
    judge(request);
  }
}

void Judge::judge(const Request& request) {
  count(request);
  if (!request.fault.empty()) report("mixed", story(request, request.fault));
  judgeVersion(request);
  judgeStop(request);
  judgeFailure(request);
  judgeHeld(request);
  judgeUnserved(request);
}

void Judge::count(const Request& request) {
  ++counts_.requests;
  const bool in_touch = isInTouch(request.machine, request.sent);
  if (in_touch) ++counts_.in_touch;
  if (in_touch && request.status == kOk) ++counts_.in_touch_served;
  if (promisesNotRun(request.status)) ++counts_.refused;
  if (isUnknown(request.status)) ++counts_.unknown;
  if (request.end == RequestEnd::kCut) ++counts_.cut;
  if (request.status == kNotFound) ++counts_.not_found;
  if (troubles_.wasStopping(request.machine, request.sent, request.ended)) ++counts_.by_stop;
}

// ---- Versions

std::size_t Judge::seenBefore(const Request& request) const {
  const auto found = seen_.find(Life(request.machine, request.node_life));
  if (found == seen_.end()) return 0;
  const bool is_calm = isInTouch(request.machine, request.sent) &&
                       isQuietFor(request.machine, request.sent, request.ended);
  const Duration slack = is_calm ? kRollbackSlack : kRollbackSlackInTrouble;
  std::size_t newest = 0;
  for (const SeenVersion& seen : found->second) {
    if (seen.when + slack < request.sent) newest = std::max(newest, seen.version);
  }
  return newest;
}

VersionSpan Judge::possible(const Request& request, bool with_seen) const {
  VersionSpan span;
  span.last = versions_.newestAt(request.ended).value_or(0);
  if (isInTouch(request.machine, request.sent)) {
    span.first = versions_.newestAt(request.sent - bounds_.config_apply).value_or(0);
  }
  if (with_seen) span.first = std::max(span.first, seenBefore(request));
  return span;
}

void Judge::noteSeen(const Request& request, std::size_t version) {
  std::vector<SeenVersion>& seen = seen_[Life(request.machine, request.node_life)];
  if (seen.empty() || seen.back().version < version) seen.push_back({request.ended, version});
}

void Judge::judgeVersion(const Request& request) {
  if (request.end != RequestEnd::kAnswered) return;
  const Route& route = versions_.route(request.route);
  const bool was_found = request.is_servers_own && request.status == kOk;
  const bool was_missed = request.status == kNotFound;
  const bool is_other_refusal = request.status >= 400 && request.status < 500 && !was_missed &&
                                !promisesNotRun(request.status);
  if (is_other_refusal) report("denied", story(request, "a proper request was refused"));
  if (!was_found && !was_missed) return;

  const VersionSpan span = possible(request, false);
  const VersionSpan narrower = possible(request, true);
  const bool fits = was_found ? versions_.someHas(span, route) : versions_.someLacks(span, route);
  const bool fits_seen =
      was_found ? versions_.someHas(narrower, route) : versions_.someLacks(narrower, route);
  if (isInTouch(request.machine, request.sent) && route.added > 0) ++counts_.on_new_routes;
  const std::string versions =
      "added with " + VersionBook::label(route.added) +
      (route.removed ? ", removed with " + VersionBook::label(*route.removed) : std::string()) +
      ", possible " + VersionBook::label(narrower.first) + " to " +
      VersionBook::label(narrower.last);
  if (!fits) {
    const bool is_denial = was_missed && route.added == 0;
    const std::size_t changed = was_found ? route.removed.value_or(0) : route.added;
    const Duration age = request.sent - versions_.acknowledgedAt(changed);
    report(is_denial ? "denied" : "version_late",
           story(request, "the change was acknowledged " + std::to_string(toMilliseconds(age)) +
                              " ms before it was sent (" + versions + ")"));
  } else if (!fits_seen) {
    report("version_went_back", story(request, "a newer one was seen before (" + versions + ")"));
  }
  if (was_found) noteSeen(request, route.added);
  if (was_missed && route.removed && fits && narrower.first >= route.added) {
    noteSeen(request, *route.removed);
  }
}

// ---- Planned stops and failures

void Judge::judgeStop(const Request& request) {
  if (request.spoil != Spoil::kNone) return;
  const TimePoint from = request.sent - bounds_.contact;
  const bool own_stops = troubles_.wasStopping(request.machine, request.sent, request.ended);
  const auto is_stopping = [&](const Run& run) {
    return troubles_.wasStopping(run.machine, request.sent, request.ended);
  };
  const bool other_stops = std::any_of(request.runs.begin(), request.runs.end(), is_stopping);
  if (!own_stops && !other_stops) return;
  const auto is_excused = [&](const std::string& machine) {
    return !troubles_.isCalmButForStops(machine, from, request.ended);
  };
  const bool has_other_trouble =
      is_excused(request.machine) || is_excused(kSoakPlace) ||
      std::any_of(request.runs.begin(), request.runs.end(), [&](const Run& run) {
        return is_excused(run.machine) || is_excused(machineOf(run.machine).serverPlace());
      });
  if (has_other_trouble) return;
  ++counts_.stops_judged;

  const bool was_run = !request.runs.empty();
  const Duration age = request.ended - request.sent;
  const std::string whose = own_stops ? "its own node stops" : "the node beside its server stops";
  if (request.end == RequestEnd::kCut) {
    if (!was_run && (age <= kLostSlack || request.was_behind)) return;
    return report(own_stops ? "cut_by_stop" : "cut_by_stop_of_other",
                  story(request, "the connection ended while " + whose));
  }
  const bool has_own_answer = request.end == RequestEnd::kAnswered && !request.is_servers_own;
  if (!has_own_answer || !isUnknown(request.status) || !was_run) return;
  const bool was_at_work = request.runs.back().was_cut;
  const Duration limit = std::min(request.deadline, kRouteTimeout) - kClockSlack;
  if (!was_at_work || age >= limit) return;
  report(own_stops ? "broken_off_by_stop" : "broken_off_by_stop_of_other",
         story(request, "its server was at work while " + whose));
}

/// With nothing wrong anywhere, nothing is cut and no outcome unknown before the deadline.
void Judge::judgeFailure(const Request& request) {
  const bool is_cut = request.end == RequestEnd::kCut;
  const bool is_unknown =
      request.end == RequestEnd::kAnswered && !request.is_servers_own && isUnknown(request.status);
  if (!is_cut && !is_unknown) return;
  if (request.spoil != Spoil::kNone) return;
  const TimePoint from = request.sent - bounds_.contact;
  if (!isQuietFor(request.machine, from, request.ended)) return;
  const bool was_run = !request.runs.empty();
  const bool is_calm = was_run ? areServersQuiet(request) : isEverythingQuiet(from, request.ended);
  if (!is_calm) return;
  const Duration age = request.ended - request.sent;
  if (age >= std::min(request.deadline, kRouteTimeout) - kClockSlack) return;
  // A kept connection may end just as a request is sent.
  if (is_cut && !was_run && age <= kLostSlack) return;
  report(is_cut ? "cut_when_calm" : "failed_when_calm",
         story(request, "nothing was wrong where it went"));
}

void Judge::judgeHeld(const Request& request) {
  if (request.end != RequestEnd::kGivenUp || request.left_early) return;
  // Answers of one connection keep the order of its requests: an earlier one may hold this up.
  if (request.was_behind) return;
  if (request.ended - request.sent < request.deadline + kHeldSlack) return;
  if (!isQuietFor(request.machine, request.sent - bounds_.contact, request.ended)) return;
  report("held", story(request, "no answer long after its deadline"));
}

/// A machine in touch serves, when its service has a server in touch.
void Judge::judgeUnserved(const Request& request) {
  std::vector<const Request*>& row = unserved_[request.machine];
  if (request.status == kOk) return row.clear();
  const Route& route = versions_.route(request.route);
  const bool is_promised = route.added == 0 && !request.left_early &&
                           isInTouch(request.machine, request.sent) &&
                           isQuietFor(request.machine, request.sent, request.ended) &&
                           hasServerInTouch(route.service, request.sent, request.ended);
  if (!is_promised) return;
  row.push_back(&request);
  if (row.size() < kMostUnserved) return;
  report("unserved", story(request, "the last of " + std::to_string(row.size()) +
                                        " in a row that were not served"));
  row.clear();
}

// ---- The end

void Judge::judgeAll() {
  for (const auto& [number, crasher] : crashers_) {
    counts_.crashes += crasher.ends.size();
    if (crasher.ends.size() >= kEndsKnown) ++counts_.crashers_judged;
  }
  for (const auto& [id, request] : ledger_.all()) {
    if (request.is_repeatable) continue;
    if (request.runs.size() > 1) report("ran_twice", story(request, "it ran more than once"));
    const bool was_refused = request.end == RequestEnd::kAnswered && promisesNotRun(request.status);
    if (was_refused && !request.runs.empty()) {
      report("refused_but_ran", story(request, "it was told that it had not run"));
    }
  }
}

}  // namespace coursepond::soak
