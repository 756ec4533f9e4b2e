#include "node/node_metrics.h"

#include <string>
#include <utility>
#include <vector>

#include "node/metric_counters.h"

namespace coursepond::node {
namespace {

using control::MessageKind;
using runtime::Metric;
using runtime::MetricSample;
using runtime::MetricTable;
using runtime::MetricType;

constexpr MessageKind kMessageKinds[] = {MessageKind::kMembership, MessageKind::kDistribution,
                                         MessageKind::kAcceptance, MessageKind::kAdmin};

/// One sample of a counter with the label "reason".
template <typename Statistics>
struct ReasonField {
  const char* reason;
  std::uint64_t Statistics::*field;
};

template <typename Statistics, typename Read>
void addReasons(MetricTable& table, std::string name, std::string meaning,
                std::vector<ReasonField<Statistics>> fields, Read read) {
  table.add(Metric{std::move(name),
                   MetricType::kCounter,
                   std::move(meaning),
                   {"reason"},
                   [fields = std::move(fields), read] {
                     const Statistics statistics = read();
                     std::vector<MetricSample> samples;
                     for (const ReasonField<Statistics>& entry : fields) {
                       samples.push_back(
                           MetricSample{{{"reason", entry.reason}},
                                        static_cast<double>(statistics.*entry.field)});
                     }
                     return samples;
                   }});
}

void addGauges(MetricTable& table, const std::function<NodeGauges()>& read) {
  const auto add = [&table, &read](const char* name, const char* meaning, auto value) {
    table.addGauge(name, meaning, [read, value] { return static_cast<double>(value(read())); });
  };
  add("ready", "1 while the node may get requests, else 0.",
      [](const NodeGauges& gauges) { return gauges.ready; });
  add("configuration_version_in_force", "The configuration version that requests are served under.",
      [](const NodeGauges& gauges) { return gauges.in_force.value(); });
  add("configuration_version_accepted", "The highest accepted version this node knows of.",
      [](const NodeGauges& gauges) { return gauges.accepted.value(); });
  add("configuration_version_staged", "The newest version whose content this node holds.",
      [](const NodeGauges& gauges) { return gauges.staged.value(); });
  add("known_nodes", "Nodes of all zones, cut-off ones as last heard.",
      [](const NodeGauges& gauges) { return gauges.known_nodes; });
  add("known_zones", "Zones known, the own one included.",
      [](const NodeGauges& gauges) { return gauges.known_zones; });
  add("reachable_zones", "Zones heard from lately, the own one included.",
      [](const NodeGauges& gauges) { return gauges.reachable_zones; });
  add("requests_in_flight", "Requests of callers that are not answered yet.",
      [](const NodeGauges& gauges) { return gauges.requests_in_flight; });
  add("caller_connections", "Open connections of callers.",
      [](const NodeGauges& gauges) { return gauges.caller_connections; });
  add("peer_connections", "Connections with other nodes, handshake finished.",
      [](const NodeGauges& gauges) { return gauges.peer_connections; });
  add("uptime_seconds", "Time since the process started.",
      [](const NodeGauges& gauges) { return gauges.uptime_seconds; });
  table.add(Metric{
      "role", MetricType::kGauge, "1 while the node holds the role, else 0.", {"role"}, [read] {
        const membership::Roles roles = read().roles;
        return std::vector<MetricSample>{
            {{{"role", "source_reader"}}, roles.source_reader ? 1.0 : 0.0},
            {{{"role", "zone_distributor"}}, roles.zone_distributor ? 1.0 : 0.0},
            {{{"role", "voter"}}, roles.voter ? 1.0 : 0.0}};
      }});
}

void addProxyMetrics(MetricTable& table, const std::function<proxy::ProxyStatistics()>& read) {
  using S = proxy::ProxyStatistics;
  addCounters<S>(
      table,
      {{"proxy_requests_total", "Requests of callers that were begun.", &S::requests},
       {"proxy_answers_forwarded_total", "Back-end answers passed on whole.",
        &S::answers_forwarded},
       {"proxy_answers_cut_total", "Back-end answers that broke off; the caller saw an error.",
        &S::answers_cut},
       {"proxy_attempts_total", "Requests handed to a back-end connection, retries included.",
        &S::attempts},
       {"proxy_retries_total", "Attempts beyond a request's first.", &S::retries},
       {"proxy_retries_denied_total", "Retries not made because the retry budget was spent.",
        &S::retries_denied_budget},
       {"proxy_server_refusals_total", "Not-run answers of back ends, retried ones included.",
        &S::server_refusals},
       {"proxy_queued_total", "Requests that waited for a free back end.", &S::queued},
       {"proxy_outcome_unknown_total", "Requests answered 502 or 504: they may have run.",
        &S::outcome_unknown},
       {"proxy_caller_gone_total", "Requests whose caller left before the answer.",
        &S::caller_gone},
       {"proxy_ejections_total", "Times a back end was left out for its failures.", &S::ejections}},
      read);
  addReasons<S>(table, "proxy_refused_total", "Requests refused by this node; none of them ran.",
                {{"no_route", &S::refused_no_route},
                 {"queue_full", &S::refused_queue_full},
                 {"deadline", &S::refused_deadline},
                 {"no_server", &S::refused_no_server},
                 {"stopping", &S::refused_stopping},
                 {"servers_refused", &S::refused_by_servers},
                 {"batch_shed", &S::shed_batch}},
                read);
}

template <typename Part, typename Read>
auto partOf(const Read& read, Part control::ControlStatistics::*part) {
  return [read, part] { return read().*part; };
}

void addMembershipMetrics(MetricTable& table,
                          const std::function<control::ControlStatistics()>& read) {
  using S = membership::MembershipStatistics;
  addCounters<S>(
      table,
      {{"membership_probes_total", "Failure-detection probes sent.", &S::probes_sent},
       {"membership_indirect_probes_total", "Probes sent through other nodes.",
        &S::indirect_probes_sent},
       {"membership_suspicions_total", "Times a node was suspected.", &S::suspicions},
       {"membership_refutations_total", "Suspicions that were refuted.", &S::refutations},
       {"membership_deaths_total", "Nodes declared dead.", &S::deaths},
       {"membership_joins_total", "Join requests sent.", &S::joins_sent},
       {"membership_joins_served_total", "Join requests answered with the zone's nodes.",
        &S::joins_served},
       {"membership_syncs_total",
        "Table copies asked for, since digests differed or after a pause.", &S::syncs_sent},
       {"membership_zone_reports_total", "Reports of other zones made by this node.",
        &S::zone_reports},
       {"membership_joins_deferred_total", "Join requests answered \"later\" by the cap.",
        &S::joins_deferred},
       {"membership_pauses_total", "Times this process found that it had been paused.",
        &S::pauses_detected}},
      partOf(read, &control::ControlStatistics::membership));
}

void addDistributionMetrics(MetricTable& table,
                            const std::function<control::ControlStatistics()>& read) {
  using S = distribution::ReplicaStatistics;
  addCounters<S>(
      table,
      {{"distribution_snapshots_applied_total", "Configuration versions put in force.",
        &S::snapshots_applied},
       {"distribution_deltas_applied_total", "Contents received as a delta.", &S::deltas_applied},
       {"distribution_full_contents_total", "Contents received whole.", &S::full_contents_received},
       {"distribution_content_rejected_total", "Contents refused whole, with a typed reason.",
        &S::content_rejected},
       {"distribution_anti_entropy_rounds_total", "Comparisons with a random peer.",
        &S::anti_entropy_rounds},
       {"distribution_repairs_total", "Comparisons that found something missing.", &S::repairs},
       {"distribution_endpoint_changes_total", "Changes of endpoint sets taken over.",
        &S::endpoint_changes_applied},
       {"distribution_endpoint_repairs_total", "Of these, those that a push had missed.",
        &S::endpoint_repairs},
       {"distribution_busy_refusals_total",
        "Whole contents not handed out because the rate was used up.", &S::busy_refusals},
       {"distribution_secrets_refused_total",
        "Secrets not handed out because the asking node's zone is not known.", &S::secrets_refused},
       {"distribution_documents_requested_total",
        "Times a document had to be read from the platform again for lost content or secrets.",
        &S::documents_requested},
       {"distribution_pauses_total", "Pauses after which peers were asked anew.", &S::pauses},
       {"distribution_adopted_after_loss_total",
        "Published versions adopted without a witness after all nodes were lost.",
        &S::adopted_after_loss}},
      partOf(read, &control::ControlStatistics::replica));
}

void addSourceMetrics(MetricTable& table, const std::function<control::ControlStatistics()>& read) {
  using S = source::SourceStatistics;
  const auto source = partOf(read, &control::ControlStatistics::source);
  addCounters<S>(
      table,
      {{"source_reads_total", "Requests sent to the platform, of any kind.", &S::reads},
       {"source_not_modified_total", "Reads answered \"nothing new\".", &S::not_modified},
       {"source_failures_total", "Reads that failed or timed out.", &S::failures},
       {"source_versions_staged_total", "Documents read and passed on.", &S::versions_staged},
       {"source_machine_lists_total", "Newer machine lists passed on.", &S::machine_lists},
       {"source_skipped_total", "Reads not made because the reader role was lost.",
        &S::skipped_role},
       {"source_late_answers_total",
        "Answers that came after a timeout, a pause or the loss of the role; unused.",
        &S::late_answers},
       {"source_bootstrap_reads_total", "Machine lists read for want of any peer.",
        &S::bootstrap_reads}},
      source);
  addReasons<S>(table, "source_refused_total", "Answers of the platform refused whole.",
                {{"malformed", &S::malformed}, {"stale", &S::stale}}, source);
}

void addPlanMetrics(MetricTable& table, const std::function<control::ControlStatistics()>& read) {
  using S = control::ControlStatistics;
  addCounters<S>(
      table,
      {{"plans_made_total", "Plans answered to operators.", &S::plans_made},
       {"plans_confirmed_total", "Confirmations answered \"accepted\".", &S::plans_confirmed},
       {"plans_refused_total", "Confirmations refused; nothing took effect.", &S::plans_refused},
       {"plans_unknown_total", "Confirmations answered \"outcome unknown\".", &S::plans_unknown},
       {"admin_unauthorized_total", "API requests without the right token.",
        &S::admin_unauthorized}},
      read);
}

using TrafficField = runtime::KindTraffic runtime::PeerStatistics::*;
using TrafficValues = std::array<std::uint64_t, runtime::KindTraffic::kKinds>;

void addTraffic(MetricTable& table, std::string name, std::string meaning, TrafficField direction,
                TrafficValues runtime::KindTraffic::*values,
                const std::function<runtime::PeerStatistics()>& read) {
  table.add(Metric{std::move(name),
                   MetricType::kCounter,
                   std::move(meaning),
                   {"kind"},
                   [direction, values, read] {
                     const runtime::PeerStatistics statistics = read();
                     std::vector<MetricSample> samples;
                     for (const MessageKind kind : kMessageKinds) {
                       const auto value =
                           (statistics.*direction.*values)[static_cast<std::size_t>(kind)];
                       samples.push_back(MetricSample{{{"kind", std::string(kindName(kind))}},
                                                      static_cast<double>(value)});
                     }
                     return samples;
                   }});
}

void addPeerMetrics(MetricTable& table, const std::function<runtime::PeerStatistics()>& read) {
  using S = runtime::PeerStatistics;
  using T = runtime::KindTraffic;
  addTraffic(table, "peer_sent_bytes_total", "Bytes sent to other nodes, frame headers included.",
             &S::sent, &T::bytes, read);
  addTraffic(table, "peer_received_bytes_total", "Bytes received from other nodes, likewise.",
             &S::received, &T::bytes, read);
  addTraffic(table, "peer_sent_messages_total", "Messages sent to other nodes.", &S::sent,
             &T::messages, read);
  addTraffic(table, "peer_received_messages_total", "Messages received from other nodes.",
             &S::received, &T::messages, read);
  addCounters<S>(
      table,
      {{"peer_handshake_sent_bytes_total", "Bytes of hellos and their answers sent.",
        &S::handshake_bytes_sent},
       {"peer_handshake_received_bytes_total", "Bytes of hellos and their answers received.",
        &S::handshake_bytes_received},
       {"peer_connects_total", "Connections this node opened, handshake finished.", &S::connects},
       {"peer_connect_failures_total", "Connections that could not be opened.",
        &S::connect_failures},
       {"peer_accepts_total", "Connections taken from other nodes.", &S::accepts},
       {"peer_handshakes_deferred_total", "Peers told \"later\" by the handshake cap.",
        &S::handshakes_deferred},
       {"peer_told_later_total", "Times this node was told \"later\".",
        &S::handshakes_deferred_by_peer},
       {"peer_closed_idle_total", "Connections closed for want of messages.", &S::closed_idle},
       {"peer_closed_stalled_total", "Connections closed because writing made no progress.",
        &S::closed_stalled},
       {"peer_messages_replaced_total", "Queued messages that newer state took the place of.",
        &S::messages_replaced}},
      read);
  addReasons<S>(table, "peer_dropped_messages_total", "Messages that were not sent.",
                {{"queue_full", &S::dropped_queue_full},
                 {"unreachable", &S::dropped_unreachable},
                 {"no_address", &S::dropped_no_address}},
                read);
  addReasons<S>(table, "peer_refused_total", "Connections, hellos and frames that were refused.",
                {{"connection_limit", &S::refused_connection_limit},
                 {"handshake_timeout", &S::refused_handshake_timeout},
                 {"malformed_hello", &S::refused_malformed_hello},
                 {"wrong_version", &S::refused_wrong_version},
                 {"wrong_mesh", &S::refused_wrong_mesh},
                 {"wrong_identity", &S::refused_wrong_identity},
                 {"malformed", &S::refused_malformed},
                 {"oversized", &S::refused_oversized},
                 {"truncated", &S::refused_truncated}},
                read);
}

void addCallerMetrics(MetricTable& table,
                      const std::function<runtime::ProxyServerStatistics()>& read) {
  using S = runtime::ProxyServerStatistics;
  addCounters<S>(
      table,
      {{"caller_connections_total", "Connections taken from callers.", &S::connections_accepted},
       {"caller_connections_refused_total", "Connections of callers over the limit.",
        &S::connections_refused},
       {"caller_requests_total", "Requests whose head passed the checks.", &S::requests},
       {"caller_answers_total", "Answers passed to callers whole, refusals included.", &S::answers},
       {"caller_answers_cut_total", "Connections of callers cut inside an answer.",
        &S::answers_cut},
       {"caller_cut_at_stop_total", "Requests still in flight when a planned stop timed out.",
        &S::cut_at_stop}},
      read);
  table.add(Metric{"caller_refused_total",
                   MetricType::kCounter,
                   "Requests refused for their form; none of them ran.",
                   {"reason"},
                   [read] {
                     const runtime::RefusalCounts counts = read().refusals;
                     std::vector<MetricSample> samples;
                     for (std::size_t i = 0; i < counts.size(); ++i) {
                       const auto reason = static_cast<runtime::RefusalReason>(i);
                       samples.push_back(
                           MetricSample{{{"reason", std::string(runtime::reasonName(reason))}},
                                        static_cast<double>(counts[i])});
                     }
                     return samples;
                   }});
}

void addUpstreamMetrics(MetricTable& table,
                        const std::function<runtime::UpstreamStatistics()>& read) {
  using S = runtime::UpstreamStatistics;
  addCounters<S>(table,
                 {{"upstream_connects_total", "Connections opened to back ends.", &S::connects},
                  {"upstream_connect_failures_total", "Connections to back ends that failed.",
                   &S::connect_failures},
                  {"upstream_reuses_total", "Requests sent over a kept connection.", &S::reuses},
                  {"upstream_closed_idle_total", "Kept connections that closed without a request.",
                   &S::closed_while_idle},
                  {"upstream_abandoned_total",
                   "Connections closed with a request on them, never reused.", &S::abandoned},
                  {"upstream_over_budget_total",
                   "Connections not opened because this node's share of the back end was used up.",
                   &S::over_budget}},
                 read);
}

void addAdminMetrics(MetricTable& table,
                     const std::function<runtime::HttpServerStatistics()>& read) {
  using S = runtime::HttpServerStatistics;
  addCounters<S>(table,
                 {{"admin_requests_total", "Requests to the administration port.", &S::requests},
                  {"admin_connections_total", "Connections to the administration port.",
                   &S::connections_accepted}},
                 read);
  addReasons<S>(table, "admin_refused_total",
                "Connections and requests refused on the administration port.",
                {{"connection_limit", &S::connections_refused},
                 {"too_large", &S::refused_too_large},
                 {"malformed", &S::refused_malformed},
                 {"slow", &S::refused_slow}},
                read);
}

void addLogMetrics(MetricTable& table, const std::function<LogCounters()>& read) {
  addCounters<LogCounters>(table,
                           {{"log_lines_total", "Log lines written.", &LogCounters::written},
                            {"log_lines_suppressed_total", "Log lines left out by the limit.",
                             &LogCounters::suppressed}},
                           read);
}

}  // namespace

runtime::MetricTable makeNodeMetrics(const MetricSources& sources) {
  MetricTable table;
  addGauges(table, sources.gauges);
  addProxyMetrics(table, sources.proxy);
  addCallerMetrics(table, sources.callers);
  addUpstreamMetrics(table, sources.upstream);
  addMembershipMetrics(table, sources.control);
  addDistributionMetrics(table, sources.control);
  addSourceMetrics(table, sources.control);
  addPlanMetrics(table, sources.control);
  addPeerMetrics(table, sources.peers);
  addAdminMetrics(table, sources.admin);
  addLogMetrics(table, sources.log);
  return table;
}

}  // namespace coursepond::node
