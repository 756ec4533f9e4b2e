#include "ingress/ingress_state.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace coursepond::ingress {

using proxy::Reason;

namespace {

/// How often a request is sent to the known instance of a server that seems to be replaced. If the
/// report was wrong, the instance answers; any other one refuses.
constexpr Duration kInstanceCheckInterval = std::chrono::seconds(1);
/// Time reserved before the end of a planned stop, so that the last answers can still be sent.
constexpr Duration kStopReserve = std::chrono::milliseconds(50);
/// A request is started during a planned stop if the average work fits this many times into the
/// time that is left.
constexpr int kStopWorkFactor = 3;

}  // namespace

IngressState::IngressState(const Settings& settings, proxy::RetryAccounts& retries,
                           Environment& environment)
    : settings_(settings),
      retries_(retries),
      environment_(environment),
      service_time_us_(static_cast<double>(settings.initial_service_time.count())),
      server_ends_(environment),
      deadlines_(environment) {
  cold_start_.suspectTurnedCold(environment.now());
}

void IngressState::setServer(const std::optional<model::ServerEntry>& entry) {
  const TimePoint now = environment_.now();
  const bool is_new_start = entry && (!server_ || !isSameInstance(*server_, *entry));
  if (is_new_start) {
    const bool is_restart = server_ && server_->id == entry->id;
    instance_ = entry->id.value();
    unknown_instance_.clear();
    // This may be a new instance with the same id.
    server_ends_.onRestart(now);
    rejections_ = RejectionRate();
    forgetReportsOfOthers(is_restart);
    cold_start_.suspectTurnedCold(now);
  }
  const Duration cold_before = server_ && !is_new_start ? server_->remaining_warm_up : Duration(0);
  if (entry && entry->remaining_warm_up > cold_before)
    cold_start_.onWarmUpReported(entry->remaining_warm_up, now);
  server_ = entry;
  // Waiting requests could otherwise reach the server long after it reported that it is leaving.
  if (isServerLeaving()) refuseWaiting(Reason::kServerDraining, now);
  dispatch(now);
}

void IngressState::learnInstance(const std::string& instance) {
  const bool is_new_start = !instance_.empty() && instance != instance_;
  instance_ = instance;
  unknown_instance_.clear();
  if (!is_new_start) return;
  server_ends_.onRestart(environment_.now());
  forgetReportsOfOthers(false);
}

void IngressState::onInstanceRequested(const std::string& instance) {
  if (!instance.empty() && instance == unknown_instance_) learnInstance(instance);
}

bool IngressState::onInstanceReported(const std::string& instance, const std::string& requested,
                                      TimePoint now) {
  if (instance == requested) learnInstance(instance);
  if (instance == instance_) return true;
  next_instance_check_ = now + kInstanceCheckInterval;
  if (std::exchange(unknown_instance_, instance) == instance) return false;
  note(proxy::ServerChange::kReplaced, EndpointId(instance));
  server_ends_.onRestart(now);
  refuseWaiting(Reason::kUnknownInstance, now);
  return false;
}

void IngressState::onInstanceAnswered(const std::string& instance) {
  if (instance == instance_ || instance_.empty()) unknown_instance_.clear();
}

bool IngressState::isReplaced() const {
  return !unknown_instance_.empty() && environment_.now() < next_instance_check_;
}

/// Forgets what the current instance of the server did not report. `is_restart`: the server
/// was started anew under the id that it had before.
void IngressState::forgetReportsOfOthers(bool is_restart) {
  if (!is_restart && reported_instance_ == instance_) return;
  server_limit_.reset();
  said_leaving_ = false;
  reported_instance_ = instance_;
}

void IngressState::announceStop(TimePoint end) {
  stop_end_ = end;
  deadlines_.capDeadlines(stopDeadline());
}

TimePoint IngressState::stopDeadline() const {
  return stop_end_ ? *stop_end_ - kStopReserve : TimePoint::max();
}

bool IngressState::isTooLateInStop(Duration target, TimePoint deadline, TimePoint now) const {
  if (!mayOutlastStop(deadline)) return false;
  return now + kStopWorkFactor * expectedService(target) > stopDeadline();
}

void IngressState::setZoneDrained(bool is_drained) {
  if (std::exchange(is_zone_drained_, is_drained) == is_drained) return;
  const TimePoint now = environment_.now();
  if (is_drained) return refuseWaiting(Reason::kZoneDrained, now);
  // The server may have become cold while it was idle.
  cold_start_.suspectTurnedCold(now);
}

void IngressState::setService(const model::Service& service) {
  constexpr double kPerThousand = 1000.0;
  connection_limit_ = service.connections_per_server;
  cold_start_.setLimits(service.cold_rate_per_1000_s / kPerThousand, service.warm_up);
}

void IngressState::onHealth(const ServerHealth& health) {
  const TimePoint now = environment_.now();
  const std::string instance = health.instance.empty() ? instance_ : health.instance;
  if (!instance_.empty() && !onInstanceReported(instance, "", now)) return;
  cold_start_.onWarmUpReported(health.cold_left, now);
  onLimitReport(health.limit, proxy::AnswerSource::kHealth, instance, now, now);
  if (health.said_leaving) onSaidLeaving(instance, now);
  dispatch(now);
}

void IngressState::checkHealthIfSuspected(TimePoint now) {
  if (!check_health_ || now < next_health_check_ ||
      !cold_start_.isSuspected(settings_.cold_start, now))
    return;
  // The health check counts against the limit, as it is one more request to the cold server.
  if (!cold_start_.mayStart(settings_.cold_start, now) || !server_limit_.mayStart(now)) return;
  cold_start_.onStarted(settings_.cold_start, now);
  server_limit_.onStarted(now);
  next_health_check_ = now + settings_.health_check_interval;
  check_health_();
}

model::Endpoint IngressState::endpoint(const std::string& instance) const {
  return {EndpointId(instance), address_, ZoneId(), model::MachineState::kLive};
}

std::optional<Reason> IngressState::refusal(const std::optional<proxy::HopClass>& hop) const {
  if (is_stopped_) return Reason::kStopping;
  // An address may be reassigned to a machine of another service. Requests for the old service must
  // not run there.
  if (hop && hop->service != settings_.own_service.value()) return Reason::kWrongService;
  if (is_zone_drained_) return Reason::kZoneDrained;
  if (isServerLeaving()) return Reason::kServerDraining;
  if (isReplaced()) return Reason::kUnknownInstance;
  return std::nullopt;
}

bool IngressState::mayRun(RequestFingerprint whole, bool is_trial, TimePoint now) const {
  if (suspects_ == nullptr) return true;
  const admission::CrashVerdict verdict = suspects_->verdict(whole, now);
  if (verdict == admission::CrashVerdict::kTrialOnly) return is_trial;
  return verdict == admission::CrashVerdict::kMayRun;
}

bool IngressState::hasServerEnds(const RequestFingerprints& request) const {
  if (suspects_ == nullptr) return false;
  return request.whole.empty() ? suspects_->hasServerEnds(request.head)
                               : suspects_->ends(request.whole) > 0;
}

bool IngressState::beginTrial(RequestFingerprint whole) {
  if (!trials_.insert(whole).second) return false;
  ++statistics_.trials;
  return true;
}

void IngressState::endTrial(RequestFingerprint whole, bool has_failed) {
  trials_.erase(whole);
  if (suspects_ == nullptr || !has_failed) return;
  suspects_->onTrialFailed(whole, environment_.random(UINT64_MAX), environment_.now());
}

/// The entry of an earlier instance says nothing about the instance that has the address now.
bool IngressState::isServerLeaving() const {
  if (said_leaving_) return true;
  return server_ && server_->state == model::MachineState::kLeaving &&
         server_->id.value() == instance_;
}

std::uint32_t IngressState::slots() const {
  if (!server_ || server_->slots == 0) return settings_.default_slots;
  return server_->slots;
}

std::uint32_t IngressState::usableSlots() const {
  double per_second = std::numeric_limits<double>::max();
  if (isCold(environment_.now())) {
    per_second = static_cast<double>(cold_start_.maxStartsPerSecond(settings_.cold_start));
  }
  per_second = std::min(per_second, server_limit_.perSecond().value_or(per_second));
  const double seconds = service_time_us_ / 1e6;
  const double used = std::min(std::ceil(per_second * seconds), static_cast<double>(slots()));
  return std::max(static_cast<std::uint32_t>(used), 1U);
}

bool IngressState::hasFreeSlot(TimePoint now) const {
  return running_ < slots() && now >= paused_until_ &&
         cold_start_.mayStart(settings_.cold_start, now) && server_limit_.mayStart(now);
}

Reason IngressState::noSlotReason(TimePoint now) const {
  return server_limit_.mayStart(now) ? Reason::kNoFreeSlot : Reason::kServerLimit;
}

void IngressState::startOne(Waiter& waiter, TimePoint now) {
  ++running_;
  ++statistics_.sends;
  cold_start_.onStarted(settings_.cold_start, now);
  server_limit_.onStarted(now);
  if (!unknown_instance_.empty()) next_instance_check_ = now + kInstanceCheckInterval;
  checkHealthIfSuspected(now);
  waiter.onSlot(now);
}

WorkKind IngressState::kindOf(const Waiter& waiter) const {
  const Duration measured(static_cast<Duration::rep>(
      service_time_by_target_us_.valueOr(waiter.target, service_time_us_)));
  return {waiter.target, waiter.rank, speed_.usualService(waiter.target).value_or(measured)};
}

/// Calls take any free slot, because the request that made them holds one elsewhere.
bool IngressState::mayTakeSlot(const Waiter& waiter, TimePoint now) const {
  if (!hasFreeSlot(now)) return false;
  if (waiter.is_call) return true;
  return slots() - running_ >
         short_work_.keptFrom(settings_.short_work, kindOf(waiter), slots(), now);
}

/// Returns whether the request may start before the first waiting one, which must leave a free slot
/// to shorter work.
bool IngressState::mayOvertake(const Waiter& waiter) const {
  return queue_.empty() || waiter.is_call || waiter.rank <= queue_.first()->rank;
}

Waiter* IngressState::nextToStart(TimePoint now) const {
  if (!hasFreeSlot(now)) return nullptr;
  return queue_.firstOf(
      [&](const Waiter& waiter) { return mayOvertake(waiter) && mayTakeSlot(waiter, now); });
}

bool IngressState::hasSlotFor(const Waiter& waiter, TimePoint now) const {
  return mayTakeSlot(waiter, now) && mayOvertake(waiter) && nextToStart(now) == nullptr;
}

Duration IngressState::onDelivered(const std::optional<proxy::HopClass>& hop, TimePoint now) {
  if (!hop || !hop->sent) return Duration(0);
  const Duration delay = delivery_delay_.onArrival(*hop->sent, now);
  if (delay >= kLateDelivery) ++statistics_.delivered_late;
  return delay;
}

void IngressState::onArrival(const Waiter& waiter, TimePoint now) {
  short_work_.onArrival(settings_.short_work, kindOf(waiter), now);
  if (hasFreeSlot(now) && !mayTakeSlot(waiter, now)) ++statistics_.kept_slots;
}

std::optional<Reason> IngressState::admit(Waiter& waiter, const WaitBounds& bounds, TimePoint now) {
  if (hasSlotFor(waiter, now)) {
    startOne(waiter, now);
    return std::nullopt;
  }
  const TimePoint slot = now + expectedWait(queue_.ahead(waiter) + 1);
  const bool is_late = slot > bounds.slot || slot + expectedService(waiter.target) > bounds.answer;
  if (is_late) {
    return server_limit_.mayStart(now) ? Reason::kDeadlineTooShort : Reason::kServerLimit;
  }
  const auto room = static_cast<std::size_t>(settings_.queue_per_slot * slots());
  if (queue_.size() >= room) {
    if (!queue_.goesBeforeLast(waiter)) return Reason::kQueueFull;
    Waiter* const displaced = queue_.last();
    queue_.remove(*displaced);
    ++statistics_.displaced;
    displaced->onDisplaced(Reason::kQueueFull, now);
  }
  ++statistics_.queued;
  waiter.latest_slot = bounds.slot;
  queue_.add(waiter);
  wakeWhenFree(now);
  return std::nullopt;
}

void IngressState::refuseWaiting(Reason reason, TimePoint now) {
  while (Waiter* const waiter = queue_.first()) {
    queue_.remove(*waiter);
    waiter->onDisplaced(reason, now);
  }
}

void IngressState::release(TimePoint now) {
  --running_;
  dispatch(now);
}

/// A waiter may finish inside onSlot() and release its slot, which calls dispatch() again. The
/// inner call returns at once and the outer loop continues.
void IngressState::dispatch(TimePoint now) {
  if (is_dispatching_) return;
  is_dispatching_ = true;
  while (Waiter* const waiter = nextToStart(now)) {
    queue_.remove(*waiter);
    startOne(*waiter, now);
  }
  is_dispatching_ = false;
  wakeWhenFree(now);
}

void IngressState::wakeWhenFree(TimePoint now) {
  if (queue_.empty()) return;
  if (hasFreeSlot(now)) return wakeToCheckReserve();
  if (wake_timer_ != 0) return;
  const TimePoint free_at =
      std::max({paused_until_, cold_start_.nextStart(settings_.cold_start, now),
                server_limit_.nextStart(now)});
  if (now >= free_at) return;
  wake_timer_ = environment_.schedule(free_at - now, [this] {
    wake_timer_ = 0;
    dispatch(environment_.now());
  });
}

/// Requests wait although a slot is free, which is kept for shorter work. That may stop arriving.
void IngressState::wakeToCheckReserve() {
  if (reserve_timer_ != 0) return;
  reserve_timer_ = environment_.schedule(settings_.short_work.check_interval, [this] {
    reserve_timer_ = 0;
    dispatch(environment_.now());
  });
}

void IngressState::onAnswered(Duration target, Duration service_time) {
  cold_start_.onAnswered(environment_.now() - service_time);
  const auto sample = static_cast<double>(service_time.count());
  service_time_us_ += settings_.sample_weight * (sample - service_time_us_);
  service_time_by_target_us_.add(target, sample, settings_.sample_weight);
  speed_.onAnswered(settings_.speed, target, service_time, environment_.now());
}

Duration IngressState::expectedService(Duration target) const {
  const auto at_speed = speed_.expectedService(settings_.speed, target, environment_.now());
  if (at_speed) return *at_speed;
  const double known = service_time_by_target_us_.valueOr(target, service_time_us_);
  return Duration(static_cast<Duration::rep>(known));
}

bool IngressState::isTooSlowFor(Duration target, TimePoint answer, TimePoint now) const {
  const auto usual = speed_.usualService(target);
  if (!usual || now + *usual > answer) return false;
  return now + expectedService(target) > answer;
}

void IngressState::onLimitReport(const proxy::LimitReport& report, proxy::AnswerSource source,
                                 const std::string& instance, TimePoint sent, TimePoint now) {
  const bool is_of_earlier_instance = !instance_.empty() && instance != instance_;
  if (is_of_earlier_instance) return;
  reported_instance_ = instance;
  applyLimitChange(server_limit_.onAnswer(report, source, sent, now), now);
}

/// The mark holds until the server is started anew: its entry may not say for seconds, or ever,
/// that the server leaves.
void IngressState::onSaidLeaving(const std::string& instance, TimePoint now) {
  const bool is_of_earlier_instance = !instance_.empty() && instance != instance_;
  if (is_of_earlier_instance || std::exchange(said_leaving_, true)) return;
  reported_instance_ = instance;
  note(proxy::ServerChange::kSaidLeaving, EndpointId(instance));
  refuseWaiting(Reason::kServerDraining, now);
}

void IngressState::onLimitTold(double per_second, const std::string& instance, TimePoint now) {
  const bool is_of_other_instance = !instance_.empty() && instance != instance_;
  if (is_of_other_instance || server_limit_.isKnown()) return;
  reported_instance_ = instance;
  applyLimitChange(server_limit_.onTold(per_second, now), now);
}

void IngressState::applyLimitChange(proxy::LimitChange change, TimePoint now) {
  if (change == proxy::LimitChange::kNone) return;
  if (change == proxy::LimitChange::kUnreadable) ++statistics_.unreadable_limits;
  if (limit_changed_) limit_changed_(change);
  if (change == proxy::LimitChange::kUnreadable) return;
  refuseLateWaiting(now);
  // Not dispatched here: the answer that is being handled is still held by its connection, which
  // the next request might get.
  environment_.cancel(wake_timer_);
  wake_timer_ = environment_.schedule(Duration(0), [this] {
    wake_timer_ = 0;
    dispatch(environment_.now());
  });
}

/// Refuses waiting requests that will not get a slot in time with the limit that holds now, from
/// the end of the queue.
void IngressState::refuseLateWaiting(TimePoint now) {
  if (!server_limit_.perSecond()) return;
  while (Waiter* const last = queue_.last()) {
    if (now + expectedWait(queue_.size()) <= last->latest_slot) return;
    queue_.remove(*last);
    last->onDisplaced(Reason::kServerLimit, now);
  }
}

void IngressState::pause(Duration length, TimePoint now) {
  paused_until_ = std::max(paused_until_, now + length);
}

Duration IngressState::expectedWait(std::size_t ahead) const {
  const TimePoint now = environment_.now();
  const double turns = static_cast<double>(ahead) / usableSlots();
  const auto at_speed = speed_.expectedMean(settings_.speed, now);
  const double mean_us = at_speed ? static_cast<double>(at_speed->count()) : service_time_us_;
  const Duration by_slots(static_cast<Duration::rep>(turns * mean_us));
  return std::max(by_slots, server_limit_.waitFor(static_cast<double>(ahead), now));
}

bool IngressState::expectsLargeAnswer(Duration target) const {
  if (!knowsLinkRate()) return large_answers_.expectsLarge(settings_.large_answers, target);
  return link_->isLarge(static_cast<std::uint64_t>(large_answers_.expectedBytes(target)));
}

Duration IngressState::linkBacklog() const {
  if (!knowsLinkRate()) return Duration(0);
  return link_->backlog() + link_->timeFor(large_answers_.acceptedBytes());
}

Duration IngressState::linkLateness(const Waiter& waiter, TimePoint latest, TimePoint now) const {
  const Duration others = linkBacklog();
  if (others <= Duration(0)) return Duration(0);
  const Duration wait =
      hasSlotFor(waiter, now) ? Duration(0) : expectedWait(queue_.ahead(waiter) + 1);
  const Duration sending = others + link_->timeFor(large_answers_.expectedBytes(waiter.target));
  const TimePoint sent = now + wait + expectedService(waiter.target) + sending;
  return std::max(sent - latest, Duration(0));
}

proxy::HopLoad IngressState::load() const {
  proxy::HopLoad load;
  load.waiting = static_cast<std::uint32_t>(queue_.size());
  load.slots = usableSlots();
  // A server that accepts no request now has no free slot for the egresses, however idle it is.
  const bool is_limit_reached = !server_limit_.mayStart(environment_.now());
  load.running = is_limit_reached ? std::max(running_, load.slots) : running_;
  load.is_limit_known = server_limit_.isKnown();
  load.server_limit = server_limit_.perSecond();
  load.service_time = Duration(static_cast<Duration::rep>(service_time_us_));
  if (speed_.isReported()) load.slowness = slowness();
  load.draining = stop_end_.has_value() || is_stopped_ || isServerLeaving() || isReplaced();
  load.link_backlog = linkBacklog();
  return load;
}

proxy::HopLoad IngressState::loadFor(const std::string& instance) const {
  proxy::HopLoad result = load();
  if (instance == reported_instance_) return result;
  result.is_limit_known = false;
  result.server_limit.reset();
  return result;
}

Duration IngressState::retryAfter() const {
  return expectedWait(queue_.size() + 1) + settings_.initial_service_time;
}

std::uint32_t IngressState::connectionBudget(const ServiceName&, const EndpointId&) const {
  const std::uint32_t spare = settings_.spare_connections;
  return connection_limit_ > spare + 1 ? connection_limit_ - spare : 1;
}

bool IngressState::usable(const ServiceName&, const EndpointId& endpoint) const {
  return instance_.empty() || instance_ == endpoint.value();
}

}  // namespace coursepond::ingress
