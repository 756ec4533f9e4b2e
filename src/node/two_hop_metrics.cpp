#include "node/two_hop_metrics.h"

#include <vector>

#include "node/metric_counters.h"
#include "runtime/logging.h"

namespace coursepond::node {
namespace {

using runtime::MetricTable;

void addEgress(MetricTable& table, egress::EgressState& state) {
  using S = egress::Statistics;
  addCounters<S>(
      table,
      {{"egress_requests_total", "Requests received from callers.", &S::requests},
       {"egress_answers_total", "Server answers forwarded completely.", &S::answers_forwarded},
       {"egress_attempts_total", "Requests sent to an ingress.", &S::attempts},
       {"egress_repeats_total", "Requests sent to a further server.", &S::repeats},
       {"egress_repeats_denied_total", "Repeats not made because the retry budget was exhausted.",
        &S::repeats_denied},
       {"egress_hop_refusals_total", "Refusals by ingresses; the request reached no server.",
        &S::hop_refusals},
       {"egress_server_refusals_total", "Refusals by servers.", &S::server_refusals},
       {"egress_hop_failures_total",
        "Attempts that failed because the ingress was unreachable or the connection was lost.",
        &S::hop_failures},
       {"egress_hop_silences_total", "Attempts that the ingress did not acknowledge in time.",
        &S::hop_receipt_timeouts},
       {"egress_bad_answers_total", "Answers that belonged to another request or were unsigned.",
        &S::bad_answers},
       {"egress_refused_total", "Requests answered as not run.", &S::refused},
       {"egress_suspected_total", "Of these, requests refused as crash suspects.",
        &S::crash_suspects_refused},
       {"egress_throttled_total",
        "Of these, requests refused at the egress because the service is overloaded.",
        &S::throttled},
       {"egress_unknown_total", "Requests that may have run but got no answer.", &S::unknown},
       {"egress_no_route_total", "Requests without a route.", &S::no_route},
       {"egress_unauthenticated_total", "Requests without an API key of a known tenant.",
        &S::unauthenticated},
       {"egress_over_quota_total", "Requests refused because their tenant's quota was exceeded.",
        &S::over_quota},
       {"egress_callers_gone_total", "Callers that disconnected before the answer.",
        &S::caller_gone}},
      [&state] { return state.statistics(); });
  table.addGauge("configuration_version_in_force",
                 "The configuration version that requests are served with.",
                 [&state] { return static_cast<double>(state.version().value()); });
}

void addIngress(MetricTable& table, ingress::IngressState& state) {
  using S = ingress::Statistics;
  addCounters<S>(
      table,
      {{"ingress_requests_total", "Requests received from egresses.", &S::requests},
       {"ingress_answers_total", "Answers of the server that were forwarded.",
        &S::answers_forwarded},
       {"ingress_queued_total", "Requests that waited for a slot.", &S::queued},
       {"ingress_refused_full_total", "Requests refused because the expected wait was too long.",
        &S::refused_full},
       {"ingress_refused_link_total",
        "Requests refused because large answers were still being sent.", &S::refused_link},
       {"ingress_refused_suspects_total", "Requests refused as crash suspects.",
        &S::refused_suspects},
       {"ingress_trials_total",
        "Requests of crash suspects admitted as a trial, to see whether the server ends again.",
        &S::trials},
       {"ingress_refused_rejecting_total",
        "Requests refused because the server rejects many of its requests.", &S::refused_rejecting},
       {"ingress_refused_draining_total",
        "Requests refused because the server or this node is leaving.", &S::refused_draining},
       {"ingress_displaced_total", "Queued requests displaced by more urgent ones.", &S::displaced},
       {"ingress_expired_total", "Requests whose deadline passed.", &S::expired},
       {"ingress_repeated_runs_total", "Requests that another server may have received before.",
        &S::repeated_runs},
       {"ingress_server_refusals_total", "Refusals by the server.", &S::server_refusals},
       {"ingress_server_unreachable_total", "Connections that the server did not accept.",
        &S::server_unreachable},
       {"ingress_server_lost_total", "Connections to the server lost with a request in flight.",
        &S::server_lost},
       {"ingress_bad_answers_total", "Answers of the server that belonged to another request.",
        &S::bad_answers}},
      [&state] { return state.statistics(); });
  table.addGauge("ingress_running", "Requests in flight at the server.",
                 [&state] { return static_cast<double>(state.running()); });
  table.addGauge("ingress_waiting", "Requests waiting for a slot.",
                 [&state] { return static_cast<double>(state.waiting()); });
}

std::vector<runtime::MetricSample> samplesByService(
    const proxy::RetryAccounts& retries,
    const std::function<double(const proxy::RetryAccount&)>& value) {
  std::vector<runtime::MetricSample> samples;
  for (const auto& [service, account] : retries.all()) {
    samples.push_back({{{"service", service.value()}}, value(account)});
  }
  return samples;
}

std::vector<runtime::MetricSample> repeatsByReason(const proxy::RetryAccounts& retries) {
  std::vector<runtime::MetricSample> samples;
  for (const auto& [service, account] : retries.all()) {
    for (std::size_t index = 0; index < proxy::kRepeatReasons; ++index) {
      const auto reason = static_cast<proxy::RepeatReason>(index);
      samples.push_back(
          {{{"service", service.value()}, {"reason", std::string(proxy::repeatReasonName(reason))}},
           static_cast<double>(account.statistics.repeats[index])});
    }
  }
  return samples;
}

/// Repeats made and denied for each service, and the retry budget that is left.
void addRetries(MetricTable& table, const proxy::RetryAccounts& retries) {
  using runtime::MetricType;
  const auto add = [&](const char* name, MetricType type, const char* meaning,
                       std::function<double(const proxy::RetryAccount&)> value) {
    table.add({name, type, meaning, {"service"}, [&retries, value = std::move(value)] {
                 return samplesByService(retries, value);
               }});
  };
  add("retry_first_attempts_total", MetricType::kCounter, "Requests sent to the service.",
      [](const auto& account) { return static_cast<double>(account.statistics.first_attempts); });
  table.add({"retry_repeats_total",
             MetricType::kCounter,
             "Repeats: requests that a further server may receive.",
             {"service", "reason"},
             [&retries] { return repeatsByReason(retries); }});
  add("retry_given_back_total", MetricType::kCounter,
      "Repeats returned to the retry budget because no server received them.",
      [](const auto& account) { return static_cast<double>(account.statistics.given_back); });
  add("retry_denied_total", MetricType::kCounter,
      "Repeats not made because the retry budget was exhausted.",
      [](const auto& account) { return static_cast<double>(account.statistics.denied); });
  add("retry_runs_denied_total", MetricType::kCounter,
      "Repeated requests not admitted to this machine's server because the retry budget does not "
      "cover the calls they would make to the service.",
      [](const auto& account) { return static_cast<double>(account.statistics.runs_denied); });
  add("retry_calls_of_repeats_total", MetricType::kCounter,
      "Calls that this machine's server made to the service while running repeated requests.",
      [](const auto& account) { return account.statistics.calls_of_repeats; });
  add("retry_allowance_left", MetricType::kGauge,
      "Number of repeats that the retry budget allows now.",
      [](const auto& account) { return account.allowance.left(); });
}

/// Counters are the sum of both topics.
void addWatch(MetricTable& table, const source::WatchLoop& servers,
              const source::WatchLoop& configuration) {
  using S = source::WatchStatistics;
  const auto add = [&](const char* name, const char* meaning, std::uint64_t S::*field) {
    table.addCounter(std::string("watch_") + name + "_total", meaning,
                     [&servers, &configuration, field] {
                       return static_cast<double>(servers.statistics().*field +
                                                  configuration.statistics().*field);
                     });
  };
  add("lists", "Complete reads of the source.", &S::lists);
  add("reads", "Reads that waited for a change.", &S::watches);
  add("failures", "Reads that failed.", &S::failures);
  add("history_lost", "Number of times the source no longer had the requested change history.",
      &S::history_lost);
  add("rejected", "Items rejected because they could not be parsed.", &S::rejected);
  add("outdated", "Answers ignored because they were older than this node's state.", &S::outdated);
}

/// Counters are the sum of both topics.
void addRelay(MetricTable& table, const source::RelayClient& servers,
              const source::RelayClient& configuration) {
  using S = source::RelayStatistics;
  const auto add = [&](const char* name, const char* meaning, std::uint64_t S::*field) {
    table.addCounter(name, meaning, [&servers, &configuration, field] {
      return static_cast<double>(servers.statistics().*field + configuration.statistics().*field);
    });
  };
  add("relay_source_reads_total", "Reads of the source by this node.", &S::source_reads);
  add("relay_source_failures_total", "Failed reads of the source by this node.",
      &S::source_failures);
  add("relay_peer_reads_total", "Requests to nodes that read the source.", &S::peer_reads);
  add("relay_peer_failures_total", "Failed requests to nodes that read the source.",
      &S::peer_failures);
  table.addGauge("relay_reads_source",
                 "1 while this node reads the source for other nodes, else 0.",
                 [&servers] { return servers.role() == source::ReaderRole::kReader ? 1.0 : 0.0; });
  table.addGauge("relay_relays",
                 "1 while this node relays the state that readers have read, else 0.",
                 [&servers] { return servers.role() == source::ReaderRole::kRelay ? 1.0 : 0.0; });
}

/// Revision of this node's state of the source, and the servers that are not confirmed since a
/// restore.
void addHeld(MetricTable& table, const source::HeldState& held) {
  using source::Topic;
  const auto add = [&](const char* name, const char* meaning,
                       std::uint64_t (*value)(SourceRevision)) {
    table.add({name, runtime::MetricType::kGauge, meaning, {"topic"}, [&held, value] {
                 std::vector<runtime::MetricSample> samples;
                 for (const Topic topic : {Topic::kServers, Topic::kConfiguration}) {
                   samples.push_back({{{"topic", std::string(source::topicName(topic))}},
                                      static_cast<double>(value(held.revision(topic)))});
                 }
                 return samples;
               }});
  };
  add("source_era", "Number of times the source was restored, as far as this node knows.",
      [](SourceRevision revision) { return revision.era.value(); });
  add("source_revision", "Revision of that era up to which this node has the topic.",
      [](SourceRevision revision) { return revision.number.value(); });
  table.addCounter("source_restores_total",
                   "Restores of the source seen by this node, counted for each topic.",
                   [&held] { return static_cast<double>(held.restores()); });
  table.addGauge("servers_unconfirmed",
                 "Servers that the restored source lacks and that have not been written again.",
                 [&held] { return static_cast<double>(held.servers().unconfirmed()); });
  table.addGauge("servers_doubted",
                 "Servers that were removed before the restore but are listed again.",
                 [&held] { return static_cast<double>(held.servers().doubted()); });
}

void addQuotas(MetricTable& table, const admission::QuotaAccounts& quotas) {
  using S = admission::QuotaStatistics;
  addCounters<S>(
      table,
      {{"quota_passed_total", "Requests admitted within their tenant's quota.", &S::passed},
       {"quota_refused_total", "Requests refused because their tenant's quota was exceeded.",
        &S::refused},
       {"quota_asked_total", "Token requests to the owners of quotas.", &S::asked},
       {"quota_ask_failures_total", "Token requests without an answer.", &S::ask_failures},
       {"quota_unowned_total",
        "Requests limited by this node's even share because no owner was available.", &S::unowned}},
      [&quotas] { return quotas.statistics(); });
  table.addGauge("quota_tenants", "Tenants with a quota that are active at this node.",
                 [&quotas] { return static_cast<double>(quotas.tenants()); });
}

void addSuspects(MetricTable& table, const admission::CrashSuspects& suspects,
                 const admission::SuspectGossip& gossip) {
  using S = admission::CrashSuspectStatistics;
  addCounters<S>(table,
                 {{"crash_server_ends_total",
                   "Ends of this machine's server with requests in flight.", &S::server_ends},
                  {"crash_suspects_cleared_total",
                   "Suspected requests cleared because the server answered them.", &S::cleared},
                  {"crash_suspects_forgotten_total",
                   "Records of requests dropped to make room for others.", &S::forgotten}},
                 [&suspects] { return suspects.statistics(); });
  table.addGauge("crash_suspects",
                 "Recorded requests that servers ended under or that were cleared.",
                 [&suspects] { return static_cast<double>(suspects.size()); });
  using G = admission::SuspectGossipStatistics;
  addCounters<G>(
      table,
      {{"crash_exchanges_total", "Exchanges with other nodes about crash suspects.", &G::exchanges},
       {"crash_exchange_failures_total", "Exchanges without an answer.", &G::failures}},
      [&gossip] { return gossip.statistics(); });
}

void addLogLines(MetricTable& table) {
  table.addCounter("log_lines_dropped_total",
                   "Log lines dropped because the reader of the log was too slow.",
                   [] { return static_cast<double>(runtime::standardErrorLines().dropped()); });
}

}  // namespace

MetricTable makeTwoHopMetrics(const TwoHopSources& sources) {
  MetricTable table;
  addEgress(table, sources.egress);
  addIngress(table, sources.ingress);
  addRetries(table, sources.egress.retries());
  addWatch(table, sources.servers.watch, sources.configuration.watch);
  addRelay(table, sources.servers.relay, sources.configuration.relay);
  const source::PeerReader& peers = sources.peers;
  table.addCounter("peer_state_asked_total", "Requests to peers while reads of the source failed.",
                   [&peers] { return static_cast<double>(peers.asked()); });
  table.addCounter("peer_state_learned_total", "Answers of peers with newer state.",
                   [&peers] { return static_cast<double>(peers.learned()); });
  addHeld(table, sources.held);
  addQuotas(table, sources.quotas);
  addSuspects(table, sources.suspects, sources.suspect_gossip);
  addLogLines(table);
  sources.histograms.addTo(table);
  return table;
}

}  // namespace coursepond::node
