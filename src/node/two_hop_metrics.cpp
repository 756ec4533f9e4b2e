#include "node/two_hop_metrics.h"

#include <vector>

#include "core/time_arithmetic.h"
#include "node/metric_counters.h"
#include "runtime/logging.h"

namespace coursepond::node {
namespace {

using runtime::MetricTable;

void addEgress(MetricTable& table, egress::EgressState& state) {
  using S = egress::Statistics;
  addCounters<S>(
      table,
      {{"egress_requests_total", "Requests taken from callers.", &S::requests},
       {"egress_answers_total", "Server answers passed on whole.", &S::answers_forwarded},
       {"egress_attempts_total", "Requests sent to an ingress.", &S::attempts},
       {"egress_repeats_total", "Requests sent to a further server.", &S::repeats},
       {"egress_repeats_denied_total", "Repeats left out for want of allowance.",
        &S::repeats_denied},
       {"egress_hop_refusals_total", "Refusals by ingresses; no server saw the request.",
        &S::hop_refusals},
       {"egress_server_refusals_total", "Refusals by servers.", &S::server_refusals},
       {"egress_hop_failures_total", "Ingresses that could not be reached or were lost.",
        &S::hop_failures},
       {"egress_hop_silences_total", "Ingresses that did not acknowledge a request.",
        &S::hop_receipt_timeouts},
       {"egress_attempts_resumed_total",
        "Attempts at silent ingresses that were waited for again or answered first.",
        &S::attempts_resumed},
       {"egress_bad_answers_total", "Answers that were not the request's own, or unsigned.",
        &S::bad_answers},
       {"egress_refused_total", "Requests answered as not run.", &S::refused},
       {"egress_suspected_total", "Of these, refused since servers ended under such requests.",
        &S::crash_suspects_refused},
       {"egress_bodies_awaited_total",
        "Requests held until their body had arrived, as a crash suspect may have the same head.",
        &S::bodies_awaited},
       {"egress_throttled_total", "Of these, refused at the egress since the service is full.",
        &S::throttled},
       {"egress_refused_late_total",
        "Of these, refused since no answer could arrive before their deadline.", &S::refused_late},
       {"egress_refused_link_total",
        "Of these, refused since no link can send the large answer in time.", &S::refused_link},
       {"egress_large_own_machine_total",
        "Requests with large answers that were sent to the server of this machine.",
        &S::large_own_machine},
       {"egress_large_own_zone_total",
        "Requests with large answers that were sent to another machine of the own zone.",
        &S::large_own_zone},
       {"egress_large_other_zones_total",
        "Requests with large answers that were sent to another zone.", &S::large_other_zones},
       {"egress_unknown_total", "Requests that may have run and have no answer.", &S::unknown},
       {"egress_no_route_total", "Requests without a route.", &S::no_route},
       {"egress_unauthenticated_total", "Requests without an API key that a tenant holds.",
        &S::unauthenticated},
       {"egress_over_quota_total", "Requests beyond their tenant's quota.", &S::over_quota},
       {"egress_callers_gone_total", "Callers that left before their answer.", &S::caller_gone}},
      [&state] { return state.statistics(); });
  table.addGauge("configuration_version_in_force",
                 "The configuration version that requests are served under.",
                 [&state] { return static_cast<double>(state.version().value()); });
}

void addIngress(MetricTable& table, ingress::IngressState& state) {
  using S = ingress::Statistics;
  addCounters<S>(
      table,
      {{"ingress_requests_total", "Requests that egresses sent.", &S::requests},
       {"ingress_answers_total", "Answers of the server passed on.", &S::answers_forwarded},
       {"ingress_queued_total", "Requests that waited for a slot.", &S::queued},
       {"ingress_refused_full_total", "Refused: the expected wait is too long.", &S::refused_full},
       {"ingress_refused_limit_total",
        "Refused: the limit that the server names leaves no request.", &S::refused_limit},
       {"ingress_refused_link_total", "Refused: the link cannot send the large answer in time.",
        &S::refused_link},
       {"ingress_refused_suspects_total", "Refused: servers ended under such requests.",
        &S::refused_suspects},
       {"ingress_withheld_total", "Of these, recognized when the last part of the body arrived.",
        &S::withheld},
       {"ingress_trials_total", "Of such requests, those let in to see whether it ends again.",
        &S::trials},
       {"ingress_refused_rejecting_total", "Turned away: the server rejects much of what it gets.",
        &S::refused_rejecting},
       {"ingress_refused_slow_total",
        "Turned away: the server is slow now and its answer would be late.", &S::refused_slow},
       {"ingress_kept_slots_total",
        "Requests that got no free slot at once, since it is kept for shorter work.",
        &S::kept_slots},
       {"ingress_refused_instance_total",
        "Refused: an instance of unknown service has the server's address.", &S::refused_instance},
       {"ingress_refused_draining_total", "Refused: the server or this node is leaving.",
        &S::refused_draining},
       {"ingress_displaced_total", "Waiting requests that made room.", &S::displaced},
       {"ingress_expired_total", "Requests whose deadline passed.", &S::expired},
       {"ingress_repeated_runs_total", "Requests that another server may have seen before.",
        &S::repeated_runs},
       {"ingress_sends_total", "Requests sent to the server.", &S::sends},
       {"ingress_unreadable_limits_total", "Limits named by the server that could not be read.",
        &S::unreadable_limits},
       {"ingress_unusable_slowness_total",
        "Reports of the server's slowness that are not plausible.", &S::unusable_slowness},
       {"ingress_server_refusals_total", "Refusals by the server.", &S::server_refusals},
       {"ingress_server_unreachable_total", "Connections the server did not take.",
        &S::server_unreachable},
       {"ingress_server_lost_total", "Connections lost with a request on them.", &S::server_lost},
       {"ingress_bad_answers_total", "Answers of the server that were not the request's own.",
        &S::bad_answers},
       {"ingress_delivered_late_total",
        "Requests that were on their way for a quarter of a second longer than others of their "
        "sender.",
        &S::delivered_late},
       {"ingress_callers_gone_total", "Egresses that left before their answer.", &S::caller_gone},
       {"ingress_runs_cancelled_total", "Of these, while the server had the request.",
        &S::runs_cancelled}},
      [&state] { return state.statistics(); });
  table.addGauge("ingress_server_limit",
                 "Requests per second that the server says it accepts; -1 while it names no limit.",
                 [&state] { return state.serverLimit().perSecond().value_or(-1); });
  table.addGauge("ingress_link_backlog_seconds",
                 "How long the link needs for the large answers that wait and that are expected.",
                 [&state] { return toSeconds(state.linkBacklog()); });
  table.addGauge("ingress_server_slowness",
                 "How many times as long as usual work takes at the server now, as it reported.",
                 [&state] { return state.slowness(); });
  table.addGauge("ingress_running", "Requests at the server.",
                 [&state] { return static_cast<double>(state.running()); });
  table.addGauge("ingress_waiting", "Requests that wait for a slot.",
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
             "Requests that a further server may see.",
             {"service", "reason"},
             [&retries] { return repeatsByReason(retries); }});
  add("retry_given_back_total", MetricType::kCounter, "Of the repeats, those that no server saw.",
      [](const auto& account) { return static_cast<double>(account.statistics.given_back); });
  add("retry_denied_total", MetricType::kCounter, "Repeats left out for want of allowance.",
      [](const auto& account) { return static_cast<double>(account.statistics.denied); });
  add("retry_runs_denied_total", MetricType::kCounter,
      "Repeats of runs of this machine's server that were turned away, since the calls they would "
      "make to the service could not be paid for.",
      [](const auto& account) { return static_cast<double>(account.statistics.runs_denied); });
  add("retry_calls_of_repeats_total", MetricType::kCounter,
      "Calls of this machine's server by runs that are repeats.",
      [](const auto& account) { return account.statistics.calls_of_repeats; });
  add("retry_spared_total", MetricType::kCounter,
      "Repeats of calls left out since another call of the same run had failed.",
      [](const auto& account) { return static_cast<double>(account.statistics.spared); });
  table.addCounter("retry_runs_lost_total",
                   "Runs of this machine's server of which a call failed for good.",
                   [&retries] { return static_cast<double>(retries.lostRuns()); });
  table.addCounter(
      "retry_runs_unservable_total",
      "Repeats of runs of this machine's server that were turned away, since most such "
      "runs failed because of their calls.",
      [&retries] { return static_cast<double>(retries.runsUnservable()); });
  add("retry_allowance_left", MetricType::kGauge, "Repeats that may be made now.",
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
  add("lists", "Whole reads of the source.", &S::lists);
  add("reads", "Reads that wait for a change.", &S::watches);
  add("failures", "Reads that failed.", &S::failures);
  add("history_lost", "Times that the source no longer had what changed.", &S::history_lost);
  add("rejected", "Items that could not be read.", &S::rejected);
  add("outdated", "Answers older than what is held, of which nothing is taken.", &S::outdated);
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
  add("relay_source_watches_aborted_total",
      "Watches of the source that were given up, since a list is smaller.",
      &S::source_watches_aborted);
  add("relay_source_bytes_total", "Bytes of the source's answers to this node.", &S::source_bytes);
  add("relay_source_failures_total", "Those that failed.", &S::source_failures);
  add("relay_standby_source_reads_total",
      "Reads of the source that a standby made in place of the readers.", &S::standby_source_reads);
  add("relay_peer_reads_total", "Questions to nodes that read the source.", &S::peer_reads);
  add("relay_peer_failures_total", "Those that failed.", &S::peer_failures);
  add("relay_overlapping_peer_reads_total",
      "Questions asked while an earlier one of the same read was unanswered.",
      &S::overlapping_peer_reads);
  table.addGauge("relay_reads_source", "1 when this node is one that reads the source for others.",
                 [&servers] { return servers.role() == source::ReaderRole::kReader ? 1.0 : 0.0; });
  table.addGauge("relay_relays", "1 when this node relays what readers read.",
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
  add("source_era", "How often the source was restored, as far as this node knows.",
      [](SourceRevision revision) { return revision.era.value(); });
  add("source_revision", "Up to which revision of that era this node knows the topic.",
      [](SourceRevision revision) { return revision.number.value(); });
  table.addCounter("source_restores_total", "Restores of the source that this node saw, by topic.",
                   [&held] { return static_cast<double>(held.restores()); });
  table.addGauge("servers_unconfirmed", "Servers not written again since the source's restore.",
                 [&held] { return static_cast<double>(held.servers().unconfirmed()); });
  table.addGauge("servers_doubted", "Servers that went before the restore and are listed again.",
                 [&held] { return static_cast<double>(held.servers().doubted()); });
}

void addQuotas(MetricTable& table, const admission::QuotaAccounts& quotas) {
  using S = admission::QuotaStatistics;
  addCounters<S>(
      table,
      {{"quota_passed_total", "Requests that their tenant's quota had room for.", &S::passed},
       {"quota_refused_total", "Requests that it had no room for.", &S::refused},
       {"quota_asked_total", "Questions for tokens to the owners of quotas.", &S::asked},
       {"quota_ask_failures_total", "Those without an answer.", &S::ask_failures},
       {"quota_unowned_total", "Requests judged by this node's even share, for want of an owner.",
        &S::unowned}},
      [&quotas] { return quotas.statistics(); });
  table.addGauge("quota_tenants", "Tenants with a quota that are active at this node.",
                 [&quotas] { return static_cast<double>(quotas.tenants()); });
}

void addSuspects(MetricTable& table, const admission::CrashSuspects& suspects,
                 const admission::SuspectGossip& gossip) {
  using S = admission::CrashSuspectStatistics;
  addCounters<S>(table,
                 {{"crash_server_ends_total", "Ends of this machine's server with requests on it.",
                   &S::server_ends},
                  {"crash_suspects_cleared_total",
                   "Requests under suspicion that the server answered.", &S::cleared},
                  {"crash_suspects_forgotten_total", "Requests forgotten to make room for others.",
                   &S::forgotten}},
                 [&suspects] { return suspects.statistics(); });
  table.addGauge("crash_suspects", "Requests under which servers ended, or that were cleared.",
                 [&suspects] { return static_cast<double>(suspects.size()); });
  using G = admission::SuspectGossipStatistics;
  addCounters<G>(
      table,
      {{"crash_exchanges_total", "Exchanges with other nodes on crash suspects.", &G::exchanges},
       {"crash_exchange_failures_total", "Those without an answer.", &G::failures}},
      [&gossip] { return gossip.statistics(); });
}

void addLink(MetricTable& table, const proxy::LinkScheduler& link) {
  using S = proxy::LinkStatistics;
  addCounters<S>(
      table,
      {{"link_small_bytes_total", "Bytes of small output, which is sent at once.", &S::small_bytes},
       {"link_large_bytes_total", "Bytes of large output, which is sent in turns.",
        &S::large_bytes},
       {"link_pieces_total", "Pieces in which large output was sent.", &S::pieces}},
      [&link] { return link.statistics(); });
  table.addGauge("link_backlog_seconds",
                 "Time that the link needs for the large output that waits for a turn.",
                 [&link] { return toSeconds(link.backlog()); });
  table.addGauge("link_waiting_answers", "Large answers and requests that wait for a turn.",
                 [&link] { return static_cast<double>(link.waitingSenders()); });
}

void addTimers(MetricTable& table, const std::function<Duration()>& total_delay) {
  table.addCounter("timer_delay_seconds_total",
                   "Time by which timers ran late, since the process was paused or busy.",
                   [total_delay] { return toSeconds(total_delay()); });
}

void addLogLines(MetricTable& table) {
  table.addCounter("log_lines_dropped_total", "Log lines left out while their reader stood still.",
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
  table.addCounter("peer_state_asked_total", "Questions to peers while the source failed.",
                   [&peers] { return static_cast<double>(peers.asked()); });
  table.addCounter("peer_state_learned_total", "Answers of peers that told something newer.",
                   [&peers] { return static_cast<double>(peers.learned()); });
  addHeld(table, sources.held);
  addQuotas(table, sources.quotas);
  addSuspects(table, sources.suspects, sources.suspect_gossip);
  addLink(table, sources.link);
  addTimers(table, sources.total_timer_delay);
  addLogLines(table);
  sources.histograms.addTo(table);
  return table;
}

}  // namespace coursepond::node
