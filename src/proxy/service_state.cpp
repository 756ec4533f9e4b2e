#include "proxy/service_state.h"

#include <algorithm>

namespace coursepond::proxy {
namespace {

/// Weight of one sample in the service's average latency and serving interval.
constexpr double kAverageWeight = 0.05;
/// Minimum number of requests ahead for which the expected wait is accurate enough to be used.
constexpr double kMinAhead = 4;
/// Latency assumed before the first sample.
constexpr double kDefaultLatencyMs = 5;
/// The backoff for a server that is full is its service time divided by this, after which a slot is
/// probably free.
constexpr Duration::rep kBackoffDivisor = 4;
constexpr Duration kMinBackoff = std::chrono::microseconds(200);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(50);
/// Bounds for the interval in which servers are checked again while requests wait.
constexpr Duration kMinWakeInterval = std::chrono::microseconds(200);
constexpr Duration kMaxWakeInterval = std::chrono::milliseconds(5);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);

constexpr int kLowestServerError = 500;
/// Without "not run", this status does not say whether the request ran. It is no sign of free slots
/// either, so it does not increase the concurrency limit.
constexpr int kServiceUnavailable = 503;

double randomFraction(Environment& environment) {
  constexpr std::uint64_t kSteps = 1000;
  return static_cast<double>(environment.random(kSteps)) / kSteps;
}

double asMilliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

}  // namespace

ServiceState::ServiceState(ServiceContext context)
    : context_(context),
      servers_(context.settings),
      queue_(context.settings.admission),
      retry_budget_(service_.retry_budget_percent, context.settings.retry),
      outliers_(context.settings.outlier, context.environment),
      balancer_(context.settings.balancer, context.settings.admission.batch_slot_part,
                context.own_zone, context.environment) {
  queue_.setLimit(service_.queue_limit);
}

void ServiceState::configure(const model::Service& service) {
  service_ = service;
  queue_.setLimit(service.queue_limit);
  retry_budget_.setPercent(service.retry_budget_percent);
  for (const auto& [id, server] : servers_.all()) server->limit.setSlots(service.slots_per_server);
}

void ServiceState::updateEndpoints(const model::EndpointSet& record, TimePoint now) {
  servers_.update(record, service_.slots_per_server, context_.node_count, now);
  dispatch(nullptr, now);
}

std::optional<Reason> ServiceState::admit(Waiter& waiter, TimePoint latest, TimePoint now) {
  if (servers_.usable().empty()) return Reason::kNoServer;
  if (queue_.size(waiter.priority()) == 0) {
    if (const ServerPointer server = choose(waiter, nullptr, now)) {
      assign(waiter, server, now);
      return std::nullopt;
    }
  }
  if (now + waitForLimits(now) > latest) return Reason::kServerLimit;
  const double ahead = queue_.expectedAhead(waiter.priority());
  if (ahead >= kMinAhead && now + expectedWait(ahead) > latest) {
    return Reason::kDeadlineTooShort;
  }
  const QueueEntry entry = queue_.enter(waiter);
  if (!entry.admitted) return entry.refusal;
  if (entry.displaced != nullptr) entry.displaced->onWaitEnded(Reason::kBatchShed, now);
  scheduleWake(now);
  return std::nullopt;
}

void ServiceState::release(ServerState& server, model::Priority priority, TimePoint now) {
  --server.in_flight;
  --in_flight_;
  if (priority == model::Priority::kBatch) --server.batch_in_flight;
  const Duration pause = server.limit.pause(serviceTime(server, now));
  if (pause > Duration(0)) server.backOff(now + std::min(pause, kMaxBackoff));
}

void ServiceState::dispatch(const ServerPointer& released, TimePoint now) {
  ServerPointer first_choice = released;
  while (!queue_.empty()) {
    const model::Priority next = queue_.nextPriority();
    const model::Priority other =
        next == model::Priority::kBatch ? model::Priority::kInteractive : model::Priority::kBatch;
    if (!assignFront(next, first_choice, now) && !assignFront(other, first_choice, now)) break;
    first_choice = nullptr;
  }
  if (queue_.empty()) {
    serving_ = false;
    context_.deadlines.disarm(*this);
  } else if (servers_.usable().empty()) {
    refuseAll(Reason::kNoServer, now);
  } else {
    scheduleWake(now);
  }
}

bool ServiceState::assignFront(model::Priority priority, const ServerPointer& released,
                               TimePoint now) {
  Waiter* waiter = queue_.front(priority);
  if (waiter == nullptr) return false;
  const ServerPointer server = choose(*waiter, released, now);
  if (!server) return false;
  queue_.serveFront(priority);
  recordServed(now);
  assign(*waiter, server, now);
  return true;
}

/// Uses the slot that was just released without comparing servers: in an overload, when this
/// matters, it is the only free slot.
ServerPointer ServiceState::choose(const Waiter& waiter, const ServerPointer& released,
                                   TimePoint now) const {
  const PickRequest request = pickRequest(waiter);
  if (released && !released->draining && !released->outlier.ejected(now) &&
      waiter.tried().empty() && servers_.isUsable(released->endpoint.id) &&
      balancer_.hasRoom(*released, request, now)) {
    return released;
  }
  return balancer_.pick(servers_.usable(), request, now);
}

PickRequest ServiceState::pickRequest(const Waiter& waiter) const {
  PickRequest request;
  request.priority = waiter.priority();
  request.tried = &waiter.tried();
  request.connection_share = connectionShare();
  request.average_latency_ms = average_latency_ms_.valueOr(kDefaultLatencyMs);
  return request;
}

void ServiceState::assign(Waiter& waiter, const ServerPointer& server, TimePoint now) {
  ++server->in_flight;
  ++in_flight_;
  if (waiter.priority() == model::Priority::kBatch) ++server->batch_in_flight;
  server->rate.onStarted(now);
  waiter.onServerAssigned(server, now);
}

void ServiceState::refuseAll(Reason reason, TimePoint now) {
  for (const model::Priority priority : {model::Priority::kInteractive, model::Priority::kBatch}) {
    while (Waiter* waiter = queue_.front(priority)) {
      queue_.leave(*waiter);
      waiter->onWaitEnded(reason, now);
    }
  }
  context_.deadlines.disarm(*this);
}

/// Schedules a dispatch for when the first server that is backing off or ejected may be used again.
/// Does nothing if one is already scheduled, since that is soon enough.
void ServiceState::scheduleWake(TimePoint now) {
  if (is_linked()) return;
  TimePoint due = now + kMaxWakeInterval;
  for (const ServerPointer& server : servers_.usable()) {
    const TimePoint usable_at = std::max(
        {server->backoff_until, server->outlier.ejected_until, server->rate.nextStart(now)});
    if (usable_at > now) due = std::min(due, usable_at);
  }
  context_.deadlines.arm(*this, std::max(due, now + kMinWakeInterval));
}

void ServiceState::onAnswered(ServerState& server, const AnswerHead& head, Duration latency,
                              TimePoint now) {
  recordLoad(server, head);
  recordLimit(server, head, AnswerSource::kRun, now - latency, now);
  if (head.draining) servers_.markLeaving(server, now);
  if (head.status != kServiceUnavailable) {
    const double full_load = context_.settings.concurrency.full_report_load;
    recordAccepted(server, head.load.value_or(0) >= full_load);
  }
  // An error that a node deeper in the call created is not a failure of this server.
  const bool is_server_error = head.status >= kLowestServerError && !head.from_node;
  if (is_server_error) return recordFailure(server, now);

  const BalancerSettings& balancer = context_.settings.balancer;
  const double latency_ms = asMilliseconds(latency);
  server.latency_ms.decay(now, average_latency_ms_.valueOr(latency_ms), balancer.latency_half_life);
  server.latency_ms.add(latency_ms, balancer.latency_sample_weight, now);
  average_latency_ms_.add(latency_ms, kAverageWeight, now);
  outliers_.onSuccess(server.outlier, now);
}

/// Called when the server accepted a request, whatever the result, which shows that it had a free
/// slot.
void ServiceState::recordAccepted(ServerState& server, bool reports_full) const {
  server.limit.onAnswered(server.in_flight, reports_full, context_.settings.concurrency);
}

void ServiceState::onRefused(ServerState& server, const AnswerHead& head, Duration latency,
                             TimePoint now) {
  recordLoad(server, head);
  recordLimit(server, head, AnswerSource::kRefusal, now - latency, now);
  if (head.draining) return servers_.markLeaving(server, now);
  const Duration service_time = serviceTime(server, now);
  server.limit.onRefused(server.in_flight, service_time, now, context_.settings.concurrency);
  backOffUntilSlotFrees(server, now);
}

void ServiceState::backOffUntilSlotFrees(ServerState& server, TimePoint now) const {
  const Duration backoff = serviceTime(server, now) / kBackoffDivisor;
  server.backOff(now + std::clamp(backoff, kMinBackoff, kMaxBackoff));
}

void ServiceState::onFailed(ServerState& server, AttemptFailure failure, TimePoint now) {
  const std::uint32_t others = server.in_flight - 1;
  switch (failure) {
    case AttemptFailure::kClosedUnsent:
    case AttemptFailure::kCannotReplay:
      return;
    case AttemptFailure::kNoConnectionFree:
      // Connections that are being closed still count towards the budget. Wait for one of them
      // instead of retrying at once.
      return backOffUntilSlotFrees(server, now);
    case AttemptFailure::kConnectFailed:
      // Either the server's connections are used up or it is down. Lower its connection limit and
      // count a failure.
      server.connections.onRefused(others, now);
      ++server.outlier.connect_failures;
      recordFailure(server, now);
      if (server.outlier.connect_failures >= 2) {
        server.backOff(now + context_.settings.outlier.connect_backoff);
      }
      return;
    case AttemptFailure::kLostAfterSend:
    case AttemptFailure::kMalformedAnswer:
      recordAccepted(server, false);
      server.outlier.connect_failures = 0;
      return recordFailure(server, now);
  }
}

void ServiceState::onTimedOut(ServerState& server, TimePoint now) { recordFailure(server, now); }

void ServiceState::recordFailure(ServerState& server, TimePoint now) {
  const bool should_eject = outliers_.onFailure(server.outlier, now);
  if (!should_eject || server.outlier.ejected(now)) return;
  const PeerHealth peers = peersOf(server, now);
  if (!outliers_.isOutlier(server.outlier, peers.failure_rate, now)) return;
  if (!outliers_.mayEject(server.outlier, peers.ejected, servers_.usable().size())) return;
  outliers_.eject(server.outlier, now);
  server.warm_since = server.outlier.ejected_until;
  ++context_.statistics.ejections;
}

ServiceState::PeerHealth ServiceState::peersOf(const ServerState& server, TimePoint now) const {
  PeerHealth health;
  double rates = 0;
  std::size_t in_use = 0;
  for (const ServerPointer& peer : servers_.usable()) {
    if (peer->outlier.ejected(now)) {
      ++health.ejected;
    } else if (peer.get() != &server) {
      rates += peer->outlier.failureRate(now);
      ++in_use;
    }
  }
  if (in_use > 0) health.failure_rate = rates / static_cast<double>(in_use);
  return health;
}

void ServiceState::recordLoad(ServerState& server, const AnswerHead& head) {
  if (head.load) server.reported_load = std::clamp(*head.load, 0.0, 1.0);
}

/// All nodes send to the server, so that each one uses an even share of the limit.
void ServiceState::recordLimit(ServerState& server, const AnswerHead& head, AnswerSource source,
                               TimePoint sent, TimePoint now) const {
  if (head.from_node) return;
  const std::size_t nodes = std::max<std::size_t>(context_.node_count, 1);
  server.rate.setShare(1 / static_cast<double>(nodes));
  const bool is_named = head.limit.kind == LimitReport::Kind::kLimit && !server.rate.perSecond();
  if (is_named && nodes > 1) server.rate.setPhase(randomFraction(context_.environment));
  server.rate.onAnswer(head.limit, source, sent, now);
}

Duration ServiceState::waitForLimits(TimePoint now) const {
  Duration shortest = Duration::max();
  for (const ServerPointer& server : servers_.usable()) {
    shortest = std::min(shortest, server->rate.waitFor(1, now));
  }
  return servers_.usable().empty() ? Duration(0) : shortest;
}

void ServiceState::recordServed(TimePoint now) {
  if (serving_) serving_interval_ms_.add(asMilliseconds(now - last_served_), kAverageWeight, now);
  serving_ = true;
  last_served_ = now;
}

Duration ServiceState::expectedWait(double ahead) const {
  const double interval_ms = serving_interval_ms_.valueOr(0);
  return Duration(static_cast<Duration::rep>(interval_ms * 1000.0 * ahead));
}

Duration ServiceState::serviceTime(const ServerState& server, TimePoint now) const {
  const double average_ms = average_latency_ms_.valueOr(kDefaultLatencyMs);
  const double server_ms =
      server.latency_ms.value(now, average_ms, context_.settings.balancer.latency_half_life);
  return Duration(static_cast<Duration::rep>(server_ms * 1000.0));
}

Duration ServiceState::retryAfter() const {
  const Duration by_limits = waitForLimits(context_.environment.now());
  const Duration wait = std::max(expectedWait(static_cast<double>(queue_.size() + 1)), by_limits);
  if (wait <= Duration(0)) return context_.settings.default_retry_after;
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

Duration ServiceState::usualLatency() const {
  return Duration(
      static_cast<Duration::rep>(average_latency_ms_.valueOr(kDefaultLatencyMs) * 1000.0));
}

std::uint32_t ServiceState::connectionShare() const {
  return ConnectionShare::evenPart(service_.connections_per_server, context_.node_count);
}

}  // namespace coursepond::proxy
