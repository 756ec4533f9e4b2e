#include "egress/egress_state.h"

#include <algorithm>
#include <limits>

#include "core/rank.h"
#include "core/time_arithmetic.h"

namespace coursepond::egress {
namespace {

/// Time reserved before the end of a planned stop, so that the last answers can still be sent.
constexpr Duration kStopReserve = std::chrono::milliseconds(50);
constexpr std::uint32_t kConnectionsPerIngress = 256;
constexpr std::uint32_t kMaxAvoidShift = 4;
/// Number of slots assumed while neither a load report nor the server's entry contains it.
constexpr std::uint32_t kDefaultSlots = 8;
constexpr Duration kLimitReportLife = std::chrono::seconds(1);
/// Cost factor for a server that is still cold.
constexpr double kColdFactor = 1.6;
/// Costs that differ by less than this count as equal, and the server drawn first is taken.
constexpr double kCostTolerance = 0.05;
constexpr double kMinSlowness = 0.4;
constexpr double kMaxSlowness = 6.0;
/// An ingress is silent if it takes this many times the average time to acknowledge a request.
constexpr double kReceiptTimeoutFactor = 4.0;

/// Half-life of the average round trip. It decays without samples, because requests with a shorter
/// deadline are not sent and so give no new ones.
constexpr Duration kRoundTripHalfLife = std::chrono::seconds(5);

/// Weight of one load report in the service's averages, which cover about the last twenty reports.
constexpr double kReportWeight = 0.05;
constexpr Duration kMinLoadHalfLife = std::chrono::milliseconds(50);

/// An ingress reports fewer slots while its server has a limit. A server that no request is sent to
/// cannot report that its limit was lifted, so such a report holds only for a while.
std::uint32_t knownSlots(const Server& server, TimePoint now) {
  const bool has_outdated_limit =
      server.load.server_limit && now - server.load_at > kLimitReportLife;
  if (server.load.slots > 0 && !has_outdated_limit) return server.load.slots;
  return server.entry.slots > 0 ? server.entry.slots : kDefaultSlots;
}

/// An empty list allows all regions.
bool allows(const std::vector<RegionId>& regions, const RegionId& region) {
  return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

double clampSlowness(double slowness) { return std::clamp(slowness, kMinSlowness, kMaxSlowness); }

double toMillisecondsExact(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace

EgressState::EgressState(Settings settings, proxy::RetryAccounts& retries, Environment& environment)
    : settings_(std::move(settings)),
      retries_(retries),
      environment_(environment),
      directory_(settings_, [this](proxy::ServerChange change,
                                   const EndpointId& server) { note(change, server); }),
      split_(environment.random(std::numeric_limits<std::uint32_t>::max())),
      deadlines_(environment) {}

bool EgressState::apply(model::SnapshotPointer snapshot) {
  if (routing_ && snapshot->version < routing_->snapshot->version) return false;
  const bool is_same = routing_ && routing_->snapshot->version == snapshot->version;
  const TimePoint since = is_same ? routing_->since : environment_.now();
  routing_ = std::make_shared<const RoutingTable>(std::move(snapshot), since);
  return true;
}

bool EgressState::mayHaveMissedVersion() const {
  const Duration certain = settings_.configuration_certain_for;
  return certain > Duration(0) && configurationAge() > certain;
}

void EgressState::onDirectoryChanged() { retries_.setNodes(directory_.all().size()); }

/// A zone without a known region is in none of the named regions, so that data that is restricted
/// to regions is never sent there.
bool EgressState::isAllowed(const Server& server, const Destination& to) const {
  if (drained_zones_.contains(server.entry.zone)) return false;
  if (!to.namesRegions()) return true;
  const auto region = settings_.zone_regions.find(server.entry.zone);
  return region != settings_.zone_regions.end() && allows(to.regions, region->second) &&
         allows(to.tenant_regions, region->second);
}

ServerPointer EgressState::pick(const Destination& to, const std::vector<EndpointId>& tried,
                                TimePoint now, bool asks_own_zone) const {
  Candidates near;
  Candidates far;
  Candidates leaving;
  for (const ServerPointer& server : directory_.usable(to.service)) {
    if (server->avoided(now) || !isAllowed(*server, to)) continue;
    if (std::find(tried.begin(), tried.end(), server->entry.id) != tried.end()) continue;
    const bool is_near = server->entry.zone == settings_.own_zone;
    (server->leaving(now) ? leaving : is_near ? near : far).push_back(&server);
  }
  if (near.empty() && far.empty()) return cheapestOfSample(leaving, now);
  ServerPointer nearest = cheapestOfSample(near, now);
  ServerPointer farther = cheapestOfSample(far, now);
  if (!nearest || !farther) return nearest ? nearest : farther;
  // The load from other nodes is known only with delay, but the requests of this node alone may
  // occupy all slots.
  const bool may_have_slot = nearest->in_flight < knownSlots(*nearest, now);
  const double near_cost =
      asks_own_zone && may_have_slot ? idleCost(*nearest, now) : cost(*nearest, now);
  return cost(*farther, now) > near_cost - kCostTolerance ? nearest : farther;
}

std::optional<LargeRequest> EgressState::largeRequest(const model::Route& route,
                                                      Duration target) const {
  if (link_ == nullptr || !link_->isActive()) return std::nullopt;
  const double bytes = answer_sizes_.averageOf(route.name);
  if (!link_->isLarge(static_cast<std::uint64_t>(bytes))) return std::nullopt;
  return LargeRequest{target, link_->timeFor(bytes)};
}

LargePlacement EgressState::placeLarge(const Destination& to, const std::vector<EndpointId>& tried,
                                       const LargeRequest& request, TimePoint now) const {
  LargeCandidates candidates;
  candidates.own_backlog = link_->backlog();
  UsualBacklog usual;
  for (const ServerPointer& server : directory_.usable(to.service)) {
    usual.add(settings_.large_answers, *server, now);
    if (server->avoided(now) || server->leaving(now) || !isAllowed(*server, to)) continue;
    if (std::find(tried.begin(), tried.end(), server->entry.id) != tried.end()) continue;
    const bool is_near = server->entry.zone == settings_.own_zone;
    (is_near ? candidates.own_zone : candidates.other_zones).push_back(&server);
    const bool is_own = server->entry.address.host == settings_.own_host;
    if (is_near && is_own) candidates.own_machine = server.get();
  }
  candidates.usual_backlog = usual.value();
  return egress::placeLarge(settings_.large_answers, request, candidates, now,
                            [&](ServerPointers& servers, const ExtraCost& extra_cost) {
                              return cheapestOfSample(servers, now, extra_cost);
                            });
}

void EgressState::onLargeRequested(Server& server, const LargeRequest& request, TimePoint now) {
  const Duration sent = now - server.large_requested_at;
  server.large_requested = std::max(server.large_requested - sent, Duration(0)) + request.sending;
  server.large_requested_at = now;
  const bool is_own_zone = server.entry.zone == settings_.own_zone;
  const bool is_own_machine = is_own_zone && server.entry.address.host == settings_.own_host;
  ++(is_own_machine ? statistics_.large_own_machine
     : is_own_zone  ? statistics_.large_own_zone
                    : statistics_.large_other_zones);
}

/// Uses rendezvous hashing over the machine addresses, because a restarted server has another id.
ServerPointer EgressState::pickForTrial(const Destination& to, RequestFingerprint request,
                                        TimePoint now) const {
  ServerPointer best;
  std::uint64_t best_rank = 0;
  for (const ServerPointer& server : directory_.usable(to.service)) {
    if (server->avoided(now) || server->leaving(now) || !isAllowed(*server, to)) continue;
    const std::uint64_t rank = rankOf(stableHash(server->entry.address.host), request.value());
    if (best && rank >= best_rank) continue;
    best = server;
    best_rank = rank;
  }
  return best;
}

RequestFingerprint EgressState::trialAt(const ServerPointer& server, const Destination& to,
                                        RequestFingerprint head, TimePoint now) const {
  if (suspects_ == nullptr) return {};
  for (const RequestFingerprint suspect : suspects_->suspectsWith(head)) {
    const bool is_due = suspects_->verdict(suspect, now) == admission::CrashVerdict::kTrialOnly;
    if (is_due && pickForTrial(to, suspect, now) == server) return suspect;
  }
  return {};
}

admission::CrashVerdict EgressState::verdict(RequestFingerprint request, TimePoint now) const {
  return suspects_ == nullptr ? admission::CrashVerdict::kMayRun : suspects_->verdict(request, now);
}

Duration EgressState::suspectRetryAfter(RequestFingerprint request, TimePoint now) const {
  if (suspects_ == nullptr) return settings_.default_retry_after;
  const Duration trial =
      suspects_->timeUntilTrial(request, now).value_or(settings_.crash_suspect_retry_after);
  // A trial that is due may already be in flight, and its outcome will be known soon.
  return std::max(trial, settings_.default_retry_after);
}

bool EgressState::hasOnlyExcludedServers(const Destination& to) const {
  const std::vector<ServerPointer>& servers = directory_.usable(to.service);
  return !servers.empty() &&
         std::all_of(servers.begin(), servers.end(),
                     [&](const ServerPointer& server) { return !isAllowed(*server, to); });
}

ServerPointer EgressState::cheapestOfSample(Candidates& group, TimePoint now,
                                            const ExtraCost& extra_cost) const {
  ServerPointer best;
  double best_cost = std::numeric_limits<double>::max();
  const std::size_t compared = std::min(group.size(), settings_.servers_compared);
  for (std::size_t index = 0; index < compared; ++index) {
    const std::size_t drawn = index + environment_.random(group.size() - index);
    std::swap(group[index], group[drawn]);
    const ServerPointer& server = *group[index];
    const double server_cost = cost(*server, now) + (extra_cost ? extra_cost(*server) : 0);
    if (server_cost > best_cost - kCostTolerance) continue;
    best = server;
    best_cost = server_cost;
  }
  return best;
}

double EgressState::idleCost(const Server& server, TimePoint now) const {
  return costWhen(server, 1.0, now);
}

double EgressState::cost(const Server& server, TimePoint now) const {
  const double slots = knownSlots(server, now);
  const double used = (usedByOthers(server, slots, now) + server.in_flight + 1) / slots;
  double busyness = 1.0;
  if (used > settings_.busy_from) {
    const double part = std::min(1.0, (used - settings_.busy_from) / (1 - settings_.busy_from));
    busyness += settings_.busy_cost * part;
  }
  if (used > 1) busyness += settings_.waiting_cost * (used - 1);
  return costWhen(server, busyness, now);
}

double EgressState::costWhen(const Server& server, double busyness, TimePoint now) const {
  double cost = busyness * slowness(server, now);
  if (now < server.cold_until) cost *= kColdFactor;
  if (server.entry.zone != settings_.own_zone) cost += settings_.remote_zone_cost;
  return cost;
}

double EgressState::usedByOthers(const Server& server, double slots, TimePoint now) const {
  const auto use = uses_.find(server.entry.service);
  const double usual = use == uses_.end() ? 0 : use->second.average_used * slots;
  if (server.load.slots == 0) return usual;
  const double reported = server.load.running + server.load.waiting;
  const double others = std::max(0.0, reported - server.in_flight_at_report);
  // After about one service time, the reported requests have ended and others have replaced them.
  const Duration half_life = std::max(server.load.service_time, kMinLoadHalfLife);
  return usual + (others - usual) * decayFactor(now - server.load_at, half_life);
}

void EgressState::onReached(Server& server) {
  if (std::exchange(server.failures, 0) > 0) note(proxy::ServerChange::kReached, server.entry.id);
}

void EgressState::onUnreachable(Server& server, TimePoint now) {
  if (server.failures == 0) note(proxy::ServerChange::kUnreachable, server.entry.id);
  const std::uint32_t shift = std::min(server.failures++, kMaxAvoidShift);
  const Duration pause = std::min(settings_.initial_avoid * (1U << shift), settings_.longest_avoid);
  server.avoid_until = std::max(server.avoid_until, now + pause);
}

void EgressState::onAnswer(Server& server, const proxy::AnswerHead& answer, TimePoint now) {
  onReached(server);
  if (answer.hop_load) onLoad(server, *answer.hop_load, now);
  // Not from the ingress's load report, which may still describe the instance before this one.
  if (answer.draining) directory_.onSaidLeaving(server, now);
}

void EgressState::onLoad(Server& server, const proxy::HopLoad& load, TimePoint now) {
  const proxy::HopLoad before = std::exchange(server.load, load);
  // An ingress that was restarted does not know the limit yet, which still holds.
  if (!load.is_limit_known) {
    server.load.is_limit_known = before.is_limit_known;
    server.load.server_limit = before.server_limit;
  }
  server.in_flight_at_report = server.in_flight;
  server.load_at = now;
  server.large_requested = Duration(0);
  if (load.slots > 0) learnFromReport(server, load);
  if (load.draining) server.leaving_until = now + settings_.avoid_draining;
}

/// An ingress sees all requests to its server, while this node sees only its own. So the report
/// reveals a slow server earlier.
void EgressState::learnFromReport(Server& server, const proxy::HopLoad& load) {
  ServiceUse& use = this->use(server.entry.service);
  const double service_ms = toMillisecondsExact(load.service_time);
  const double used = static_cast<double>(load.running + load.waiting) / load.slots;
  if (use.average_service_ms <= 0) {
    use.average_service_ms = service_ms;
    use.average_used = used;
  }
  use.average_service_ms += kReportWeight * (service_ms - use.average_service_ms);
  use.average_used += kReportWeight * (used - use.average_used);
  server.load_slowness =
      std::clamp(service_ms / std::max(use.average_service_ms, 1.0), kMinSlowness, kMaxSlowness);
  if (!load.slowness) return;
  const double usual = server.load_slowness / clampSlowness(*load.slowness);
  server.usual_slowness += kReportWeight * (usual - server.usual_slowness);
}

/// The service times of a server that reports its slowness are used only as an average over many
/// reports, which shows that a server is always slower than others. In a single report, a server
/// that has just run longer kinds of work would look slow.
double EgressState::reportedSlowness(const Server& server, TimePoint now) const {
  const Duration age = now - server.load_at;
  const double state = 1.0 + (clampSlowness(*server.load.slowness) - 1.0) *
                                 decayFactor(age, settings_.reported_slowness_half_life);
  const double usual =
      1.0 + (server.usual_slowness - 1.0) * decayFactor(age, settings_.slowness_half_life);
  return state * usual;
}

double EgressState::slowness(const Server& server, TimePoint now) const {
  if (server.load.slowness) return reportedSlowness(server, now);
  const Duration half_life = settings_.slowness_half_life;
  const double observed =
      (server.slowness - 1.0) * decayFactor(now - server.slowness_at, half_life);
  const double reported =
      (server.load_slowness - 1.0) * decayFactor(now - server.load_at, half_life);
  // The observed latency includes the network path, which may be slow while the server is not.
  return 1.0 + (observed > std::max(reported, 0.0) ? observed : reported);
}

void EgressState::onLatency(Server& server, ServiceUse& use, Duration latency, TimePoint now) {
  const double latency_ms = toMillisecondsExact(latency);
  const double weight = settings_.slowness_weight;
  if (use.average_latency_ms <= 0) use.average_latency_ms = latency_ms;
  use.average_latency_ms += weight * (latency_ms - use.average_latency_ms);
  const double sample = latency_ms / std::max(use.average_latency_ms, 1.0);
  const double before = 1.0 + (server.slowness - 1.0) * decayFactor(now - server.slowness_at,
                                                                    settings_.slowness_half_life);
  server.slowness = before + weight * (std::clamp(sample, kMinSlowness, kMaxSlowness) - before);
  server.slowness_at = now;
}

void EgressState::announceStop(TimePoint end, TimePoint callers_informed) {
  stop_ = {callers_informed, end - kStopReserve};
  deadlines_.capDeadlines(stop_.end);
}

void EgressState::onReceipt(Duration latency) {
  average_receipt_ms_ +=
      settings_.slowness_weight * (toMillisecondsExact(latency) - average_receipt_ms_);
}

Duration EgressState::receiptTimeout(Duration target) const {
  const Duration usual(
      static_cast<Duration::rep>(average_receipt_ms_ * kReceiptTimeoutFactor * 1000.0));
  const Duration longest = std::max(settings_.receipt_timeout, target / 2);
  return std::clamp(usual, settings_.receipt_timeout, longest);
}

void EgressState::onRoundTrip(const ZoneId& zone, Duration latency, TimePoint now) {
  const double sample = toMillisecondsExact(latency);
  RoundTrip& round_trip = round_trips_.try_emplace(zone, RoundTrip{sample, now}).first->second;
  // An old average loses its weight, so that one sample after a pause does not bring it back.
  const double weight_of_old = (1 - settings_.slowness_weight) *
                               decayFactor(now - round_trip.last_sample, kRoundTripHalfLife);
  round_trip.average_ms = sample + weight_of_old * (round_trip.average_ms - sample);
  round_trip.last_sample = now;
}

Duration EgressState::roundTrip(const ZoneId& zone, TimePoint now) const {
  const auto found = round_trips_.find(zone);
  if (found == round_trips_.end()) return Duration(0);
  const auto& [average_ms, last_sample] = found->second;
  const double usual_ms = average_ms * decayFactor(now - last_sample, kRoundTripHalfLife);
  return fractionOf(std::chrono::milliseconds(1), usual_ms);
}

std::uint32_t EgressState::connectionBudget(const ServiceName&, const EndpointId&) const {
  return kConnectionsPerIngress;
}

bool EgressState::usable(const ServiceName&, const EndpointId& endpoint) const {
  return directory_.all().contains(endpoint);
}

}  // namespace coursepond::egress
