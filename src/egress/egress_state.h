#pragma once

/// What all requests of one egress share: the configuration in force, the servers, the budgets.

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
#include "egress/server_directory.h"
#include "egress/settings.h"
#include "egress/traffic_split.h"
#include "model/snapshot.h"
#include "proxy/connection_policy.h"
#include "proxy/deadline_queue.h"
#include "proxy/decision_log.h"
#include "proxy/retry_accounts.h"
#include "proxy/route_table.h"

namespace coursepond::egress {

/// Counters for /metrics. Never reset.
struct Statistics {
  std::uint64_t requests = 0;
  std::uint64_t answers_forwarded = 0;
  std::uint64_t answers_cut = 0;
  std::uint64_t attempts = 0;
  std::uint64_t repeats = 0;          ///< Attempts that a second server saw.
  std::uint64_t repeats_denied = 0;   ///< For want of allowance.
  std::uint64_t hop_refusals = 0;     ///< By ingresses: no server saw the request.
  std::uint64_t server_refusals = 0;  ///< By servers, which did not run it.
  std::uint64_t hop_failures = 0;     ///< Ingresses that could not be reached, or were lost.
  std::uint64_t hop_silences = 0;     ///< Ingresses that did not say that they have a request.
  std::uint64_t bad_answers = 0;      ///< Not this request's, unsigned, or not whole.
  std::uint64_t refused = 0;          ///< 503: not run.
  std::uint64_t suspected = 0;        ///< Of these, since servers ended under such requests.
  std::uint64_t throttled = 0;        ///< Of these, without asking an ingress: the service is full.
  std::uint64_t unknown = 0;          ///< 502 and 504.
  std::uint64_t no_route = 0;
  std::uint64_t unauthenticated = 0;  ///< 401: no API key that a tenant holds.
  std::uint64_t over_quota = 0;       ///< 429: beyond their tenant's quota.
  std::uint64_t caller_gone = 0;
};

/// A snapshot made ready for routing.
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

/// One service's state on this node.
struct ServiceUse {
  std::map<std::uint32_t, AdmissionThrottle> throttles;  ///< By rank.
  // Moving averages over all its servers; zero: none yet.
  double average_latency_ms = 0;
  double average_service_ms = 0;  ///< As ingresses report.
  double average_used = 0;        ///< Requests that run or wait, by slot, as ingresses report.
};

class EgressState final : public proxy::ConnectionPolicy {
 public:
  /// `retries` and `environment` must outlive the state.
  EgressState(Settings settings, proxy::RetryAccounts& retries, Environment& environment);

  /// Puts a snapshot in force for requests that start from now on. A lower version than the one in
  /// force is refused (returns false).
  bool apply(model::SnapshotPointer snapshot);
  std::shared_ptr<const RoutingTable> routing() const { return routing_; }
  Version version() const { return routing_ ? routing_->snapshot->version : Version(); }

  ServerDirectory& directory() { return directory_; }
  const ServerDirectory& directory() const { return directory_; }
  /// Call after the directory changed.
  void onDirectoryChanged();

  /// Nothing is sent to servers in these zones.
  void setDrainedZones(std::set<ZoneId> zones) { drained_zones_ = std::move(zones); }
  const std::set<ZoneId>& drainedZones() const { return drained_zones_; }
  /// Where a request may be sent.
  struct Destination {
    const ServiceName& service;
    const std::vector<RegionId>& regions;         ///< Of the route. Empty: all.
    const std::vector<RegionId>& tenant_regions;  ///< The same.
    bool namesRegions() const { return !regions.empty() || !tenant_regions.empty(); }
  };
  /// Whether all its servers, at least one, stand in drained zones or in regions that are not its
  /// own.
  bool isBarred(const Destination& to) const;

  /// The cheapest of a few servers of `to`, drawn at random from those outside `tried` that are not
  /// avoided: some of the own zone, some of the others. One that is leaving only when there
  /// is no other. Null when there is none.
  ///
  /// `asks_own_zone`: a free slot is asked for, which costs next to nothing in the own zone, so
  /// that a server there is chosen however busy it seems, unless it is too slow.
  ServerPointer pick(const Destination& to, const std::vector<EndpointId>& tried, TimePoint now,
                     bool asks_own_zone = false) const;
  /// The server that all nodes with the same view choose for trials of this request; null when
  /// there is none. Whatever its load: its ingress runs one trial at a time.
  ServerPointer pickForTrial(const Destination& to, RequestFingerprint request,
                             TimePoint now) const;
  /// How dear it is to send the next request there; 1 is an idle server of this zone.
  double cost(const Server& server, TimePoint now) const;
  /// The same if it has a free slot.
  double idleCost(const Server& server, TimePoint now) const;
  /// The server's slowness now: one that was slow once is tried again.
  double slowness(const Server& server, TimePoint now) const;
  /// Requests of others that run or wait there now: what was reported, closer to the service's
  /// average the older it is.
  double usedByOthers(const Server& server, double slots, TimePoint now) const;

  void onReached(Server& server);
  void onUnreachable(Server& server, TimePoint now);
  void onLoad(Server& server, const proxy::HopLoad& load, TimePoint now);
  void onLatency(Server& server, ServiceUse& use, Duration latency, TimePoint now);

  /// An ingress said after this time that it has a request, or was given up after it.
  void onReceipt(Duration latency);
  /// How long to wait for that, for a request of this target: longer while all are slow.
  Duration receiptTimeout(Duration target) const;

  ServiceUse& use(const ServiceName& service) { return uses_[service]; }
  proxy::RetryAccounts& retries() { return retries_; }
  /// Where the quotas of tenants are kept; null: they are not.
  void setQuotas(admission::QuotaAccounts* quotas) { quotas_ = quotas; }
  admission::QuotaAccounts* quotas() { return quotas_; }
  /// Which requests may not run since servers ended under them; null: all may.
  void setSuspects(const admission::CrashSuspects* suspects) { suspects_ = suspects; }
  admission::CrashVerdict verdict(RequestFingerprint request, TimePoint now) const;
  /// When a request that may not run now should come back.
  Duration suspectRetryAfter(RequestFingerprint request, TimePoint now) const;
  TrafficSplit& split() { return split_; }
  proxy::DeadlineQueue& deadlines() { return deadlines_; }
  const Settings& settings() const { return settings_; }
  /// For requests and attempts that begin from now on.
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
  /// `age` ago the source had no newer version than the one held.
  void confirmConfiguration(Duration age = Duration(0)) {
    configuration_confirmed_ = std::max(configuration_confirmed_, environment_.now() - age);
  }
  /// How long ago that was; the time since the clock's start if it never was known.
  Duration configurationAge() const { return environment_.now() - configuration_confirmed_; }
  /// Whether that was too long ago to tell that a route does not exist.
  bool mayHaveMissedVersion() const;

  /// A planned stop of this node began: requests are answered before `end`, when the process goes
  /// and would cut them.
  void announceStop(TimePoint end);
  bool isStopping() const { return latest_answer_ != TimePoint::max(); }
  /// By when every request is answered; the end of time without a stop.
  TimePoint latestAnswer() const { return latest_answer_; }
  std::size_t& inFlight() { return in_flight_; }
  std::size_t inFlight() const { return in_flight_; }

  std::uint32_t connectionBudget(const ServiceName& service,
                                 const EndpointId& endpoint) const override;
  bool usable(const ServiceName& service, const EndpointId& endpoint) const override;
  std::vector<proxy::WarmServer> warmServers() const override { return {}; }

 private:
  bool isAllowed(const Server& server, const Destination& to) const;
  using Candidates = std::vector<const ServerPointer*>;
  /// Draws servers_compared of each group.
  /// `busyness`: what its use costs; 1 is an idle server.
  double costWhen(const Server& server, double busyness, TimePoint now) const;
  ServerPointer cheapestOfDrawn(Candidates& group, TimePoint now) const;
  void learnFromReport(Server& server, const proxy::HopLoad& load);

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
  TrafficSplit split_;
  proxy::DeadlineQueue deadlines_;
  Statistics statistics_;
  proxy::DecisionLog* log_ = nullptr;
  std::size_t in_flight_ = 0;
  double receipt_ms_ = 0;  ///< Moving average.
  TimePoint latest_answer_ = TimePoint::max();
};

}  // namespace coursepond::egress
