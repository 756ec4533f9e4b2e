#include "ingress/ingress_state.h"

#include <algorithm>

namespace coursepond::ingress {

using proxy::Reason;

namespace {

/// Targets come from the configuration's routes; more are not told apart.
constexpr std::size_t kMostTargets = 64;

}  // namespace

IngressState::IngressState(const Settings& settings, proxy::RetryAccounts& retries,
                           Environment& environment)
    : settings_(settings),
      retries_(retries),
      environment_(environment),
      service_time_us_(static_cast<double>(settings.first_service_time.count())),
      deadlines_(environment) {}

void IngressState::setServer(const std::optional<model::ServerEntry>& entry) {
  const bool is_another = entry && (!server_ || server_->id != entry->id);
  if (is_another) instance_ = entry->id.value();
  server_ = entry;
  const TimePoint now = environment_.now();
  // What waits could reach the server long after it said that it is leaving.
  if (isServerLeaving()) refuseWaiting(Reason::kServerDraining, now);
  dispatch(now);
}

model::Endpoint IngressState::endpoint(const std::string& instance) const {
  return {EndpointId(instance), address_, ZoneId(), model::MachineState::kLive};
}

std::optional<Reason> IngressState::refusal(const std::optional<proxy::HopClass>& hop) const {
  if (is_stopped_) return Reason::kStopping;
  // An address goes to a machine of another service after a while: nothing of the old one runs.
  if (hop && hop->service != settings_.own_service.value()) return Reason::kWrongService;
  if (isServerLeaving()) return Reason::kServerDraining;
  return std::nullopt;
}

/// An entry of an earlier start says nothing about the one that has the address now.
bool IngressState::isServerLeaving() const {
  return server_ && server_->state == model::MachineState::kLeaving &&
         server_->id.value() == instance_;
}

std::uint32_t IngressState::slots() const {
  if (!server_ || server_->slots == 0) return settings_.unknown_slots;
  return server_->slots;
}

bool IngressState::hasFreeSlot(TimePoint now) const {
  return running_ < slots() && now >= paused_until_;
}

bool IngressState::hasSlotFor(TimePoint now) const { return queue_.empty() && hasFreeSlot(now); }

std::optional<Reason> IngressState::admit(Waiter& waiter, const WaitBounds& bounds, TimePoint now) {
  if (hasSlotFor(now)) {
    ++running_;
    waiter.onSlot(now);
    return std::nullopt;
  }
  const TimePoint slot = now + expectedWait(queue_.ahead(waiter) + 1);
  const bool is_late = slot > bounds.slot || slot + expectedService(waiter.target) > bounds.answer;
  if (is_late) return Reason::kDeadlineTooShort;
  const auto room = static_cast<std::size_t>(settings_.queue_per_slot * slots());
  if (queue_.size() >= room) {
    if (!queue_.goesBeforeLast(waiter)) return Reason::kQueueFull;
    Waiter* const displaced = queue_.last();
    queue_.remove(*displaced);
    ++statistics_.displaced;
    displaced->onDisplaced(Reason::kQueueFull, now);
  }
  ++statistics_.queued;
  queue_.add(waiter);
  wakeAfterPause(now);
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

/// A waiter may finish from inside onSlot() and release its slot: the loop goes on, without a
/// second one inside it.
void IngressState::dispatch(TimePoint now) {
  if (is_dispatching_) return;
  is_dispatching_ = true;
  while (!queue_.empty() && hasFreeSlot(now)) {
    Waiter* const waiter = queue_.first();
    queue_.remove(*waiter);
    ++running_;
    waiter->onSlot(now);
  }
  is_dispatching_ = false;
  wakeAfterPause(now);
}

void IngressState::wakeAfterPause(TimePoint now) {
  if (wake_timer_ != 0 || queue_.empty() || now >= paused_until_) return;
  wake_timer_ = environment_.schedule(paused_until_ - now, [this] {
    wake_timer_ = 0;
    dispatch(environment_.now());
  });
}

void IngressState::onAnswered(Duration target, Duration service_time) {
  const auto sample = static_cast<double>(service_time.count());
  service_time_us_ += settings_.sample_weight * (sample - service_time_us_);
  const bool is_new = !service_time_by_target_us_.contains(target);
  if (is_new && service_time_by_target_us_.size() >= kMostTargets) return;
  double& average = service_time_by_target_us_.try_emplace(target, sample).first->second;
  average += settings_.sample_weight * (sample - average);
}

Duration IngressState::expectedService(Duration target) const {
  const auto found = service_time_by_target_us_.find(target);
  const double known = found == service_time_by_target_us_.end() ? service_time_us_ : found->second;
  return Duration(static_cast<Duration::rep>(known));
}

void IngressState::pause(Duration length, TimePoint now) {
  paused_until_ = std::max(paused_until_, now + length);
}

Duration IngressState::expectedWait(std::size_t ahead) const {
  const double turns = static_cast<double>(ahead) / slots();
  return Duration(static_cast<Duration::rep>(turns * service_time_us_));
}

proxy::HopLoad IngressState::load() const {
  proxy::HopLoad load;
  load.running = running_;
  load.waiting = static_cast<std::uint32_t>(queue_.size());
  load.slots = slots();
  load.service_time = Duration(static_cast<Duration::rep>(service_time_us_));
  load.draining = stop_end_.has_value() || is_stopped_ || isServerLeaving();
  return load;
}

Duration IngressState::retryAfter() const {
  return expectedWait(queue_.size() + 1) + settings_.first_service_time;
}

std::uint32_t IngressState::connectionBudget(const ServiceName&, const EndpointId&) const {
  const std::uint32_t spare = settings_.spare_connections;
  return connection_limit_ > spare + 1 ? connection_limit_ - spare : 1;
}

bool IngressState::usable(const ServiceName&, const EndpointId& endpoint) const {
  return instance_.empty() || instance_ == endpoint.value();
}

}  // namespace coursepond::ingress
