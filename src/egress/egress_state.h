#pragma once

/// State that all requests of one egress share: the configuration in force, the known servers, the
/// throttles, budgets and quotas.

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "admission/crash_suspects.h"
#include "admission/quota_accounts.h"
#include "admission/tenant_table.h"
#include "core/environment.h"
#include "egress/answer_sizes.h"
#include "egress/large_placement.h"
#include "egress/longest_latency.h"
#include "egress/server_directory.h"
#include "egress/settings.h"
#include "egress/stop_schedule.h"
#include "egress/traffic_split.h"
#include "model/snapshot.h"
#include "proxy/connection_policy.h"
#include "proxy/deadline_queue.h"
#include "proxy/decision_log.h"
#include "proxy/link_scheduler.h"
#include "proxy/retry_accounts.h"
#include "proxy/route_table.h"

namespace coursepond::egress {

/// Counters for /metrics. Never reset.
struct Statistics {
  std::uint64_t requests = 0;
  std::uint64_t answers_forwarded = 0;
  std::uint64_t answers_cut = 0;
  std::uint64_t attempts = 0;
  std::uint64_t repeats = 0;          ///< Attempts that showed a request to a further server.
  std::uint64_t repeats_denied = 0;   ///< The retry budget was exhausted.
  std::uint64_t hop_refusals = 0;     ///< By ingresses; no server saw the request.
  std::uint64_t server_refusals = 0;  ///< By servers, which did not run the request.
  std::uint64_t hop_failures = 0;     ///< Ingresses that were unreachable or lost the connection.
  /// Ingresses that did not acknowledge a request in time.
  std::uint64_t hop_receipt_timeouts = 0;
  /// Attempts that were kept open at silent ingresses and became the current one again.
  std::uint64_t attempts_resumed = 0;
  std::uint64_t bad_answers = 0;             ///< For another request, unsigned, or malformed.
  std::uint64_t refused = 0;                 ///< 503: not run.
  std::uint64_t crash_suspects_refused = 0;  ///< Of these, refused as crash suspects.
  /// Requests whose bodies were awaited first, because a crash suspect may have the same head.
  std::uint64_t bodies_awaited = 0;
  std::uint64_t throttled = 0;     ///< Of these, refused by the AdmissionThrottle.
  std::uint64_t refused_late = 0;  ///< Of these, refused as too close to the deadline.
  std::uint64_t refused_link = 0;  ///< Of these, since no link can send the answer in time.
  // Requests with large answers that were sent to a server,
  std::uint64_t large_own_machine = 0;  ///< of this machine,
  std::uint64_t large_own_zone = 0;     ///< of another machine in the own zone,
  std::uint64_t large_other_zones = 0;  ///< of another zone.
  std::uint64_t unknown = 0;            ///< 502 and 504: the request may have run.
  std::uint64_t no_route = 0;           ///< 404.
  std::uint64_t unauthenticated = 0;    ///< 401: no API key that belongs to a tenant.
  std::uint64_t over_quota = 0;         ///< 429: the tenant's quota is exceeded.
  std::uint64_t caller_gone = 0;
};

/// A configuration snapshot with its lookup tables.
struct RoutingTable {
  RoutingTable(model::SnapshotPointer held, TimePoint in_force_since)
      : snapshot(std::move(held)),
        table(snapshot->routes),
        tenants(snapshot->tenants),
        since(in_force_since) {}
  model::SnapshotPointer snapshot;
  proxy::RouteTable table;
  admission::TenantTable tenants;
  TimePoint since;  ///< When this version came into force here.
};

/// State of one service on this node.
struct ServiceUse {
  std::map<std::uint32_t, AdmissionThrottle> throttles;  ///< By rank.
  // Exponential moving averages over all servers of the service; zero: no sample yet.
  double average_latency_ms = 0;  ///< As measured here.
  double average_service_ms = 0;  ///< As reported by ingresses.
  double average_used = 0;  ///< Running and waiting requests per slot, as reported by ingresses.
  /// From the arrival of a request here until its answer, its deadline or its caller's disconnect.
  LongestLatency longest_latency;
  std::multiset<TimePoint> running_since;  ///< Arrival times of the requests in flight.

  /// Returns the longest latency of recent requests and of those in flight so far. Empty without a
  /// recent one that ended.
  std::optional<Duration> longestLatency(TimePoint now) const {
    const std::optional<Duration> ended = longest_latency.value(now);
    if (!ended || running_since.empty()) return ended;
    return std::max(*ended, now - *running_since.begin());
  }
};

class EgressState final : public proxy::ConnectionPolicy {
 public:
  /// `retries` and `environment` must outlive the state.
  EgressState(Settings settings, proxy::RetryAccounts& retries, Environment& environment);

  /// Puts a snapshot in force for requests that start from now on. Returns false and ignores the
  /// snapshot if its version is lower than the one in force.
  bool apply(model::SnapshotPointer snapshot);
  std::shared_ptr<const RoutingTable> routing() const { return routing_; }
  Version version() const { return routing_ ? routing_->snapshot->version : Version(); }

  ServerDirectory& directory() { return directory_; }
  const ServerDirectory& directory() const { return directory_; }
  /// Must be called after each change of the directory.
  void onDirectoryChanged();

  /// Sets the zones whose servers get no requests.
  void setDrainedZones(std::set<ZoneId> zones) { drained_zones_ = std::move(zones); }
  const std::set<ZoneId>& drainedZones() const { return drained_zones_; }
  /// Where a request may be sent.
  struct Destination {
    const ServiceName& service;
    const std::vector<RegionId>& regions;         ///< Allowed by the route. Empty: all.
    const std::vector<RegionId>& tenant_regions;  ///< Allowed by the tenant. Empty: all.
    bool namesRegions() const { return !regions.empty() || !tenant_regions.empty(); }
  };
  /// Returns whether the service has servers, and all of them are in drained zones or outside the
  /// allowed regions.
  bool hasOnlyExcludedServers(const Destination& to) const;

  /// Returns the cheapest of a random sample of the servers of `to`; null if there is none. The
  /// sample takes some servers of the own zone and some of the other zones, without those in
  /// `tried` and those that are being avoided. A leaving server is returned only if there is no
  /// other.
  ///
  /// `asks_own_zone`: the request only asks for a free slot. Asking costs almost nothing in the own
  /// zone, so a server there is preferred however busy it seems, unless it is too slow.
  ServerPointer pick(const Destination& to, const std::vector<EndpointId>& tried, TimePoint now,
                     bool asks_own_zone = false) const;
  /// Sets the scheduler of this machine's link, which must outlive the state. Null: not known.
  void setLink(const proxy::LinkScheduler* link) { link_ = link; }
  AnswerSizes& answerSizes() { return answer_sizes_; }
  /// Returns what placeLarge() needs for a request of this route. Empty if its answers are small on
  /// average, or the rate of the link is not known.
  std::optional<LargeRequest> largeRequest(const model::Route& route, Duration target) const;
  /// Returns the server of `to` for a request with a large answer; see large_placement.h. Servers
  /// in `tried` and those that are being avoided or are leaving are left out.
  LargePlacement placeLarge(const Destination& to, const std::vector<EndpointId>& tried,
                            const LargeRequest& request, TimePoint now) const;
  /// Called when such a request is sent to `server`.
  void onLargeRequested(Server& server, const LargeRequest& request, TimePoint now);
  /// Returns the server for trials of this request; null if there is none. All nodes with the same
  /// view choose the same one. Its load is ignored, as its ingress runs one trial at a time.
  ServerPointer pickForTrial(const Destination& to, RequestFingerprint request,
                             TimePoint now) const;
  /// Returns the cost of sending the next request to `server`. An idle server of average speed in
  /// the own zone costs 1.
  double cost(const Server& server, TimePoint now) const;
  /// Returns the cost under the assumption that the server has a free slot.
  double idleCost(const Server& server, TimePoint now) const;
  /// Returns the server's slowness now (1: average). It decays towards 1, so that a server that was
  /// slow once is tried again. For a server that reports its slowness, this is the report times how
  /// slow the server usually is; latencies measured here are not used, since they depend on the
  /// kind of work.
  double slowness(const Server& server, TimePoint now) const;
  /// Returns the estimated number of requests of other nodes that run or wait at the server: the
  /// reported number, weighted towards the service's average as the report ages.
  double usedByOthers(const Server& server, double slots, TimePoint now) const;

  void onReached(Server& server);
  void onUnreachable(Server& server, TimePoint now);
  void onLoad(Server& server, const proxy::HopLoad& load, TimePoint now);
  /// Called for each answer that came through the server's ingress.
  void onAnswer(Server& server, const proxy::AnswerHead& answer, TimePoint now);
  void onLatency(Server& server, ServiceUse& use, Duration latency, TimePoint now);

  /// Called when an ingress acknowledged a request, or was given up as silent, after `latency`.
  void onReceipt(Duration latency);
  /// Returns how long to wait for the acknowledgement of a request with this target latency. Longer
  /// while all ingresses are slow.
  Duration receiptTimeout(Duration target) const;
  /// Called when an ingress in `zone` acknowledged a request after `latency`.
  void onRoundTrip(const ZoneId& zone, Duration latency, TimePoint now);
  /// Returns how long a request to `zone` and the answer to it take together without any work, on
  /// average. Zero if that is not known.
  Duration roundTrip(const ZoneId& zone, TimePoint now) const;

  ServiceUse& use(const ServiceName& service) { return uses_[service]; }
  proxy::RetryAccounts& retries() { return retries_; }
  /// `clock`: see proxy::SendTime; zero by default.
  void setClock(std::uint32_t clock) { clock_ = clock; }
  proxy::SendTime sendTime(TimePoint now) const { return {clock_, now.time_since_epoch()}; }
  /// `quotas` may be null: quotas are not enforced.
  void setQuotas(admission::QuotaAccounts* quotas) { quotas_ = quotas; }
  admission::QuotaAccounts* quotas() { return quotas_; }
  /// `suspects` may be null: no request is refused as a crash suspect.
  void setSuspects(const admission::CrashSuspects* suspects) { suspects_ = suspects; }
  /// Returns whether servers ended while requests with this head were running.
  bool hasServerEnds(RequestFingerprint head) const {
    return suspects_ != nullptr && suspects_->hasServerEnds(head);
  }
  /// Returns whether requests with this head must be identified before they are sent.
  bool mustIdentify(RequestFingerprint head) const {
    return suspects_ != nullptr && suspects_->mustIdentify(head);
  }
  /// Returns a suspect with this head whose trial is due at the server; empty if there is none.
  RequestFingerprint trialAt(const ServerPointer& server, const Destination& to,
                             RequestFingerprint head, TimePoint now) const;
  admission::CrashVerdict verdict(RequestFingerprint request, TimePoint now) const;
  /// Returns the retry delay for a crash suspect that may not run now.
  Duration suspectRetryAfter(RequestFingerprint request, TimePoint now) const;
  TrafficSplit& split() { return split_; }
  proxy::DeadlineQueue& deadlines() { return deadlines_; }
  const Settings& settings() const { return settings_; }
  /// Applies to requests and attempts that start from now on.
  void changeSettings(Settings settings) { settings_ = std::move(settings); }
  Statistics& statistics() { return statistics_; }
  /// `log` may be null.
  void setDecisionLog(proxy::DecisionLog* log) { log_ = log; }
  void note(const proxy::Decision& decision) const {
    if (log_ != nullptr) log_->onDecision(decision);
  }
  void note(proxy::ServerChange change, const EndpointId& server) const {
    if (log_ != nullptr) log_->onServerChange(change, server);
  }
  /// Records that the version in force was the source's newest one `age` ago.
  void confirmConfiguration(Duration age = Duration(0)) {
    configuration_confirmed_ = std::max(configuration_confirmed_, environment_.now() - age);
  }
  /// Returns how long ago the version in force was last known to be the newest one; the time since
  /// the start of the clock if it never was.
  Duration configurationAge() const { return environment_.now() - configuration_confirmed_; }
  /// Returns whether that was too long ago to conclude that a route does not exist.
  bool mayHaveMissedVersion() const;

  /// Announces a planned stop of this node. All requests are answered before `end`, when the
  /// process exits and would cut them. `callers_informed`: see StopSchedule; by default never.
  void announceStop(TimePoint end, TimePoint callers_informed = TimePoint::max());
  bool isStopping() const { return stop_.isAnnounced(); }
  const StopSchedule& stopSchedule() const { return stop_; }
  /// Time by which every request must be answered; TimePoint::max() without a planned stop.
  TimePoint stopDeadline() const { return stop_.end; }
  std::size_t& inFlight() { return in_flight_; }
  std::size_t inFlight() const { return in_flight_; }

  std::uint32_t connectionBudget(const ServiceName& service,
                                 const EndpointId& endpoint) const override;
  bool usable(const ServiceName& service, const EndpointId& endpoint) const override;
  std::vector<proxy::WarmServer> warmServers() const override { return {}; }

 private:
  bool isAllowed(const Server& server, const Destination& to) const;
  using Candidates = std::vector<const ServerPointer*>;
  /// Returns the cost of a server at this load factor (1: idle).
  double costWhen(const Server& server, double busyness, TimePoint now) const;
  /// Returns the cheapest of `servers_compared` servers that are drawn at random from `group`.
  /// `extra_cost` may be empty: none.
  ServerPointer cheapestOfSample(Candidates& group, TimePoint now,
                                 const ExtraCost& extra_cost = nullptr) const;
  void learnFromReport(Server& server, const proxy::HopLoad& load);
  double reportedSlowness(const Server& server, TimePoint now) const;

  Settings settings_;
  proxy::RetryAccounts& retries_;
  admission::QuotaAccounts* quotas_ = nullptr;
  const admission::CrashSuspects* suspects_ = nullptr;
  Environment& environment_;
  ServerDirectory directory_;
  std::set<ZoneId> drained_zones_;
  std::shared_ptr<const RoutingTable> routing_;
  TimePoint configuration_confirmed_;
  std::map<ServiceName, ServiceUse> uses_;
  AnswerSizes answer_sizes_;
  const proxy::LinkScheduler* link_ = nullptr;
  std::uint32_t clock_ = 0;
  TrafficSplit split_;
  proxy::DeadlineQueue deadlines_;
  Statistics statistics_;
  proxy::DecisionLog* log_ = nullptr;
  std::size_t in_flight_ = 0;
  double average_receipt_ms_ = 0;  ///< Moving average of the time until the acknowledgement.
  /// Moving average of the time until the acknowledgement, without silent ingresses.
  struct RoundTrip {
    double average_ms = 0;
    TimePoint last_sample;
  };
  std::map<ZoneId, RoundTrip> round_trips_;
  StopSchedule stop_;
};

}  // namespace coursepond::egress
