#include "ingress/ingress_flow.h"

#include <algorithm>
#include <utility>

#include "core/time_arithmetic.h"
#include "proxy/answer_check.h"
#include "proxy/reason.h"

namespace coursepond::ingress {
namespace {

using proxy::AnswerHead;
using proxy::AttemptFailure;
using proxy::AttemptId;
using proxy::Reason;

constexpr int kMisdirected = 421;
constexpr int kLowestServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr Duration kMinRemaining = std::chrono::milliseconds(1);
/// Fraction of the average work that a request must have time for to be started. Much of the work
/// is shorter than the average, so that a server which is slow for a while, as a cold one is, can
/// still answer many of the others.
constexpr double kLeastWorkShare = 0.5;
const ServiceName kOwnServer("own");
/// Reasons of DecisionKind::kCallerGone: what the disconnected caller left behind.
constexpr std::string_view kWaitCancelled = "wait_cancelled";
constexpr std::string_view kSendCancelled = "send_cancelled";
constexpr std::string_view kRunCancelled = "run_cancelled";
constexpr std::string_view kAnswerAbandoned = "answer_abandoned";

class IngressFlow final : public proxy::Exchange, private Waiter, private proxy::DeadlineEntry {
 public:
  IngressFlow(proxy::RequestHead head, IngressState& state, Environment& environment,
              proxy::RequestIo& io)
      : head_(std::move(head)), state_(state), environment_(environment), io_(io) {}

  ~IngressFlow() override {
    if (phase_ != Phase::kNew && phase_ != Phase::kFinished) finish(environment_.now());
    if (sends_large_) state_.largeAnswers().onSent();
  }

  void start() override;
  void onAttemptFailed(AttemptId attempt, AttemptFailure failure) override;
  bool mayCompleteRequest(AttemptId attempt) override;
  void onRequestWithheld(AttemptId attempt) override;
  void onAnswerHead(AttemptId attempt, const AnswerHead& answer) override;
  void onAnswerComplete(AttemptId attempt) override;
  void onAnswerCut(AttemptId attempt) override;
  void onCallerGone() override;
  Version configurationVersion() const override { return Version(); }
  TimePoint dueAt() const override { return due; }
  TimePoint latestEnd() const override { return deadline_; }
  std::optional<proxy::HopLoad> hopLoad() const override {
    return state_.loadFor(head_.target_instance);
  }

 private:
  enum class Phase { kNew, kWaiting, kAttempting, kForwarding, kFinished };

  // Waiter
  void onSlot(TimePoint now) override;
  void onDisplaced(Reason reason, TimePoint now) override { conclude(reason, now); }
  // DeadlineEntry
  void onDeadline(TimePoint now) override;

  void identify();
  bool isTrial() const;
  /// Returns the instance that an egress asked for as a server of this machine's service.
  std::string requestedInstance() const {
    const bool is_own_service =
        head_.hop_class && head_.hop_class->service == state_.settings().own_service.value();
    return is_own_service ? head_.target_instance : std::string();
  }
  bool passesCrashSuspectCheck(TimePoint now);
  /// Returns when the request must be answered.
  TimePoint deadline() const { return std::min(deadline_, state_.stopDeadline()); }
  bool hasTimeToRun(TimePoint now) const;
  TimePoint latestSlot() const;
  WaitBounds waitBounds(TimePoint now) const;
  void attempt(TimePoint now);
  bool expectsLarge() const { return !is_call && state_.expectsLargeAnswer(target); }
  bool isLinkFull(const WaitBounds& bounds, TimePoint now);
  void reserveLink();
  void releaseLink();
  void noteSize(std::uint64_t bytes);
  bool isCurrent(AttemptId attempt, Phase phase) const {
    return phase_ == phase && attempt == attempt_;
  }
  bool isProper(const AnswerHead& answer) const {
    return proxy::isProperAnswer(answer, head_.request_id, state_.settings().expects_signature);
  }
  void noteRunAnswered(int status, TimePoint now);
  void onServerRefused(const AnswerHead& answer, TimePoint now);
  void onOtherInstance(const AnswerHead& answer, TimePoint now);
  void noteReports(const AnswerHead& answer, proxy::AnswerSource source,
                   const std::string& instance, TimePoint now);
  std::string_view abandonedStage() const;

  void note(proxy::DecisionKind kind, std::string_view reason, int status) const;
  void finish(TimePoint now);
  void conclude(Reason reason, TimePoint now);
  void count(Reason reason);
  proxy::LocalAnswer makeAnswer(Reason reason) const;

  proxy::RequestHead head_;
  IngressState& state_;
  Environment& environment_;
  proxy::RequestIo& io_;
  Phase phase_ = Phase::kNew;
  AttemptId attempt_ = 0;
  std::string instance_;  ///< Server instance that the current attempt is for.
  proxy::ServerRun run_;
  bool has_slot_ = false;
  double reserved_bytes_ = 0;  ///< Expected size of the answer, passed to LargeAnswers.
  Duration delivery_delay_{};  ///< See DeliveryDelay.
  Duration link_lateness_{};   ///< See IngressState::linkLateness().
  bool runs_large_ = false;    ///< Counted as running with an expected large answer.
  bool sends_large_ = false;   ///< Counted as sending a large answer.
  bool may_have_run_ = false;
  RequestFingerprints fingerprints_;
  bool holds_trial_ = false;  ///< The only trial of its fingerprint at this ingress.
  bool was_answered_ = false;
  TimePoint started_;
  TimePoint deadline_;
  TimePoint attempt_started_;
};

void IngressFlow::start() {
  const TimePoint now = environment_.now();
  ++state_.statistics().requests;
  started_ = now;
  delivery_delay_ = state_.onDelivered(head_.hop_class, now);
  if (head_.hop_class) fingerprints_ = head_.hop_class->fingerprints;
  phase_ = Phase::kWaiting;
  state_.onInstanceRequested(requestedInstance());
  if (const auto refusal = state_.refusal(head_.hop_class)) return conclude(*refusal, now);
  if (!passesCrashSuspectCheck(now)) return conclude(Reason::kCrashesServers, now);
  const Settings& settings = state_.settings();
  const Duration allowed =
      std::min(head_.deadline.value_or(settings.longest_deadline), settings.longest_deadline);
  if (allowed <= Duration(0)) return conclude(Reason::kDeadline, now);
  deadline_ = now + allowed - std::max(delivery_delay_ - settings.covered_delay, Duration(0));
  if (!hasTimeToRun(now)) return conclude(Reason::kDeadline, now);
  if (state_.mayOutlastStop(deadline_)) return conclude(Reason::kStopping, now);
  const proxy::HopClass hop = head_.hop_class.value_or(proxy::HopClass{});
  target = hop.target_latency > Duration(0) ? hop.target_latency : settings.default_target;
  rank = hop.rank;
  is_call = hop.is_call;
  due = now + target;
  run_.request = head_.request_id;
  run_.repeat_share = hop.repeat_share;
  run_.is_call = hop.is_call;
  run_.target = target;
  tenant = TenantName(head_.tenant);
  run_.tenant = tenant;
  if (!state_.retries().admit(run_)) return conclude(Reason::kRetryBudget, now);
  const WaitBounds bounds = waitBounds(now);
  if (isLinkFull(bounds, now)) return conclude(Reason::kLinkFull, now);
  if (hop.server_limit) state_.onLimitTold(*hop.server_limit, head_.target_instance, now);
  state_.onArrival(*this, now);
  if (!hop.may_wait && !state_.hasSlotFor(*this, now)) {
    return conclude(state_.noSlotReason(now), now);
  }
  const bool has_choice = !hop.may_wait || hop.is_call;
  if (has_choice && state_.turnsAway(now)) return conclude(Reason::kServerRejecting, now);
  if (has_choice && state_.isTooSlowFor(target, bounds.answer, now)) {
    return conclude(Reason::kServerSlow, now);
  }
  reserveLink();
  if (const auto refusal = state_.admit(*this, bounds, now)) return conclude(*refusal, now);
  if (phase_ == Phase::kWaiting) state_.deadlines().arm(*this, std::min(bounds.slot, deadline()));
}

/// Returns whether the answer is expected to be large and the link cannot send it in time.
bool IngressFlow::isLinkFull(const WaitBounds& bounds, TimePoint now) {
  if (!expectsLarge()) return false;
  // A server may be running it already: a late answer is better than none.
  if (run_.repeat_share >= 1) return false;
  if (!state_.knowsLinkRate()) {
    return state_.largeAnswers().isLinkBacklogged(state_.settings().large_answers);
  }
  link_lateness_ = state_.linkLateness(*this, bounds.answer, now);
  return link_lateness_ > Duration(0);
}

void IngressFlow::reserveLink() {
  if (!state_.knowsLinkRate() || !expectsLarge()) return;
  reserved_bytes_ = state_.largeAnswers().expectedBytes(target);
  state_.largeAnswers().onAccepted(reserved_bytes_);
}

void IngressFlow::releaseLink() {
  state_.largeAnswers().onReady(std::exchange(reserved_bytes_, 0));
}

/// Completes the fingerprints if the whole body has arrived, which the egress may not have awaited.
void IngressFlow::identify() {
  if (fingerprints_.head.empty() || !fingerprints_.whole.empty()) return;
  if (const auto body = io_.bodyDigest()) fingerprints_.addBody(*body);
}

bool IngressFlow::isTrial() const {
  const RequestFingerprint whole = fingerprints_.whole;
  return head_.hop_class && !whole.empty() && head_.hop_class->trial_of == whole;
}

bool IngressFlow::passesCrashSuspectCheck(TimePoint now) {
  if (!state_.mayRun(fingerprints_.whole, isTrial(), now)) return false;
  if (!isTrial()) return true;
  holds_trial_ = holds_trial_ || state_.beginTrial(fingerprints_.whole);
  return holds_trial_;
}

/// Most servers begin with a request when they have all of it. Without the last part, a suspect
/// does them no harm.
bool IngressFlow::mayCompleteRequest(AttemptId attempt) {
  if (attempt != attempt_ || !state_.hasServerEnds(fingerprints_)) return true;
  identify();
  return passesCrashSuspectCheck(environment_.now());
}

/// Some servers begin with a part of a request, so the request counts as not run only if nothing of
/// it was sent.
void IngressFlow::onRequestWithheld(AttemptId attempt) {
  if (!isCurrent(attempt, Phase::kAttempting)) return;
  ++state_.statistics().withheld;
  may_have_run_ = io_.bytesSent(attempt);
  io_.cancelAttempt(attempt);
  conclude(Reason::kCrashesServers, environment_.now());
}

/// Returns false if the server would get no time for the request.
bool IngressFlow::hasTimeToRun(TimePoint now) const {
  return deadline_ - now > state_.settings().deadline_reserve;
}

/// Returns the latest time to get a slot. A request that gets one later is usually cut by its
/// deadline, and its outcome is then unknown; refused by then, it is known not to have run.
TimePoint IngressFlow::latestSlot() const {
  const Duration least_work = fractionOf(state_.expectedService(target), kLeastWorkShare);
  return deadline_ - std::max(least_work, state_.settings().deadline_reserve);
}

WaitBounds IngressFlow::waitBounds(TimePoint now) const {
  const Settings& settings = state_.settings();
  if (is_call) {
    const TimePoint slot = now + fractionOf(deadline_ - now, settings.call_wait_share);
    return {std::min(slot, latestSlot()), deadline_};
  }
  return {std::min(now + fractionOf(target, settings.wait_share), latestSlot()),
          std::min(deadline_, now + fractionOf(target, settings.target_stretch))};
}

void IngressFlow::onSlot(TimePoint now) {
  has_slot_ = true;
  // The request may have become a crash suspect while it waited.
  if (!passesCrashSuspectCheck(now)) return conclude(Reason::kCrashesServers, now);
  runs_large_ = expectsLarge();
  if (runs_large_) state_.largeAnswers().onRunning();
  state_.retries().onStarted(run_);
  if (!hasTimeToRun(now)) return conclude(Reason::kDeadline, now);
  if (state_.isTooLateInStop(target, deadline_, now)) return conclude(Reason::kStopping, now);
  state_.deadlines().arm(*this, deadline());
  attempt(now);
}

void IngressFlow::attempt(TimePoint now) {
  phase_ = Phase::kAttempting;
  if (attempt_ == 0 && run_.repeat_share >= 1) ++state_.statistics().repeated_runs;
  ++attempt_;
  attempt_started_ = now;
  proxy::AttemptPlan plan;
  plan.id = attempt_;
  plan.service = kOwnServer;
  plan.target_instance = state_.instanceOr(head_.target_instance);
  plan.endpoint = state_.endpoint(plan.target_instance);
  instance_ = plan.target_instance;
  plan.remaining = std::max(deadline_ - now - state_.settings().deadline_reserve, kMinRemaining);
  plan.replayable = true;
  io_.startAttempt(plan);
}

void IngressFlow::onAttemptFailed(AttemptId attempt, AttemptFailure failure) {
  if (isCurrent(attempt, Phase::kForwarding)) return onAnswerCut(attempt);
  if (!isCurrent(attempt, Phase::kAttempting)) return;
  const TimePoint now = environment_.now();
  note(proxy::DecisionKind::kAttemptEnded, failureName(failure), 0);
  const bool may_try_again = attempt_ < state_.settings().max_local_attempts && now < deadline_;
  switch (failure) {
    case AttemptFailure::kClosedUnsent:
      if (may_try_again) return this->attempt(now);
      return conclude(Reason::kConnectFailed, now);
    case AttemptFailure::kConnectFailed:
      ++state_.statistics().server_unreachable;
      state_.onServerLost(attempt_started_, now);
      state_.pause(state_.settings().unreachable_pause, now);
      return conclude(Reason::kConnectFailed, now);
    case AttemptFailure::kNoConnectionFree:
    case AttemptFailure::kCannotReplay:
      return conclude(Reason::kConnectFailed, now);
    case AttemptFailure::kLostAfterSend:
      ++state_.statistics().server_lost;
      state_.onServerLost(attempt_started_, now);
      identify();
      state_.serverEnds().onLost(fingerprints_, attempt_started_, now);
      may_have_run_ = true;
      return conclude(Reason::kConnectionLost, now);
    case AttemptFailure::kMalformedAnswer:
      ++state_.statistics().bad_answers;
      may_have_run_ = true;
      return conclude(Reason::kMalformedAnswer, now);
  }
}

void IngressFlow::onAnswerHead(AttemptId attempt, const AnswerHead& answer) {
  if (!isCurrent(attempt, Phase::kAttempting)) return;
  const TimePoint now = environment_.now();
  const bool was_refused = answer.not_run || answer.status == kMisdirected;
  if (was_refused && answer.request_id.empty()) return onServerRefused(answer, now);
  if (!isProper(answer)) {
    ++state_.statistics().bad_answers;
    may_have_run_ = true;
    io_.cancelAttempt(attempt_);
    return conclude(Reason::kMalformedAnswer, now);
  }
  if (was_refused) return onServerRefused(answer, now);
  state_.onInstanceAnswered(instance_);
  noteReports(answer, proxy::AnswerSource::kRun, instance_, now);
  run_.has_failed = answer.status >= kLowestServerError;
  note(proxy::DecisionKind::kForwarded, "", answer.status);
  state_.onAnswered(target, now - attempt_started_);
  releaseLink();
  noteSize(answer.body_bytes);
  // An error answer does not count as a rejection: most often one of the request's calls failed, at
  // a service that fails for everyone. Counting such errors would cause many more refusals by the
  // callers of a service whose servers come and go.
  state_.onServerAnswer(false, now);
  // A server that gives up at the deadline does not clear the request, which might still have
  // crashed it.
  if (answer.status != kGatewayTimeout) {
    was_answered_ = true;
    noteRunAnswered(answer.status, now);
  }
  phase_ = Phase::kForwarding;
  state_.deadlines().disarm(*this);
  io_.forwardAnswer(attempt_);
}

/// An answer that comes before the server has the whole body shows nothing about the request.
void IngressFlow::noteRunAnswered(int status, TimePoint now) {
  if (!state_.hasServerEnds(fingerprints_)) return;
  identify();
  const RequestFingerprint whole = fingerprints_.whole;
  if (whole.empty() || !state_.onRunAnswered(whole, now)) return;
  note(proxy::DecisionKind::kServerEndsCleared, "", status);
}

/// The flow object lives until its answer is sent; its destructor then calls onSent().
void IngressFlow::noteSize(std::uint64_t bytes) {
  const LargeAnswerSettings& settings = state_.settings().large_answers;
  if (!is_call) state_.largeAnswers().onAnswer(settings, target, bytes);
  sends_large_ = bytes >= settings.large_bytes;
  if (sends_large_) state_.largeAnswers().onSending();
}

/// Processes what `instance` says of itself in an answer.
void IngressFlow::noteReports(const AnswerHead& answer, proxy::AnswerSource source,
                              const std::string& instance, TimePoint now) {
  state_.onLimitReport(answer.limit, source, instance, attempt_started_, now);
  if (answer.slowness) state_.onSlowness(*answer.slowness, now);
  if (answer.has_unusable_slowness) ++state_.statistics().unusable_slowness;
  if (answer.draining) state_.onSaidLeaving(instance, now);
}

void IngressFlow::onServerRefused(const AnswerHead& answer, TimePoint now) {
  ++state_.statistics().server_refusals;
  io_.discardAnswer(attempt_);
  if (answer.status != kMisdirected) state_.onServerAnswer(true, now);
  const bool is_other_instance =
      answer.status == kMisdirected && !answer.instance.empty() && answer.instance != instance_;
  if (is_other_instance) return onOtherInstance(answer, now);
  if (answer.status != kMisdirected) {
    noteReports(answer, proxy::AnswerSource::kRefusal, instance_, now);
  }
  if (answer.status != kMisdirected) state_.pause(state_.settings().refused_pause, now);
  conclude(Reason::kServerRefused, now);
}

/// The server was restarted, or its address went to a server of another service.
void IngressFlow::onOtherInstance(const AnswerHead& answer, TimePoint now) {
  const bool is_own = state_.onInstanceReported(answer.instance, requestedInstance(), now);
  if (is_own) noteReports(answer, proxy::AnswerSource::kRefusal, answer.instance, now);
  conclude(Reason::kOtherInstance, now);
}

void IngressFlow::onDeadline(TimePoint now) {
  if (phase_ == Phase::kAttempting) {
    if (io_.bytesSent(attempt_)) may_have_run_ = true;
    io_.cancelAttempt(attempt_);
  }
  if (now < deadline_ && now >= state_.stopDeadline()) return conclude(Reason::kStopping, now);
  const bool has_time = phase_ == Phase::kWaiting && now < latestSlot();
  conclude(has_time ? Reason::kQueueTimeout : Reason::kDeadline, now);
}

void IngressFlow::onAnswerComplete(AttemptId attempt) {
  if (!isCurrent(attempt, Phase::kForwarding)) return;
  ++state_.statistics().answers_forwarded;
  finish(environment_.now());
}

void IngressFlow::onAnswerCut(AttemptId attempt) {
  if (!isCurrent(attempt, Phase::kForwarding)) return;
  const TimePoint now = environment_.now();
  ++state_.statistics().answers_cut;
  note(proxy::DecisionKind::kAnswerCut, "", 0);
  identify();
  state_.serverEnds().onLost(fingerprints_, attempt_started_, now);
  finish(now);
}

std::string_view IngressFlow::abandonedStage() const {
  if (phase_ == Phase::kWaiting) return kWaitCancelled;
  if (phase_ == Phase::kForwarding) return kAnswerAbandoned;
  return io_.bytesSent(attempt_) ? kRunCancelled : kSendCancelled;
}

void IngressFlow::onCallerGone() {
  if (phase_ == Phase::kNew || phase_ == Phase::kFinished) return;
  ++state_.statistics().caller_gone;
  const std::string_view stage = abandonedStage();
  note(proxy::DecisionKind::kCallerGone, stage, 0);
  if (stage == kRunCancelled) ++state_.statistics().runs_cancelled;
  if (phase_ != Phase::kWaiting) {
    if (io_.bytesSent(attempt_)) may_have_run_ = true;
    io_.cancelAttempt(attempt_);
  }
  finish(environment_.now());
}

void IngressFlow::note(proxy::DecisionKind kind, std::string_view reason, int status) const {
  proxy::Decision decision;
  decision.kind = kind;
  decision.side = proxy::kIngressSide;
  decision.request = head_.request_id;
  decision.fingerprints = fingerprints_;
  if (head_.hop_class) decision.service = head_.hop_class->service;
  decision.attempt = attempt_;
  decision.server = instance_;
  decision.reason = reason;
  decision.status = status;
  decision.elapsed = environment_.now() - started_;
  decision.inputs.running = static_cast<std::uint32_t>(state_.running());
  decision.inputs.waiting = static_cast<std::uint32_t>(state_.waiting());
  const bool was_sent = attempt_ > 0;
  decision.inputs.delivery_delay = delivery_delay_;
  decision.inputs.queued = was_sent ? attempt_started_ - started_ : decision.elapsed;
  state_.note(decision);
}

void IngressFlow::finish(TimePoint now) {
  phase_ = Phase::kFinished;
  state_.deadlines().disarm(*this);
  state_.leave(*this);
  state_.retries().remove(run_);
  if (std::exchange(holds_trial_, false)) {
    state_.endTrial(fingerprints_.whole, may_have_run_ && !was_answered_);
  }
  releaseLink();
  if (std::exchange(runs_large_, false)) state_.largeAnswers().onNotRunning();
  if (!has_slot_) return;
  has_slot_ = false;
  state_.release(now);
}

void IngressFlow::conclude(Reason reason, TimePoint now) {
  count(reason);
  const proxy::LocalAnswer answer = makeAnswer(reason);
  note(proxy::DecisionKind::kAnsweredItself, answer.reason, answer.status);
  finish(now);
  io_.answerLocally(answer);
}

void IngressFlow::count(Reason reason) {
  Statistics& statistics = state_.statistics();
  switch (reason) {
    case Reason::kQueueFull:
    case Reason::kNoFreeSlot:
    case Reason::kQueueTimeout:
    case Reason::kDeadlineTooShort:
      ++statistics.refused_full;
      return;
    case Reason::kServerLimit:
      ++statistics.refused_limit;
      return;
    case Reason::kLinkFull:
      ++statistics.refused_link;
      return;
    case Reason::kCrashesServers:
      ++statistics.refused_suspects;
      return;
    case Reason::kServerRejecting:
      ++statistics.refused_rejecting;
      return;
    case Reason::kServerSlow:
      ++statistics.refused_slow;
      return;
    case Reason::kStopping:
    case Reason::kServerDraining:
    case Reason::kZoneDrained:
    case Reason::kWrongService:
      ++statistics.refused_draining;
      return;
    case Reason::kUnknownInstance:
      ++statistics.refused_instance;
      return;
    case Reason::kDeadline:
      ++statistics.expired;
      return;
    default:
      return;
  }
}

proxy::LocalAnswer IngressFlow::makeAnswer(Reason reason) const {
  proxy::LocalAnswer answer;
  answer.reason = std::string(reasonName(reason));
  if (may_have_run_) {
    answer.status = reason == Reason::kDeadline ? kGatewayTimeout : kBadGateway;
    answer.outcome = proxy::Outcome::kUnknown;
  } else {
    answer.status = kServiceUnavailable;
    answer.retry_after = std::max(state_.retryAfter(), link_lateness_);
  }
  return answer;
}

}  // namespace

std::unique_ptr<proxy::Exchange> makeIngressFlow(proxy::RequestHead head, IngressState& state,
                                                 Environment& environment, proxy::RequestIo& io) {
  return std::make_unique<IngressFlow>(std::move(head), state, environment, io);
}

}  // namespace coursepond::ingress
