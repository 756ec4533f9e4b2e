#include "proxy/request_flow.h"

#include <algorithm>

#include "core/ascii.h"
#include "core/http_headers.h"
#include "proxy/proxy_parts.h"
#include "proxy/repeatability.h"

namespace coursepond::proxy {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// Minimum deadline that is sent to the next hop, for which zero would mean "expired".
constexpr Duration kMinRemaining = std::chrono::milliseconds(1);
/// A timeout counts as a failure of the server if it had at least the route's timeout divided by
/// this.
constexpr Duration::rep kBlameDivisor = 2;

bool isDotSegment(std::string_view segment) {
  std::size_t dots = 0;
  while (!segment.empty()) {
    if (segment.front() == '.') {
      segment.remove_prefix(1);
    } else if (startsWithIgnoringCase(segment, "%2e")) {
      segment.remove_prefix(3);
    } else {
      return false;
    }
    ++dots;
  }
  return dots == 1 || dots == 2;
}

/// Returns whether the path has "." or ".." segments. A server may resolve these and see another
/// path than the one that was used for routing.
bool isAmbiguousPath(std::string_view path) {
  std::size_t slash = path.find('/');
  while (slash != std::string_view::npos) {
    const std::size_t next = path.find('/', slash + 1);
    const std::size_t length = next == std::string_view::npos ? next : next - slash - 1;
    if (isDotSegment(path.substr(slash + 1, length))) return true;
    slash = next;
  }
  return false;
}

/// Returns whether the caller sent this request as part of its own second or later attempt.
bool isPartOfRetry(const RequestHead& head) {
  return std::any_of(head.headers.begin(), head.headers.end(), [](const HeaderField& field) {
    return equalsIgnoringCase(field.name, http_headers::kAttempt) && field.value != "1";
  });
}

model::Priority effectivePriority(const RequestHead& head, const model::Route& route) {
  const bool is_batch =
      route.priority == model::Priority::kBatch || head.priority == model::Priority::kBatch;
  return is_batch ? model::Priority::kBatch : model::Priority::kInteractive;
}

}  // namespace

class RequestFlow::Implementation final : private Waiter, private DeadlineEntry {
 public:
  Implementation(RequestHead head, ProxyState& state, Environment& environment, RequestIo& io)
      : Waiter(model::Priority::kInteractive),
        head_(std::move(head)),
        parts_(state.parts()),
        environment_(environment),
        io_(io) {}

  ~Implementation() override {
    if (phase_ != Phase::kNew && phase_ != Phase::kFinished) finish(environment_.now());
  }

  void start();
  void onAttemptFailed(AttemptId attempt, AttemptFailure failure);
  void onAnswerHead(AttemptId attempt, const AnswerHead& head);
  void onAnswerComplete(AttemptId attempt);
  void onAnswerCut(AttemptId attempt);
  void onCallerGone();

  Version configurationVersion() const {
    return routing_ ? routing_->snapshot->version : Version();
  }
  TimePoint latestEnd() const { return latest_end_; }

 private:
  enum class Phase { kNew, kWaiting, kAttempting, kForwarding, kFinished };

  // Waiter
  void onServerAssigned(const ServerPointer& server, TimePoint now) override;
  void onWaitEnded(Reason reason, TimePoint now) override { conclude(reason, now); }
  // DeadlineEntry
  void onDeadline(TimePoint now) override;

  std::optional<Reason> findService(TimePoint now);
  void admit(TimePoint now);
  TimePoint latestStart(TimePoint now) const;
  TimePoint effectiveDeadline() const { return parts_.stop_deadline.cap(deadline_); }
  Reason lateReason(TimePoint now) const;
  bool isTooLateInStop(TimePoint now) const;

  void sendAttempt(TimePoint now);
  AttemptPlan makePlan(TimePoint now) const;
  bool isCurrent(AttemptId attempt, Phase phase) const {
    return phase_ == phase && attempt == attempt_;
  }

  void onRefusedByServer(const AnswerHead& head, TimePoint now);
  void startForwarding(TimePoint now);
  bool mayRetry(bool is_free, TimePoint now);
  void retry(TimePoint now);
  void abandonAttempt(TimePoint now);

  ServerPointer finish(TimePoint now);
  ServerPointer releaseServer(TimePoint now);
  void finishAndDispatch(TimePoint now);
  void conclude(Reason reason, TimePoint now);
  LocalAnswer makeAnswer(Reason reason) const;
  std::optional<Duration> retryAfter(Reason reason) const;
  void count(Reason reason);

  RequestHead head_;
  ProxyState::Parts& parts_;
  Environment& environment_;
  RequestIo& io_;
  std::shared_ptr<const RoutingSnapshot> routing_;
  const model::Route* route_ = nullptr;
  ServiceState* service_ = nullptr;  ///< Kept alive by routing_.
  ServerPointer server_;             ///< The server on which this request has a slot, or null.
  Phase phase_ = Phase::kNew;
  AttemptId attempt_ = 0;
  std::uint32_t charged_attempts_ = 0;
  std::uint32_t free_attempts_ = 0;
  bool is_repeatable_ = false;
  bool may_have_run_ = false;
  bool is_part_of_retry_ = false;
  std::optional<Duration> server_retry_after_;
  TimePoint deadline_;
  TimePoint latest_end_;
  TimePoint attempt_started_;
};

// ---- Start

void RequestFlow::Implementation::start() {
  const TimePoint now = environment_.now();
  ++parts_.statistics.requests;
  ++parts_.in_flight;
  phase_ = Phase::kWaiting;
  if (const std::optional<Reason> refusal = findService(now)) return conclude(*refusal, now);
  admit(now);
}

std::optional<Reason> RequestFlow::Implementation::findService(TimePoint now) {
  routing_ = parts_.routing;
  if (parts_.stopping) return Reason::kStopping;
  if (!routing_) return Reason::kNoConfiguration;
  if (isAmbiguousPath(head_.path)) return Reason::kAmbiguousPath;
  const std::optional<std::size_t> index = routing_->table.find(head_);
  if (!index) return Reason::kNoRoute;

  route_ = &routing_->snapshot->routes[*index];
  service_ = routing_->services[*index].get();
  setPriority(effectivePriority(head_, *route_));
  is_repeatable_ = mayRunTwice(route_->repeatability, head_.method);
  is_part_of_retry_ = isPartOfRetry(head_);
  const Duration allowed = head_.deadline.value_or(route_->timeout);
  if (allowed <= Duration(0)) return Reason::kDeadline;
  const Duration longest = parts_.settings.longest_deadline;
  deadline_ = now + std::min(allowed, longest);
  // The route's timeout is for the beginning of the answer.
  latest_end_ = now + std::min(head_.deadline.value_or(longest), longest);
  if (isTooLateInStop(now)) return Reason::kStopping;
  return std::nullopt;
}

void RequestFlow::Implementation::admit(TimePoint now) {
  const TimePoint latest = latestStart(now);
  if (const std::optional<Reason> refusal = service_->admit(*this, latest, now)) {
    return conclude(*refusal, now);
  }
  if (phase_ != Phase::kWaiting) return;
  ++parts_.statistics.queued;
  parts_.deadlines.arm(*this, latest);
}

TimePoint RequestFlow::Implementation::latestStart(TimePoint now) const {
  return std::min(effectiveDeadline(), now + parts_.settings.admission.longest_wait);
}

/// Returns why a request that has reached its deadline, or its longest wait, ends.
Reason RequestFlow::Implementation::lateReason(TimePoint now) const {
  if (now >= deadline_) return Reason::kDeadline;
  if (!parts_.stop_deadline.isOver(now)) return Reason::kQueueTimeout;
  return may_have_run_ ? Reason::kDeadline : Reason::kStopping;
}

/// Returns whether a server that got the request now would most likely still be running it at the
/// end of a planned stop. Not run is a better answer than an unknown outcome then.
bool RequestFlow::Implementation::isTooLateInStop(TimePoint now) const {
  if (may_have_run_) return false;
  return parts_.stop_deadline.isTooLate(deadline_, service_->usualLatency(), now);
}

// ---- Attempts

void RequestFlow::Implementation::onServerAssigned(const ServerPointer& server, TimePoint now) {
  server_ = server;
  // The timer is late because this process was paused. Nobody waits for the answer any more.
  if (now >= effectiveDeadline()) return conclude(lateReason(now), now);
  if (isTooLateInStop(now)) return conclude(Reason::kStopping, now);
  parts_.deadlines.arm(*this, effectiveDeadline());
  sendAttempt(now);
}

void RequestFlow::Implementation::sendAttempt(TimePoint now) {
  phase_ = Phase::kAttempting;
  ++attempt_;
  attempt_started_ = now;
  ++parts_.statistics.attempts;
  if (attempt_ == 1) {
    service_->retryBudget().onFirstAttempt();
  } else {
    ++parts_.statistics.retries;
  }
  io_.startAttempt(makePlan(now));
}

AttemptPlan RequestFlow::Implementation::makePlan(TimePoint now) const {
  AttemptPlan plan;
  plan.id = attempt_;
  plan.service = route_->service;
  plan.endpoint = server_->endpoint;
  plan.remaining =
      std::max(effectiveDeadline() - now - parts_.settings.deadline_reserve, kMinRemaining);
  plan.replayable = !is_part_of_retry_ && charged_attempts_ + 1 < service_->service().max_attempts;
  plan.headers_to_set.reserve(2 + route_->secrets.size());
  plan.headers_to_set.push_back({http_headers::kAttempt, std::to_string(attempt_)});
  if (priority() == model::Priority::kBatch) {
    plan.headers_to_set.push_back({http_headers::kPriority, "batch"});
  }
  for (const model::SecretUse& use : route_->secrets) {
    const auto secret = routing_->snapshot->secrets.find(use.secret);
    if (secret == routing_->snapshot->secrets.end()) continue;
    plan.headers_to_set.push_back({use.header, secret->second.reveal()});
  }
  return plan;
}

void RequestFlow::Implementation::onAttemptFailed(AttemptId attempt, AttemptFailure failure) {
  if (isCurrent(attempt, Phase::kForwarding)) return onAnswerCut(attempt);
  if (!isCurrent(attempt, Phase::kAttempting)) return;
  const TimePoint now = environment_.now();
  service_->onFailed(*server_, failure, now);
  if (effectOf(failure) == AttemptEffect::kMayHaveRun) may_have_run_ = true;
  if (!isLocalFailure(failure)) addTried(*server_);
  if (canBeRetried(failure) && mayRetry(isLocalFailure(failure), now)) return retry(now);

  switch (failure) {
    case AttemptFailure::kLostAfterSend:
      return conclude(Reason::kConnectionLost, now);
    case AttemptFailure::kMalformedAnswer:
      return conclude(Reason::kMalformedAnswer, now);
    case AttemptFailure::kConnectFailed:
    case AttemptFailure::kNoConnectionFree:
    case AttemptFailure::kClosedUnsent:
    case AttemptFailure::kCannotReplay:
      return conclude(Reason::kConnectFailed, now);
  }
}

void RequestFlow::Implementation::onAnswerHead(AttemptId attempt, const AnswerHead& head) {
  if (!isCurrent(attempt, Phase::kAttempting)) return;
  const TimePoint now = environment_.now();
  if (head.not_run) return onRefusedByServer(head, now);
  service_->onAnswered(*server_, head, now - attempt_started_, now);
  startForwarding(now);
}

/// "Not run" is only true for this attempt, so the answer must not be forwarded if an earlier
/// attempt may have run.
void RequestFlow::Implementation::onRefusedByServer(const AnswerHead& head, TimePoint now) {
  ++parts_.statistics.server_refusals;
  if (head.from_node) {
    // A node deeper in the call refused, after it made the retries that its budget allowed. Further
    // retries at every hop on the way back would multiply the number of attempts.
    if (!may_have_run_) return startForwarding(now);
    io_.discardAnswer(attempt_);
    return conclude(Reason::kServerRefused, now);
  }
  service_->onRefused(*server_, head, now - attempt_started_, now);
  io_.discardAnswer(attempt_);
  server_retry_after_ = head.retry_after;
  addTried(*server_);
  if (mayRetry(true, now)) return retry(now);
  conclude(Reason::kServerRefused, now);
}

void RequestFlow::Implementation::startForwarding(TimePoint) {
  phase_ = Phase::kForwarding;
  parts_.deadlines.disarm(*this);
  io_.forwardAnswer(attempt_);
}

/// `is_free` is set if the attempt caused no work on a server. It is then charged neither to the
/// request's attempts nor to the retry budget.
bool RequestFlow::Implementation::mayRetry(bool is_free, TimePoint now) {
  if (may_have_run_ && !is_repeatable_) return false;
  if (now >= effectiveDeadline()) return false;
  if (is_free) return ++free_attempts_ <= parts_.settings.retry.free_attempts;
  ++charged_attempts_;
  if (is_part_of_retry_ || charged_attempts_ >= service_->service().max_attempts) return false;
  if (service_->retryBudget().take(now)) return true;
  ++parts_.statistics.retries_denied_budget;
  return false;
}

void RequestFlow::Implementation::retry(TimePoint now) {
  const ServerPointer released = releaseServer(now);
  phase_ = Phase::kWaiting;
  parts_.deadlines.arm(*this, latestStart(now));
  service_->readmit(*this);
  service_->dispatch(released, now);
}

// ---- Ends

void RequestFlow::Implementation::onDeadline(TimePoint now) {
  if (phase_ == Phase::kAttempting) abandonAttempt(now);
  conclude(lateReason(now), now);
}

void RequestFlow::Implementation::abandonAttempt(TimePoint now) {
  if (io_.bytesSent(attempt_)) may_have_run_ = true;
  io_.cancelAttempt(attempt_);
  const bool had_enough_time = now - attempt_started_ >= route_->timeout / kBlameDivisor;
  if (had_enough_time) service_->onTimedOut(*server_, now);
}

void RequestFlow::Implementation::onAnswerComplete(AttemptId attempt) {
  if (!isCurrent(attempt, Phase::kForwarding)) return;
  ++parts_.statistics.answers_forwarded;
  finishAndDispatch(environment_.now());
}

void RequestFlow::Implementation::onAnswerCut(AttemptId attempt) {
  if (!isCurrent(attempt, Phase::kForwarding)) return;
  const TimePoint now = environment_.now();
  ++parts_.statistics.answers_cut;
  service_->onFailed(*server_, AttemptFailure::kLostAfterSend, now);
  finishAndDispatch(now);
}

void RequestFlow::Implementation::onCallerGone() {
  if (phase_ == Phase::kNew || phase_ == Phase::kFinished) return;
  ++parts_.statistics.caller_gone;
  if (phase_ != Phase::kWaiting) io_.cancelAttempt(attempt_);
  finishAndDispatch(environment_.now());
}

ServerPointer RequestFlow::Implementation::releaseServer(TimePoint now) {
  ServerPointer released = std::move(server_);
  server_.reset();
  if (released && service_ != nullptr) service_->release(*released, priority(), now);
  return released;
}

/// Releases everything that the request has. The caller must call dispatch() for the returned
/// server, except in the destructor.
ServerPointer RequestFlow::Implementation::finish(TimePoint now) {
  phase_ = Phase::kFinished;
  parts_.deadlines.disarm(*this);
  if (service_ != nullptr) service_->leave(*this);
  --parts_.in_flight;
  return releaseServer(now);
}

void RequestFlow::Implementation::finishAndDispatch(TimePoint now) {
  const ServerPointer released = finish(now);
  if (released && service_ != nullptr) service_->dispatch(released, now);
}

void RequestFlow::Implementation::conclude(Reason reason, TimePoint now) {
  const bool was_attempting = phase_ == Phase::kAttempting;
  count(reason);
  const LocalAnswer answer = makeAnswer(reason);
  const ServerPointer released = finish(now);
  io_.answerLocally(answer);
  // A request that is refused while it waits is called from within a dispatch() that continues
  // afterwards.
  if (was_attempting && released && service_ != nullptr) service_->dispatch(released, now);
}

LocalAnswer RequestFlow::Implementation::makeAnswer(Reason reason) const {
  LocalAnswer answer;
  answer.reason = std::string(reasonName(reason));
  if (reason == Reason::kNoRoute) {
    answer.status = kNotFound;
  } else if (reason == Reason::kAmbiguousPath) {
    answer.status = kBadRequest;
  } else if (may_have_run_) {
    const bool is_late = reason == Reason::kDeadline || reason == Reason::kQueueTimeout;
    answer.status = is_late ? kGatewayTimeout : kBadGateway;
    answer.outcome = Outcome::kUnknown;
  } else {
    answer.status = kServiceUnavailable;
    answer.retry_after = retryAfter(reason);
  }
  return answer;
}

std::optional<Duration> RequestFlow::Implementation::retryAfter(Reason reason) const {
  if (reason == Reason::kServerRefused && server_retry_after_) return server_retry_after_;
  if (service_ == nullptr) return parts_.settings.default_retry_after;
  return service_->retryAfter();
}

void RequestFlow::Implementation::count(Reason reason) {
  ProxyStatistics& statistics = parts_.statistics;
  if (may_have_run_) {
    ++statistics.outcome_unknown;
    return;
  }
  switch (reason) {
    case Reason::kNoRoute:
    case Reason::kStaleConfiguration:
    case Reason::kAmbiguousPath:
      ++statistics.refused_no_route;
      return;
    case Reason::kNoConfiguration:
    case Reason::kNoServer:
      ++statistics.refused_no_server;
      return;
    case Reason::kStopping:
      ++statistics.refused_stopping;
      return;
    case Reason::kQueueFull:
      ++statistics.refused_queue_full;
      return;
    case Reason::kBatchShed:
      ++statistics.shed_batch;
      return;
    case Reason::kDeadlineTooShort:
    case Reason::kNoFreeSlot:
    case Reason::kServerLimit:
    case Reason::kLinkFull:
    case Reason::kServerRejecting:
    case Reason::kServerSlow:
    case Reason::kQueueTimeout:
    case Reason::kDeadline:
      ++statistics.refused_deadline;
      return;
    case Reason::kUnknownApiKey:
    case Reason::kCrashesServers:
    case Reason::kUnknownParent:
    case Reason::kQuotaExceeded:
    case Reason::kServerDraining:
    case Reason::kZoneDrained:
    case Reason::kWrongService:
    case Reason::kUnknownInstance:
    case Reason::kRetryBudget:
    case Reason::kOtherInstance:
    case Reason::kServerRefused:
    case Reason::kConnectFailed:
    case Reason::kConnectionLost:
    case Reason::kMalformedAnswer:
      ++statistics.refused_by_servers;
      return;
  }
}

// ---- Public interface

RequestFlow::RequestFlow(RequestHead head, ProxyState& state, Environment& environment,
                         RequestIo& io)
    : implementation_(std::make_unique<Implementation>(std::move(head), state, environment, io)) {}

RequestFlow::~RequestFlow() = default;

void RequestFlow::start() { implementation_->start(); }

void RequestFlow::onAttemptFailed(AttemptId attempt, AttemptFailure failure) {
  implementation_->onAttemptFailed(attempt, failure);
}

void RequestFlow::onAnswerHead(AttemptId attempt, const AnswerHead& head) {
  implementation_->onAnswerHead(attempt, head);
}

void RequestFlow::onAnswerComplete(AttemptId attempt) {
  implementation_->onAnswerComplete(attempt);
}

void RequestFlow::onAnswerCut(AttemptId attempt) { implementation_->onAnswerCut(attempt); }

void RequestFlow::onCallerGone() { implementation_->onCallerGone(); }

Version RequestFlow::configurationVersion() const {
  return implementation_->configurationVersion();
}

TimePoint RequestFlow::latestEnd() const { return implementation_->latestEnd(); }

}  // namespace coursepond::proxy
