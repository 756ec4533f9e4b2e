#include "egress/egress_flow.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/http_headers.h"
#include "core/time_arithmetic.h"
#include "egress/slot_search.h"
#include "proxy/answer_check.h"
#include "proxy/deadline_queue.h"
#include "proxy/reason.h"
#include "proxy/repeatability.h"

namespace coursepond::egress {
namespace {

using admission::CrashVerdict;
using proxy::AnswerHead;
using proxy::AttemptFailure;
using proxy::AttemptId;
using proxy::Reason;
using proxy::RepeatReason;

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kLowestServerError = 500;
constexpr Duration kMinRemaining = std::chrono::milliseconds(1);
/// A request whose answer was lost by this many servers is not sent to another one. If the request
/// crashes servers, each further crash also kills the other requests on that server.
constexpr std::uint32_t kMaxLostRuns = 2;
/// Reason of an attempt that was cancelled because another one was answered first.
constexpr std::string_view kSuperseded = "superseded";
/// A request is not repeated with less than this left until its deadline.
constexpr Duration kMinRemainingForRepeat = std::chrono::milliseconds(20);
/// Maximum fraction of the time left that is reserved for the way to the ingress and back. The
/// round trip is an average, and most requests to a slow zone are faster.
constexpr double kMaxReserveShare = 0.25;
/// Maximum fraction of the time left for which a rejected call waits for its siblings.
constexpr double kMaxSiblingWaitShare = 0.125;
/// Reason of a repeat that was denied because a sibling call has failed.
constexpr std::string_view kSiblingFailed = "sibling_failed";
/// A timer is later than this only if the process was paused or busy.
constexpr Duration kTimerLateness = std::chrono::milliseconds(2);
/// Time for one pass of the event loop, which reads what has arrived.
constexpr Duration kReadTime = std::chrono::milliseconds(1);

const std::vector<RegionId> kAllRegions;

/// Returns whether an ingress refused because its server or link is busy, as opposed to a server
/// that is leaving or belongs to another service.
bool isCapacityRefusal(const AnswerHead& answer) {
  return answer.node_reason == reasonName(Reason::kQueueFull) ||
         answer.node_reason == reasonName(Reason::kNoFreeSlot) ||
         answer.node_reason == reasonName(Reason::kQueueTimeout) ||
         answer.node_reason == reasonName(Reason::kServerLimit) ||
         answer.node_reason == reasonName(Reason::kLinkFull) ||
         answer.node_reason == reasonName(Reason::kDeadlineTooShort);
}

/// Returns whether the ingress closed the connection before it read the request. It then sends a
/// refusal that belongs to no request. Servers cannot: an ingress forwards no outcome of theirs.
bool isClosingRefusal(const AnswerHead& answer) {
  return answer.status == kServiceUnavailable && answer.request_id.empty() &&
         answer.node_outcome == http_headers::kOutcomeNotRun &&
         answer.node_reason == reasonName(Reason::kStopping);
}

class EgressFlow final : public proxy::Exchange,
                         private proxy::DeadlineEntry,
                         private admission::QuotaWaiter {
 public:
  EgressFlow(proxy::RequestHead head, EgressState& state, Environment& environment,
             proxy::RequestIo& io)
      : head_(std::move(head)), state_(state), environment_(environment), io_(io) {}

  ~EgressFlow() override {
    if (phase_ != Phase::kNew && phase_ != Phase::kFinished) finish();
  }

  void start() override;
  void onAttemptFailed(AttemptId attempt, AttemptFailure failure) override;
  void onAttemptReceived(AttemptId attempt) override;
  void onBodyAwaited() override;
  void onAnswerHead(AttemptId attempt, const AnswerHead& answer) override;
  void onAnswerComplete(AttemptId attempt) override;
  void onAnswerCut(AttemptId attempt) override;
  void onCallerGone() override;
  Version configurationVersion() const override {
    return routing_ ? routing_->snapshot->version : Version();
  }
  TimePoint dueAt() const override { return started_ + target(); }
  TimePoint latestEnd() const override { return deadline_; }

 private:
  enum class Phase {
    kNew,
    kAskingQuota,
    kAwaitingBody,
    kWaiting,
    kAttempting,
    kForwarding,
    kFinished
  };

  /// An attempt whose ingress was silent although its server may be running the request. It stays
  /// open beside the next one until either has an answer of its server.
  struct KeptAttempt {
    AttemptId id = 0;
    ServerPointer server;
    TimePoint started;
  };

  void onDeadline(TimePoint now) override;
  void onQuotaChecked(bool may_pass) override;

  void route(TimePoint now);
  void waitForConfiguration(TimePoint now);
  std::optional<Reason> identify();
  bool hasQuota() const;
  void askQuota(TimePoint now);
  Duration allowedTime() const;
  void admit(TimePoint now);
  bool mayOutlastStop(TimePoint now) const;
  bool isThrottled(TimePoint now);
  void noteOutcome(bool is_accepted, TimePoint now);
  void noteDuration(TimePoint now) {
    state_.use(service_).longest_latency.add(now - started_, now);
  }
  void sendOrWait(TimePoint now);
  bool placeLarge(TimePoint now);
  ServerPointer pickForRepeat(TimePoint now) const;
  void identifyBody();
  bool awaitsBody();
  void sendTrial(TimePoint now);
  CrashVerdict verdict(TimePoint now);
  RequestFingerprint allowedTrial(TimePoint now) const;
  void send(ServerPointer server, TimePoint now);
  proxy::AttemptPlan makePlan(TimePoint now) const;
  Duration remaining(TimePoint now) const;
  bool canBeAnsweredBy(const Server& server, TimePoint now) const;
  void concludeTooLate();
  bool waitsForUnreadAnswer(TimePoint now);
  void waitForServer(TimePoint now);
  void joinQueue(TimePoint now);

  bool isCurrent(AttemptId attempt, Phase phase) const {
    return phase_ == phase && attempt == attempt_;
  }
  bool isProper(const AnswerHead& answer) const {
    return isClosingRefusal(answer) ||
           proxy::isProperAnswer(answer, head_.request_id, state_.settings().expects_signature);
  }
  bool shouldRepeat(const AnswerHead& answer, TimePoint now);
  void holdOrDiscard(AttemptId attempt, int status);
  void onNotRun(const AnswerHead& answer, TimePoint now);
  void onIngressRefused(const AnswerHead& answer, TimePoint now);
  void onOtherInstance(TimePoint now);
  void onServerRefused(TimePoint now);
  bool waitsForSiblings(TimePoint now, Duration taken);
  void repeatRefused(TimePoint now);
  void noteAtRisk();
  void endCall(int status);
  bool isRunLost() const;
  void onOutcomeUnknown(Reason reason, TimePoint now);
  void onLostBeforeReceipt(TimePoint now);
  void onSilent(TimePoint now);
  void leaveSilent(bool surely_not_run);
  bool isKept(AttemptId attempt) const { return kept_ && kept_->id == attempt; }
  void onKeptAnswer(const AnswerHead& answer, TimePoint now);
  void onKeptFailed(AttemptFailure failure, TimePoint now);
  void takeKept();
  void waitForKept(std::string_view reason);
  void cancelKept(std::string_view reason);
  void dropKept();
  void releaseKept();
  void noteArrival();
  bool mayRepeat(RepeatReason reason, TimePoint now);
  proxy::RetryBudgetUse repeatUse(RepeatReason reason, TimePoint now);
  void releaseServer();

  void note(proxy::DecisionKind kind, std::string_view reason, int status) const {
    noteAttempt(attempt_, server_, kind, reason, status);
  }
  void noteAttempt(AttemptId attempt, const ServerPointer& server, proxy::DecisionKind kind,
                   std::string_view reason, int status) const;
  void finish();
  void conclude(Reason reason);
  void concludeFull(TimePoint now);
  void concludeWithHeld(Reason reason);
  proxy::LocalAnswer makeAnswer(Reason reason) const;
  Duration retryAfter(Reason reason) const;

  /// Time by which the request is answered: its deadline, or the end of a planned stop that was
  /// announced since, if that is earlier.
  TimePoint effectiveDeadline() const { return std::min(deadline_, state_.stopDeadline()); }

  EgressState::Destination destination() const {
    return {service_, route_->regions, tenant_ != nullptr ? tenant_->regions : kAllRegions};
  }
  /// The tenant's rank overrides the route's.
  std::uint32_t rank() const {
    return tenant_ != nullptr ? tenant_->rank.value_or(route_->rank) : route_->rank;
  }
  AdmissionThrottle& throttle() { return state_.use(service_).throttles[rank()]; }

  /// Returns the probability that the current attempt counts as a repeat.
  double repeatShare() const { return has_arrived_ ? 1 : first_repeat_share_; }

  Duration target() const {
    const Duration target = route_ != nullptr ? route_->target_latency : Duration(0);
    return target > Duration(0) ? target : state_.settings().default_target;
  }

  proxy::RequestHead head_;
  EgressState& state_;
  Environment& environment_;
  proxy::RequestIo& io_;
  std::shared_ptr<const RoutingTable> routing_;
  const model::Route* route_ = nullptr;    ///< Owned by routing_.
  const model::Tenant* tenant_ = nullptr;  ///< Owned by routing_; null: no tenant.
  ServiceName service_;
  ServerPointer server_;
  std::vector<EndpointId> tried_;
  std::optional<SlotSearch> slots_;    ///< Set on admission.
  std::optional<LargeRequest> large_;  ///< Set on admission if the answer is expected to be large.
  Phase phase_ = Phase::kNew;
  AttemptId attempt_ = 0;
  AttemptId last_attempt_ = 0;          ///< Highest id so far.
  std::optional<KeptAttempt> kept_;     ///< Never the current attempt.
  std::uint32_t arrivals_ = 0;          ///< Number of servers that may have seen the request.
  double first_repeat_share_ = 0;       ///< Probability that the first attempt counts as a repeat.
  std::uint32_t silent_ingresses_ = 0;  ///< Number that did not acknowledge the request in time.
  std::uint32_t lost_runs_ = 0;  ///< Number of answers lost between a server and its ingress.
  std::uint32_t max_attempts_ = 1;
  bool is_repeatable_ = false;
  bool is_call_ = false;  ///< Sent by this machine's server on behalf of a request that it runs.
  bool may_have_run_ = false;
  bool has_arrived_ = false;           ///< An earlier attempt may have reached a server.
  bool asked_other_instance_ = false;  ///< Already sent to a restarted server a second time.
  bool was_received_ = false;          ///< The ingress acknowledged the current attempt.
  bool arrival_noted_ = false;         ///< noteArrival() has counted the current attempt.
  bool outcome_noted_ = false;         ///< The throttle has the outcome of this request.
  bool was_refused_ = false;
  bool is_link_full_ = false;  ///< Refused since a link cannot send the answer in time.
  bool is_trial_ = false;      ///< See CrashVerdict.
  bool is_late_ = false;       ///< Ended by the deadline.
  bool is_at_risk_ = false;    ///< A call that was rejected or failed at least once.
  bool has_ended_ = false;     ///< The final answer of a call was reported to its siblings.
  bool awaits_siblings_ = false;
  bool has_read_late_ = false;  ///< Waited for an unread answer after the deadline.
  bool holds_quota_ = false;    ///< Took a token from its tenant's quota.
  bool holds_repeat_ = false;   ///< Paid for a repeat that has not reached a server yet.
  std::optional<std::multiset<TimePoint>::iterator> running_;  ///< In ServiceUse::running_since.
  std::optional<int> held_status_;  ///< Status of the held answer of a server.
  std::optional<Duration> retry_after_;
  TimePoint deadline_;
  TimePoint started_;
  TimePoint wait_until_;
  TimePoint attempt_started_;
};

// ---- Start

void EgressFlow::start() {
  const TimePoint now = environment_.now();
  ++state_.statistics().requests;
  ++state_.inFlight();
  started_ = now;
  is_call_ = state_.retries().isCall(head_.request_id);
  if (is_call_) state_.retries().onCallStarted(head_.request_id);
  phase_ = Phase::kWaiting;
  route(now);
}

/// A node that has just started gets its first configuration within moments, so the request waits
/// for it.
void EgressFlow::waitForConfiguration(TimePoint now) {
  const TimePoint until = started_ + state_.settings().configuration_wait;
  if (now >= until) return conclude(Reason::kNoConfiguration);
  state_.deadlines().arm(*this, std::min(until, now + state_.settings().server_poll_interval));
}

void EgressFlow::route(TimePoint now) {
  routing_ = state_.routing();
  if (!routing_) return waitForConfiguration(now);
  const std::optional<std::size_t> index = routing_->table.find(head_);
  if (!index) {
    return conclude(state_.mayHaveMissedVersion() ? Reason::kStaleConfiguration : Reason::kNoRoute);
  }

  route_ = &routing_->snapshot->routes[*index];
  if (const std::optional<Reason> refusal = identify()) return conclude(*refusal);
  const Duration allowed = allowedTime();
  if (allowed <= Duration(0)) return conclude(Reason::kDeadline);
  deadline_ = started_ + allowed;
  hasQuota() ? askQuota(now) : admit(now);
}

/// Calls are not counted, because they belong to a request that was already counted.
bool EgressFlow::hasQuota() const {
  return tenant_ != nullptr && !is_call_ && tenant_->quota.isLimited() &&
         state_.quotas() != nullptr;
}

void EgressFlow::askQuota(TimePoint now) {
  switch (state_.quotas()->take(*tenant_, *this)) {
    case admission::QuotaVerdict::kPasses:
      holds_quota_ = true;
      return admit(now);
    case admission::QuotaVerdict::kRefused:
      return conclude(Reason::kQuotaExceeded);
    case admission::QuotaVerdict::kPending:
      phase_ = Phase::kAskingQuota;
      state_.deadlines().arm(*this, effectiveDeadline());
      return;
  }
}

void EgressFlow::onQuotaChecked(bool may_pass) {
  phase_ = Phase::kWaiting;
  state_.deadlines().disarm(*this);
  holds_quota_ = may_pass;
  may_pass ? admit(environment_.now()) : conclude(Reason::kQuotaExceeded);
}

/// Returns how long the request may take, as the caller and the route limit it.
Duration EgressFlow::allowedTime() const {
  const Duration allowed =
      std::min(head_.deadline.value_or(route_->timeout), state_.settings().longest_deadline);
  const bool has_hold_limit = route_->longest_hold > Duration(0);
  return has_hold_limit ? std::min<Duration>(allowed, route_->longest_hold) : allowed;
}

void EgressFlow::admit(TimePoint now) {
  is_repeatable_ = proxy::mayRunTwice(route_->repeatability, head_.method);
  max_attempts_ = route_->max_attempts > 0 ? route_->max_attempts : 1;
  service_ = state_.split().next(*route_);
  if (mayOutlastStop(now)) return conclude(Reason::kStopping);
  running_ = state_.use(service_).running_since.insert(started_);
  deadline_ = effectiveDeadline();
  wait_until_ =
      std::min(deadline_, now + fractionOf(target(), state_.settings().server_wait_share));
  slots_.emplace(state_.settings().slots, is_call_);
  // An ingress does not predict the answers of calls, and they wait for slots in another way.
  if (!is_call_) large_ = state_.largeRequest(*route_, target());
  const bool may_run = verdict(now) == CrashVerdict::kMayRun;
  if (may_run && isThrottled(now)) return conclude(Reason::kQueueFull);
  sendOrWait(now);
}

/// Finds the tenant of the request, or returns the reason for refusing it. A call belongs to the
/// tenant of the request that made it.
std::optional<Reason> EgressFlow::identify() {
  const admission::TenantTable& tenants = routing_->tenants;
  if (tenants.empty()) return std::nullopt;
  if (head_.key_digest) {
    tenant_ = tenants.findByKey(*head_.key_digest);
  } else if (const auto* const caller = state_.retries().callerOf(head_.request_id)) {
    tenant_ = tenants.findByName(caller->tenant.value());
    return std::nullopt;
  }
  if (tenant_ != nullptr || route_->is_public) return std::nullopt;
  // Requests that were given up, or that started before this node did, may still make calls. Such a
  // call cannot be distinguished from a request of an external caller. So it is not run, but it
  // does not get the answer for a missing key either.
  const bool may_be_call = !head_.key_digest && proxy::RetryAccounts::namesParent(head_.request_id);
  if (may_be_call) return Reason::kUnknownParent;
  return state_.mayHaveMissedVersion() ? Reason::kStaleConfiguration : Reason::kUnknownApiKey;
}

/// Returns whether a planned stop may end before a server has answered the request. Not asked of
/// calls, because refusing them would lose the work of the request that made them.
bool EgressFlow::mayOutlastStop(TimePoint now) const {
  const StopSchedule& stop = state_.stopSchedule();
  const Duration reserve = state_.settings().stop_reserve;
  if (is_call_) return now >= stop.end - reserve;
  const std::optional<Duration> longest = state_.use(service_).longestLatency(now);
  return !stop.mayRun(started_, now, deadline_, longest, reserve);
}

/// Returns whether the service is so full that an ingress would most likely refuse the request.
/// Calls are never throttled, because the work of the request that made them would be lost.
bool EgressFlow::isThrottled(TimePoint now) {
  if (is_call_) return false;
  if (throttle().passes(state_.settings().throttle, now, environment_)) return false;
  ++state_.statistics().throttled;
  return true;
}

void EgressFlow::noteOutcome(bool is_accepted, TimePoint now) {
  if (is_call_ || std::exchange(outcome_noted_, true)) return;
  throttle().onOutcome(state_.settings().throttle, now, is_accepted);
}

// ---- Attempts

void EgressFlow::sendOrWait(TimePoint now) {
  if (mayOutlastStop(now)) return conclude(Reason::kStopping);
  if (awaitsBody()) return;
  if (verdict(now) != CrashVerdict::kMayRun) return sendTrial(now);
  if (large_ && placeLarge(now)) return;
  const ServerPointer server = state_.pick(destination(), tried_, now, slots_->asksOwnZone());
  const bool is_own_zone = server && server->entry.zone == state_.settings().own_zone;
  if (server && !canBeAnsweredBy(*server, now)) return concludeTooLate();
  if (server && slots_->mayAsk(is_own_zone)) {
    slots_->onAsk(is_own_zone);
    return send(server, now);
  }
  if (was_refused_) return joinQueue(now);
  // Waiting would not help: zones stay drained for a long time, and regions do not change.
  if (state_.hasOnlyExcludedServers(destination())) {
    return conclude(destination().namesRegions() ? Reason::kNoServer : Reason::kZoneDrained);
  }
  waitForServer(now);
}

/// Sends a request with a large answer to a server whose link can send it in time, or refuses it if
/// there is none. Returns false if the request should be sent like any other one: no server is
/// available, or a server may be running it, and then a late answer is better than none.
bool EgressFlow::placeLarge(TimePoint now) {
  LargePlacement placement = state_.placeLarge(destination(), tried_, *large_, now);
  if (placement.server) {
    const bool is_own_zone = placement.server->entry.zone == state_.settings().own_zone;
    if (!slots_->mayAsk(is_own_zone)) {
      joinQueue(now);
      return true;
    }
    slots_->onAsk(is_own_zone);
    send(std::move(placement.server), now);
    return true;
  }
  if (!placement.retry_after || may_have_run_ || kept_) return false;
  is_link_full_ = true;
  retry_after_ = std::min(retry_after_.value_or(*placement.retry_after), *placement.retry_after);
  // A server that had no free slot may still have a link that is in time.
  was_refused_ ? joinQueue(now) : conclude(Reason::kLinkFull);
  return true;
}

/// Returns the server for a repeat that does not wait for one; null if there is none.
ServerPointer EgressFlow::pickForRepeat(TimePoint now) const {
  if (large_) {
    LargePlacement placement = state_.placeLarge(destination(), tried_, *large_, now);
    if (placement.server) return std::move(placement.server);
  }
  return state_.pick(destination(), tried_, now);
}

/// Completes the fingerprints if the whole body has arrived and is of interest.
void EgressFlow::identifyBody() {
  RequestFingerprints& known = head_.fingerprints;
  if (!known.whole.empty() || !state_.hasServerEnds(known.head)) return;
  if (const auto body = io_.bodyDigest()) known.addBody(*body);
}

/// A suspect with the same head is told apart by its body, so the request is not sent before its
/// body has arrived. Returns false if it is identified, or need not or cannot be.
bool EgressFlow::awaitsBody() {
  identifyBody();
  if (!head_.fingerprints.whole.empty()) return false;
  if (!state_.mustIdentify(head_.fingerprints.head) || !io_.awaitBody()) return false;
  if (phase_ != Phase::kAwaitingBody) ++state_.statistics().bodies_awaited;
  phase_ = Phase::kAwaitingBody;
  state_.deadlines().arm(*this, effectiveDeadline());
  return true;
}

void EgressFlow::onBodyAwaited() {
  if (phase_ != Phase::kAwaitingBody) return;
  phase_ = Phase::kWaiting;
  sendOrWait(environment_.now());
}

/// The ingress judges requests whose whole body is not known here. It may become known, and the
/// request a suspect, while the request runs.
CrashVerdict EgressFlow::verdict(TimePoint now) {
  identifyBody();
  return state_.verdict(head_.fingerprints.whole, now);
}

/// Returns the suspect that the request may turn out to be, if its trial is due at the server of
/// this attempt.
RequestFingerprint EgressFlow::allowedTrial(TimePoint now) const {
  if (is_trial_) return head_.fingerprints.whole;
  const bool is_identified = !head_.fingerprints.whole.empty();
  if (is_identified || attempt_ > 1) return {};
  return state_.trialAt(server_, destination(), head_.fingerprints.head, now);
}

/// Servers have crashed while running requests with this fingerprint. One trial at a time on a
/// single server shows whether the request is the cause, without a risk for the other servers. All
/// other requests with the fingerprint are refused at once, here or by the ingress of that server.
void EgressFlow::sendTrial(TimePoint now) {
  const bool may_try = verdict(now) == CrashVerdict::kTrialOnly && attempt_ == 0;
  ServerPointer server =
      may_try ? state_.pickForTrial(destination(), head_.fingerprints.whole, now) : nullptr;
  if (!server) return conclude(Reason::kCrashesServers);
  is_trial_ = true;
  send(std::move(server), now);
}

/// No server is available now. Servers come and go, so the request checks again at short intervals
/// for a limited time.
void EgressFlow::waitForServer(TimePoint now) {
  if (now >= wait_until_) return conclude(Reason::kNoServer);
  phase_ = Phase::kWaiting;
  state_.deadlines().arm(*this,
                         std::min(wait_until_, now + state_.settings().server_poll_interval));
}

void EgressFlow::send(ServerPointer server, TimePoint now) {
  server_ = std::move(server);
  ++server_->in_flight;
  phase_ = Phase::kAttempting;
  attempt_ = ++last_attempt_;
  attempt_started_ = now;
  ++state_.statistics().attempts;
  if (large_) state_.onLargeRequested(*server_, *large_, now);
  was_received_ = false;
  arrival_noted_ = false;
  state_.deadlines().arm(*this,
                         std::min(effectiveDeadline(), now + state_.receiptTimeout(target())));
  if (attempt_ == 1) {
    first_repeat_share_ = state_.retries().onFirstAttempt(service_, head_.request_id);
  }
  io_.startAttempt(makePlan(now));
}

proxy::AttemptPlan EgressFlow::makePlan(TimePoint now) const {
  proxy::AttemptPlan plan;
  plan.id = attempt_;
  plan.service = service_;
  plan.endpoint = server_->ingress;
  plan.remaining = remaining(now);
  plan.replayable = true;
  plan.target_instance = server_->entry.id.value();
  plan.confirm = !is_repeatable_;
  plan.caller_service = state_.settings().own_service;
  plan.replaces_tenant = !routing_->tenants.empty();
  if (tenant_ != nullptr) plan.tenant = tenant_->name;
  proxy::HopClass hop;
  hop.service = service_.value();
  hop.rank = rank();
  hop.target_latency = target();
  hop.is_repeatable = is_repeatable_;
  hop.is_call = is_call_;
  hop.repeat_share = repeatShare();
  hop.may_wait = is_trial_ || slots_->mayWait();
  hop.fingerprints = head_.fingerprints;
  hop.trial_of = allowedTrial(now);
  hop.server_limit = server_->load.server_limit;
  hop.sent = state_.sendTime(now);
  plan.hop_class = std::move(hop);
  return plan;
}

/// Returns the time that the ingress and its server get for the request. The ingress counts it from
/// the arrival of the request, so the way there and the way back are reserved: a refusal that
/// arrives after the deadline is lost, and the caller is told that the request may have run. If the
/// end of a planned stop comes before the deadline, the server's report that it gave up must still
/// arrive before this node exits.
Duration EgressFlow::remaining(TimePoint now) const {
  const Duration left = deadline_ - now;
  const Duration reserve = state_.settings().deadline_reserve;
  const Duration longest = std::max(fractionOf(left, kMaxReserveShare), reserve);
  const Duration by_deadline =
      left - std::min(state_.roundTrip(server_->entry.zone, now) + reserve, longest);
  const Duration by_stop = state_.stopDeadline() - now - state_.settings().stop_reserve;
  return std::max(std::min(by_deadline, by_stop), kMinRemaining);
}

/// Returns false if the answer to a request that needs no work would arrive after the deadline.
bool EgressFlow::canBeAnsweredBy(const Server& server, TimePoint now) const {
  const Duration round_trip = state_.roundTrip(server.entry.zone, now);
  return deadline_ - now > std::max(round_trip, state_.settings().deadline_reserve) + kMinRemaining;
}

void EgressFlow::concludeTooLate() {
  ++state_.statistics().refused_late;
  conclude(Reason::kDeadlineTooShort);
}

void EgressFlow::releaseServer() {
  if (!server_) return;
  --server_->in_flight;
  server_.reset();
}

void EgressFlow::noteArrival() {
  if (std::exchange(arrival_noted_, true)) return;
  ++arrivals_;
  has_arrived_ = true;
  holds_repeat_ = false;
  tried_.push_back(server_->entry.id);
}

void EgressFlow::onAttemptFailed(AttemptId attempt, AttemptFailure failure) {
  if (isCurrent(attempt, Phase::kForwarding)) return onAnswerCut(attempt);
  const TimePoint now = environment_.now();
  if (isKept(attempt)) return onKeptFailed(failure, now);
  if (!isCurrent(attempt, Phase::kAttempting)) return;
  note(proxy::DecisionKind::kAttemptEnded, failureName(failure), 0);
  switch (failure) {
    case AttemptFailure::kConnectFailed:
      ++state_.statistics().hop_failures;
      state_.onUnreachable(*server_, now);
      releaseServer();
      return sendOrWait(now);
    case AttemptFailure::kNoConnectionFree:
      tried_.push_back(server_->entry.id);
      releaseServer();
      return sendOrWait(now);
    case AttemptFailure::kClosedUnsent: {
      // The pooled connection was dead; a new connection to the same ingress may work.
      releaseServer();
      return sendOrWait(now);
    }
    case AttemptFailure::kCannotReplay:
      return conclude(Reason::kConnectFailed);
    case AttemptFailure::kLostAfterSend:
      ++state_.statistics().hop_failures;
      state_.onUnreachable(*server_, now);
      if (!was_received_ && is_repeatable_) return onLostBeforeReceipt(now);
      return onOutcomeUnknown(Reason::kConnectionLost, now);
    case AttemptFailure::kMalformedAnswer:
      ++state_.statistics().bad_answers;
      return onOutcomeUnknown(Reason::kMalformedAnswer, now);
  }
}

/// The connection to the ingress was lost before this node read an acknowledgement. A reset
/// discards data that was received but not read, so an acknowledgement may be lost and a server may
/// have seen the request.
void EgressFlow::onLostBeforeReceipt(TimePoint now) {
  may_have_run_ = true;
  noteArrival();
  releaseServer();
  if (!mayRepeat(RepeatReason::kIngressLost, now)) return conclude(Reason::kConnectionLost);
  if (ServerPointer server = pickForRepeat(now)) return send(server, now);
  conclude(Reason::kConnectionLost);
}

void EgressFlow::onAttemptReceived(AttemptId attempt) {
  const TimePoint now = environment_.now();
  if (isKept(attempt)) return noteOutcome(true, now);
  if (!isCurrent(attempt, Phase::kAttempting)) return;
  if (!was_received_) {
    state_.onReceipt(now - attempt_started_);
    state_.onRoundTrip(server_->entry.zone, now - attempt_started_, now);
  }
  noteOutcome(true, now);
  was_received_ = true;
  state_.deadlines().arm(*this, effectiveDeadline());
}

/// The ingress did not acknowledge the request: it is frozen, partitioned or far too slow. A
/// request of which nothing was sent has certainly not run and may go elsewhere. Any other one is
/// repeated if that is allowed; otherwise it keeps waiting.
void EgressFlow::onSilent(TimePoint now) {
  note(proxy::DecisionKind::kAttemptEnded, "silent", 0);
  ++state_.statistics().hop_receipt_timeouts;
  state_.onReceipt(now - attempt_started_);
  state_.onUnreachable(*server_, now);
  was_received_ = true;
  const bool surely_not_run = !io_.bytesSent(attempt_);
  if (!surely_not_run) noteArrival();
  const bool is_last =
      ++silent_ingresses_ >= state_.settings().most_silent_ingresses || kept_.has_value();
  if (is_last && surely_not_run) {
    io_.cancelAttempt(attempt_);
    return conclude(Reason::kNoServer);
  }
  if (is_last) {
    state_.deadlines().arm(*this, effectiveDeadline());
    return;
  }
  const bool has_other = state_.pick(destination(), tried_, now) != nullptr;
  // During a planned stop, no request is taken away from a server that may be running it, because
  // the repeat may not finish before this node exits.
  const bool may_abandon = is_repeatable_ && !state_.isStopping();
  const bool may_resend =
      has_other &&
      (surely_not_run || (may_abandon && mayRepeat(RepeatReason::kIngressSilent, now)));
  if (!may_resend) {
    state_.deadlines().arm(*this, effectiveDeadline());
    return;
  }
  leaveSilent(surely_not_run);
  sendOrWait(now);
}

/// Ends the current attempt, or keeps it open if its server may be running the request. Otherwise
/// the request would be lost if no other server takes it, although an answer is on its way.
void EgressFlow::leaveSilent(bool surely_not_run) {
  if (!surely_not_run && io_.keepAttempt(attempt_)) {
    kept_ = KeptAttempt{attempt_, std::move(server_), attempt_started_};
    server_.reset();
    return;
  }
  if (!surely_not_run) may_have_run_ = true;
  io_.cancelAttempt(attempt_);
  releaseServer();
}

// ---- The kept attempt

/// A server's answer ends the request, unless it is an error and another attempt is under way.
void EgressFlow::onKeptAnswer(const AnswerHead& answer, TimePoint now) {
  const bool is_proper = isProper(answer);
  if (is_proper) state_.onAnswer(*kept_->server, answer, now);
  const bool is_from_server = is_proper && !answer.not_run && answer.node_outcome.empty();
  if (is_from_server && answer.status < kLowestServerError) return takeKept();
  const std::string_view reason = is_from_server ? "server_failed" : answer.node_reason;
  noteAttempt(kept_->id, kept_->server, proxy::DecisionKind::kAttemptEnded,
              is_proper ? reason : "not_its_answer", 0);
  if (!is_proper) ++state_.statistics().bad_answers;
  if (!is_proper || !answer.not_run) may_have_run_ = true;
  if (answer.node_reason == reasonName(Reason::kConnectionLost)) ++lost_runs_;
  if (is_from_server) {
    holdOrDiscard(kept_->id, answer.status);
  } else {
    is_proper ? io_.discardAnswer(kept_->id) : io_.cancelAttempt(kept_->id);
  }
  releaseKept();
}

void EgressFlow::onKeptFailed(AttemptFailure failure, TimePoint now) {
  noteAttempt(kept_->id, kept_->server, proxy::DecisionKind::kAttemptEnded, failureName(failure),
              0);
  ++state_.statistics().hop_failures;
  state_.onUnreachable(*kept_->server, now);
  may_have_run_ = true;
  releaseKept();
}

/// Cancels the current attempt, if there is one, in favor of the kept one.
void EgressFlow::takeKept() {
  if (phase_ == Phase::kAttempting) {
    note(proxy::DecisionKind::kAttemptEnded, kSuperseded, 0);
    if (io_.bytesSent(attempt_)) {
      may_have_run_ = true;
      noteArrival();
    }
    io_.cancelAttempt(attempt_);
  }
  waitForKept(kSuperseded);
}

/// Makes the kept attempt the current one. No attempt may be open besides it.
void EgressFlow::waitForKept(std::string_view reason) {
  releaseServer();
  KeptAttempt kept = std::move(*kept_);
  kept_.reset();
  attempt_ = kept.id;
  server_ = std::move(kept.server);
  attempt_started_ = kept.started;
  was_received_ = true;
  arrival_noted_ = true;
  phase_ = Phase::kAttempting;
  ++state_.statistics().attempts_resumed;
  note(proxy::DecisionKind::kAttemptResumed, reason, 0);
  state_.deadlines().arm(*this, effectiveDeadline());
  io_.resumeAttempt(attempt_);
}

void EgressFlow::cancelKept(std::string_view reason) {
  if (!kept_) return;
  noteAttempt(kept_->id, kept_->server, proxy::DecisionKind::kAttemptEnded, reason, 0);
  dropKept();
}

void EgressFlow::dropKept() {
  if (!kept_) return;
  may_have_run_ = true;
  io_.cancelAttempt(kept_->id);
  releaseKept();
}

void EgressFlow::releaseKept() {
  --kept_->server->in_flight;
  kept_.reset();
}

void EgressFlow::onAnswerHead(AttemptId attempt, const AnswerHead& answer) {
  const TimePoint now = environment_.now();
  if (isKept(attempt)) return onKeptAnswer(answer, now);
  if (!isCurrent(attempt, Phase::kAttempting)) return;
  if (!isProper(answer)) {
    note(proxy::DecisionKind::kAttemptEnded, "not_its_answer", 0);
    ++state_.statistics().bad_answers;
    io_.cancelAttempt(attempt_);
    return onOutcomeUnknown(Reason::kMalformedAnswer, now);
  }
  state_.onAnswer(*server_, answer, now);
  if (answer.not_run) {
    note(proxy::DecisionKind::kAttemptEnded, answer.node_reason, 0);
    io_.discardAnswer(attempt_);
    return onNotRun(answer, now);
  }
  noteOutcome(true, now);
  const bool from_ingress = !answer.node_outcome.empty();
  if (from_ingress) {
    note(proxy::DecisionKind::kAttemptEnded, answer.node_reason, 0);
    io_.discardAnswer(attempt_);
    const bool was_late = answer.status == kGatewayTimeout;
    if (answer.node_reason == reasonName(Reason::kConnectionLost)) ++lost_runs_;
    return onOutcomeUnknown(was_late ? Reason::kDeadline : Reason::kConnectionLost, now);
  }
  state_.onLatency(*server_, state_.use(service_), now - attempt_started_, now);
  noteDuration(now);
  if (shouldRepeat(answer, now)) {
    note(proxy::DecisionKind::kAttemptEnded, "server_failed", 0);
    holdOrDiscard(attempt_, answer.status);
    releaseServer();
    return kept_ ? waitForKept("server_failed") : sendOrWait(now);
  }
  cancelKept(kSuperseded);
  note(proxy::DecisionKind::kForwarded, "", answer.status);
  if (answer.status < kLowestServerError) {
    state_.answerSizes().onAnswer(route_->name, answer.body_bytes);
  }
  endCall(answer.status);
  phase_ = Phase::kForwarding;
  state_.deadlines().disarm(*this);
  io_.forwardAnswer(attempt_);
}

/// Holds a server's error, which is the best answer there is if the repeat gets none.
void EgressFlow::holdOrDiscard(AttemptId attempt, int status) {
  if (io_.holdAnswer(attempt)) {
    held_status_ = status;
  } else {
    io_.discardAnswer(attempt);
  }
}

/// Returns whether a repeatable request that the server answered with an error should be repeated.
/// The error may be too long to be held, so the request is repeated only if another server is
/// available now.
bool EgressFlow::shouldRepeat(const AnswerHead& answer, TimePoint now) {
  if (answer.status < kLowestServerError || answer.status == kGatewayTimeout) return false;
  if (!is_repeatable_) return false;
  noteAtRisk();
  noteArrival();
  may_have_run_ = true;
  if (kept_) return true;
  if (!state_.pick(destination(), tried_, now)) return false;
  return mayRepeat(RepeatReason::kServerFailed, now);
}

void EgressFlow::onNotRun(const AnswerHead& answer, TimePoint now) {
  was_refused_ = true;
  if (answer.retry_after) {
    retry_after_ = std::min(retry_after_.value_or(*answer.retry_after), *answer.retry_after);
  }
  if (answer.node_reason == reasonName(Reason::kOtherInstance)) return onOtherInstance(now);
  if (answer.node_reason == reasonName(Reason::kServerRefused)) return onServerRefused(now);
  onIngressRefused(answer, now);
}

/// The ingress itself refused the request; no server saw it.
void EgressFlow::onIngressRefused(const AnswerHead& answer, TimePoint now) {
  ++state_.statistics().hop_refusals;
  tried_.push_back(server_->entry.id);
  const bool is_over_budget = answer.node_reason == reasonName(Reason::kRetryBudget);
  const bool is_rejecting = answer.node_reason == reasonName(Reason::kServerRejecting);
  const bool is_suspect = answer.node_reason == reasonName(Reason::kCrashesServers);
  // Waiting there for a slot would not help.
  const bool is_link_full = large_ && answer.node_reason == reasonName(Reason::kLinkFull);
  if (is_link_full) is_link_full_ = true;
  if (isCapacityRefusal(answer) && !is_link_full) slots_->onFull(server_, server_->load);
  if (is_rejecting) slots_->onRejecting(server_, server_->load);
  const bool is_slow = answer.node_reason == reasonName(Reason::kServerSlow);
  if (is_slow) slots_->onSlow(server_, server_->load);
  if (is_over_budget || is_link_full) slots_->onRefused();
  releaseServer();
  if (now >= deadline_) return conclude(Reason::kDeadline);
  // Other ingresses may not know of the crash suspect yet and would run it.
  if (is_suspect) return conclude(Reason::kCrashesServers);
  const bool is_last = slots_->isExhausted() || slots_->shouldJoinQueue();
  if (is_over_budget && is_last) return conclude(Reason::kRetryBudget);
  if (slots_->isExhausted()) return concludeFull(now);
  slots_->shouldJoinQueue() ? joinQueue(now) : sendOrWait(now);
}

/// Called when none of the ingresses that were asked had a free slot.
void EgressFlow::joinQueue(TimePoint now) {
  if (mayOutlastStop(now)) return conclude(Reason::kStopping);
  if (verdict(now) != CrashVerdict::kMayRun) return conclude(Reason::kCrashesServers);
  ServerPointer server = slots_->joinShortestQueue();
  if (!server) return is_link_full_ ? conclude(Reason::kLinkFull) : concludeFull(now);
  if (!canBeAnsweredBy(*server, now)) return concludeTooLate();
  send(std::move(server), now);
}

void EgressFlow::concludeFull(TimePoint now) {
  noteOutcome(false, now);
  conclude(Reason::kQueueFull);
}

/// Another instance has the server's address. The ingress is asked again: if it knows the instance
/// as a server of the service by now, it sends the request there, which counts as a further server
/// that sees the request; otherwise it refuses, and another server is tried.
void EgressFlow::onOtherInstance(TimePoint now) {
  if (std::exchange(asked_other_instance_, true)) return onServerRefused(now);
  ++state_.statistics().server_refusals;
  has_arrived_ = true;
  holds_repeat_ = false;
  ServerPointer server = server_;
  releaseServer();
  if (!mayRepeat(RepeatReason::kOtherInstance, now)) return conclude(Reason::kServerRefused);
  send(std::move(server), now);
}

void EgressFlow::onServerRefused(TimePoint now) {
  ++state_.statistics().server_refusals;
  noteArrival();
  noteAtRisk();
  const Duration taken = now - attempt_started_;
  releaseServer();
  if (waitsForSiblings(now, taken)) return;
  repeatRefused(now);
}

/// The calls of a run are mostly made side by side, and a server rejects at once or not at all. So
/// a sibling that will be rejected as well is rejected after about the same time. The repeat of one
/// of two rejected calls most often saves nothing, because both repeats must succeed.
bool EgressFlow::waitsForSiblings(TimePoint now, Duration taken) {
  const bool may_repeat = arrivals_ < max_attempts_;
  if (!is_call_ || !may_repeat || kept_) return false;
  if (state_.retries().siblings(head_.request_id, is_at_risk_) != proxy::SiblingState::kOpen) {
    return false;
  }
  phase_ = Phase::kWaiting;
  awaits_siblings_ = true;
  const Duration longest = fractionOf(deadline_ - now, kMaxSiblingWaitShare);
  state_.deadlines().arm(*this, now + std::min(taken, longest));
  return true;
}

void EgressFlow::repeatRefused(TimePoint now) {
  if (!mayRepeat(RepeatReason::kServerRefused, now)) return conclude(Reason::kServerRefused);
  sendOrWait(now);
}

/// The attempt may have run and its answer is lost.
void EgressFlow::onOutcomeUnknown(Reason reason, TimePoint now) {
  may_have_run_ = true;
  noteArrival();
  releaseServer();
  if (reason == Reason::kDeadline) {
    noteDuration(now);
    is_late_ = true;
  }
  if (!is_repeatable_ || reason == Reason::kDeadline) return conclude(reason);
  if (!mayRepeat(RepeatReason::kAnswerLost, now)) return conclude(reason);
  if (ServerPointer server = pickForRepeat(now)) return send(server, now);
  conclude(reason);
}

void EgressFlow::noteAtRisk() {
  if (!is_call_ || std::exchange(is_at_risk_, true)) return;
  state_.retries().onCallAtRisk(head_.request_id);
}

/// Tells the siblings of a call that its final answer is known.
void EgressFlow::endCall(int status) {
  if (!is_call_ || std::exchange(has_ended_, true)) return;
  state_.retries().onCallEnded(head_.request_id, is_at_risk_, status >= kLowestServerError);
}

/// Returns whether the run that makes this call is lost, so that the answer to a repeat would be of
/// no use.
bool EgressFlow::isRunLost() const {
  return is_call_ &&
         state_.retries().siblings(head_.request_id, is_at_risk_) == proxy::SiblingState::kRunLost;
}

/// Returns whether one more server may see the request, and charges the retry budget for it.
bool EgressFlow::mayRepeat(RepeatReason reason, TimePoint now) {
  if (may_have_run_ && !is_repeatable_) return false;
  if (lost_runs_ >= kMaxLostRuns || verdict(now) != CrashVerdict::kMayRun) return false;
  if (arrivals_ >= max_attempts_ || deadline_ - now < kMinRemainingForRepeat) return false;
  if (mayOutlastStop(now)) return false;
  noteAtRisk();
  if (isRunLost()) {
    state_.retries().onRepeatSpared(service_);
    note(proxy::DecisionKind::kRepeatDenied, kSiblingFailed, 0);
    return false;
  }
  const bool may_save_run =
      !is_call_ || state_.retries().coversSiblings(service_, head_.request_id);
  if (!may_save_run || !state_.retries().spendRepeat(service_, reason, repeatUse(reason, now))) {
    ++state_.statistics().repeats_denied;
    note(proxy::DecisionKind::kRepeatDenied, repeatReasonName(reason), 0);
    return false;
  }
  ++state_.statistics().repeats;
  holds_repeat_ = true;
  return true;
}

/// The whole retry budget may be used by repeats of calls, because they save the work on their run.
/// Of the other requests, repeats that can still meet the target latency and do not follow a
/// server's refusal may use it, and all others may use half of it.
proxy::RetryBudgetUse EgressFlow::repeatUse(RepeatReason reason, TimePoint now) {
  if (is_call_) return proxy::RetryBudgetUse::kAll;
  const Duration usual =
      fractionOf(std::chrono::milliseconds(1), state_.use(service_).average_latency_ms);
  const bool is_in_time = now + usual <= started_ + target();
  const bool was_turned_away = reason == RepeatReason::kServerRefused;
  return is_in_time && !was_turned_away ? proxy::RetryBudgetUse::kAll
                                        : proxy::RetryBudgetUse::kHalf;
}

// ---- Completion

void EgressFlow::onDeadline(TimePoint now) {
  if (phase_ == Phase::kAttempting && now < effectiveDeadline() && !was_received_)
    return onSilent(now);
  if (phase_ == Phase::kAttempting) {
    if (waitsForUnreadAnswer(now)) return;
    if (io_.bytesSent(attempt_)) may_have_run_ = true;
    io_.cancelAttempt(attempt_);
    noteDuration(now);
    is_late_ = true;
    return conclude(Reason::kDeadline);
  }
  if (!routing_) return route(now);
  if (std::exchange(awaits_siblings_, false)) return repeatRefused(now);
  if (now >= effectiveDeadline()) return conclude(Reason::kDeadline);
  sendOrWait(now);
}

/// Timers run before received data is read. After a pause of the process, a refusal that arrived in
/// time may be unread when the deadline fires.
bool EgressFlow::waitsForUnreadAnswer(TimePoint now) {
  if (now - effectiveDeadline() < kTimerLateness) return false;
  if (std::exchange(has_read_late_, true)) return false;
  state_.deadlines().arm(*this, now + kReadTime);
  return true;
}

void EgressFlow::onAnswerComplete(AttemptId attempt) {
  if (!isCurrent(attempt, Phase::kForwarding)) return;
  ++state_.statistics().answers_forwarded;
  finish();
}

void EgressFlow::onAnswerCut(AttemptId attempt) {
  if (!isCurrent(attempt, Phase::kForwarding)) return;
  ++state_.statistics().answers_cut;
  note(proxy::DecisionKind::kAnswerCut, "", 0);
  finish();
}

void EgressFlow::onCallerGone() {
  if (phase_ == Phase::kNew || phase_ == Phase::kFinished) return;
  ++state_.statistics().caller_gone;
  note(proxy::DecisionKind::kCallerGone, "", 0);
  const bool has_attempt = phase_ == Phase::kAttempting || phase_ == Phase::kForwarding;
  if (has_attempt) io_.cancelAttempt(attempt_);
  if (phase_ == Phase::kAttempting) noteDuration(environment_.now());
  dropKept();
  finish();
}

void EgressFlow::noteAttempt(AttemptId attempt, const ServerPointer& server,
                             proxy::DecisionKind kind, std::string_view reason, int status) const {
  const TimePoint now = environment_.now();
  proxy::Decision decision;
  decision.kind = kind;
  decision.side = proxy::kEgressSide;
  decision.request = head_.request_id;
  decision.fingerprints = head_.fingerprints;
  decision.service = service_.value();
  decision.attempt = attempt;
  if (server) decision.server = server->entry.id.value();
  decision.reason = reason;
  decision.status = status;
  decision.elapsed = now - started_;
  decision.version = configurationVersion();
  if (routing_) decision.inputs.configuration_age = now - routing_->since;
  if (server) decision.inputs.entry_age = now - server->entry_since;
  state_.note(decision);
}

void EgressFlow::finish() {
  if (phase_ == Phase::kAskingQuota) state_.quotas()->leave(*this);
  phase_ = Phase::kFinished;
  state_.deadlines().disarm(*this);
  releaseServer();
  if (kept_) releaseKept();
  if (running_) state_.use(service_).running_since.erase(*running_);
  running_.reset();
  endCall(0);  // Without an effect after an answer: the caller left.
  --state_.inFlight();
}

/// Answers the caller, unless an answer may still arrive for the kept attempt.
void EgressFlow::conclude(Reason reason) {
  if (kept_ && environment_.now() < effectiveDeadline()) return waitForKept(reasonName(reason));
  cancelKept(reasonName(reason));
  if (holds_repeat_ && !server_) state_.retries().refundRepeat(service_);
  if (held_status_) return concludeWithHeld(reason);
  const proxy::LocalAnswer answer = makeAnswer(reason);
  const bool not_run = answer.outcome == proxy::Outcome::kNotRun;
  if (not_run && holds_quota_) state_.quotas()->giveBack(tenant_->name);
  Statistics& statistics = state_.statistics();
  if (answer.status == kServiceUnavailable) ++statistics.refused;
  if (reason == Reason::kLinkFull && not_run) ++statistics.refused_link;
  if (reason == Reason::kCrashesServers) ++statistics.crash_suspects_refused;
  if (answer.status == kNotFound) ++statistics.no_route;
  if (answer.status == kUnauthorized) ++statistics.unauthenticated;
  if (answer.status == kTooManyRequests) ++statistics.over_quota;
  if (answer.outcome == proxy::Outcome::kUnknown) ++statistics.unknown;
  note(proxy::DecisionKind::kAnsweredItself, answer.reason, answer.status);
  endCall(answer.status);
  finish();
  io_.answerLocally(answer);
}

/// Sends the error of an earlier server, because the repeat ended without an answer for `reason`.
void EgressFlow::concludeWithHeld(Reason reason) {
  ++state_.statistics().answers_forwarded;
  note(proxy::DecisionKind::kForwarded, reasonName(reason), *held_status_);
  endCall(*held_status_);
  finish();
  io_.answerWithHeld();
}

Duration EgressFlow::retryAfter(Reason reason) const {
  if (reason == Reason::kCrashesServers) {
    return state_.suspectRetryAfter(head_.fingerprints.whole, environment_.now());
  }
  return retry_after_.value_or(state_.settings().default_retry_after);
}

proxy::LocalAnswer EgressFlow::makeAnswer(Reason reason) const {
  proxy::LocalAnswer answer;
  answer.reason = std::string(reasonName(reason));
  if (reason == Reason::kNoRoute) {
    answer.status = kNotFound;
  } else if (reason == Reason::kUnknownApiKey) {
    answer.status = kUnauthorized;
  } else if (reason == Reason::kQuotaExceeded) {
    answer.status = kTooManyRequests;
    answer.retry_after = std::max(state_.quotas()->retryAfter(tenant_->name),
                                  state_.settings().shortest_retry_after);
  } else if (may_have_run_) {
    answer.status = is_late_ ? kGatewayTimeout : kBadGateway;
    answer.outcome = proxy::Outcome::kUnknown;
  } else {
    answer.status = kServiceUnavailable;
    answer.retry_after = std::max(retryAfter(reason), state_.settings().shortest_retry_after);
  }
  return answer;
}

}  // namespace

std::unique_ptr<proxy::Exchange> makeEgressFlow(proxy::RequestHead head, EgressState& state,
                                                Environment& environment, proxy::RequestIo& io) {
  return std::make_unique<EgressFlow>(std::move(head), state, environment, io);
}

bool mayRunTwice(const proxy::RequestHead& head, const EgressState& state) {
  const std::shared_ptr<const RoutingTable> routing = state.routing();
  if (!routing) return false;
  const std::optional<std::size_t> index = routing->table.find(head);
  if (!index) return false;
  return proxy::mayRunTwice(routing->snapshot->routes[*index].repeatability, head.method);
}

}  // namespace coursepond::egress
