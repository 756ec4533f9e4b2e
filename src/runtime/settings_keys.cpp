#include "runtime/settings_keys.h"

#include <algorithm>
#include <limits>
#include <numeric>

#include "runtime/setting_types.h"

namespace coursepond::runtime {
namespace {

constexpr std::int64_t kMinuteMs = 60'000;
constexpr std::int64_t kHourMs = 3'600'000;
constexpr std::int64_t kMebibyte = 1 << 20;
constexpr std::int64_t kGibibyte = 1 << 30;
constexpr char kBytes[] = " of bytes";

using Keys = std::vector<SettingKey>;

// Accesses one field, for reading and for writing.
#define FIELD(path) ([](auto& settings) -> auto& { return settings.path; })

void addNodeKeys(Keys& keys) {
  const std::string section = "node";
  keys.push_back(nameKey<NodeId>(section, "id", NameUse::kRequired,
                                 "This machine's name, unique in the mesh.", FIELD(node.id)));
  keys.push_back(nameKey<ZoneId>(section, "zone", NameUse::kRequired, "The zone of this machine.",
                                 FIELD(node.zone)));
  keys.push_back(addressKey(section, "caller_listen", AddressUse::kListen,
                            "Where callers send their requests.", FIELD(node.caller_listen)));
  keys.push_back(addressKey(section, "peer_listen", AddressUse::kListen,
                            "Where other nodes connect.", FIELD(node.peer_listen)));
  keys.push_back(addressKey(section, "peer_advertise", AddressUse::kOptionalConnect,
                            "The address that other nodes connect to; empty: `peer_listen`. "
                            "Required when `peer_listen` is 0.0.0.0 or ::.",
                            FIELD(node.peer_advertise)));
  keys.push_back(addressKey(section, "admin_listen", AddressUse::kListen,
                            "Where the operator API, metrics and the status page are served.",
                            FIELD(node.admin_listen)));
  keys.push_back(millisecondsKey(section, "stop_delay_ms", {0, kHourMs},
                                 "How long a planned stop continues to accept connections after "
                                 "readiness fails, so that load balancers notice first.",
                                 FIELD(node.stop_delay)));
  keys.push_back(millisecondsKey(section, "stop_linger_ms", {0, kHourMs},
                                 "How long after that delay a two-hop node waits for a moment "
                                 "without requests before it stops accepting anyway.",
                                 FIELD(node.stop_linger)));
  keys.push_back(millisecondsKey(section, "stop_grace_ms", {0, kHourMs},
                                 "How long a planned stop still accepts requests on open "
                                 "connections; each answer asks the caller to close.",
                                 FIELD(node.stop_grace)));
  keys.push_back(
      millisecondsKey(section, "stop_timeout_ms", {100, kHourMs},
                      "How long a planned stop waits for requests in flight before it cuts them.",
                      FIELD(node.stop_timeout)));
}

void addPromiseKeys(Keys& keys) {
  const std::string section(kPromisesSection);
  keys.push_back(
      millisecondsKey(section, "leaving_ms", {0, kHourMs},
                      "Time after which a server that announced that it is leaving gets no new "
                      "work. 0, here and below: the components keep their own times.",
                      FIELD(promises.leaving)));
  keys.push_back(millisecondsKey(
      section, "in_force_ms", {0, kHourMs},
      "Time after which a version that a watchable source acknowledged is in force on every node.",
      FIELD(promises.in_force)));
  keys.push_back(millisecondsKey(
      section, "settled_ms", {0, kHourMs},
      "Time after the last failure of a node or the source until those two hold again.",
      FIELD(promises.settled)));
  keys.push_back(
      millisecondsKey(section, "stop_ms", {0, kHourMs},
                      "Longest duration of a planned stop; after that the process is killed.",
                      FIELD(promises.stop)));
  keys.push_back(percentKey(section, "repeat_ratio_percent", {0, 100},
                            "Arrivals at a service beyond the first of each request, from all "
                            "nodes, relative to the requests for it.",
                            FIELD(promises.repeat_ratio)));
  keys.push_back(numberKey(section, "repeat_burst", {0, 100'000}, "",
                           "Further such arrivals that are allowed in a burst.",
                           FIELD(promises.repeat_burst)));
  keys.push_back(percentKey(section, "cold_overshoot_percent", {0, 10'000},
                            "Requests that a cold server may get in any second, relative to the "
                            "rate that its service declares for cold servers.",
                            FIELD(promises.cold_overshoot)));
  keys.push_back(percentKey(section, "quota_overshoot_percent", {0, 100},
                            "How far all nodes together may exceed a tenant's quota, relative to "
                            "the quota, even while they cannot reach each other.",
                            FIELD(promises.quota_overshoot)));
  keys.push_back(
      numberKey(section, "cold_burst", {0, 100'000}, "",
                "Further requests that a cold server may get beyond `cold_overshoot_percent`.",
                FIELD(promises.cold_burst)));
}

void addPlatformKeys(Keys& keys) {
  const std::string section = "platform";
  keys.push_back(addressKey(section, "address", AddressUse::kConnect,
                            "The platform's read-only service.", FIELD(platform.address)));
  keys.push_back(millisecondsKey(
      section, "timeout_ms", {10, kMinuteMs},
      "How long a read waits for the start of its answer, and for each further part.",
      FIELD(control.source.read_timeout)));
  keys.push_back(millisecondsKey(section, "version_interval_ms", {50, kHourMs},
                                 "Time between two reads of the newest version's number, by a node "
                                 "that holds the reader role.",
                                 FIELD(control.source.version_interval)));
  keys.push_back(millisecondsKey(section, "machines_interval_ms", {50, kHourMs},
                                 "Time between two reads of the machine list by such a node.",
                                 FIELD(control.source.machines_interval)));
  keys.push_back(millisecondsKey(
      section, "backoff_base_ms", {10, kHourMs},
      "Ceiling of the random wait after a first failed read; it doubles with each further failure.",
      FIELD(control.source.backoff_base)));
  keys.push_back(millisecondsKey(section, "backoff_limit_ms", {100, kHourMs},
                                 "Upper bound for that ceiling.",
                                 FIELD(control.source.backoff_limit)));
  keys.push_back(millisecondsKey(section, "bootstrap_patience_ms", {0, kHourMs},
                                 "How long a new node waits for its seeds before it asks the "
                                 "platform for the machine list.",
                                 FIELD(control.source.bootstrap_patience)));
  keys.push_back(numberKey(section, "answer_limit_bytes", {1024, kGibibyte}, kBytes,
                           "Larger answers of the platform are rejected.",
                           FIELD(platform.answer_limit_bytes)));
}

Result<ZoneId> readZone(const std::string& text) {
  if (std::optional<Error> error = checkName(text)) return *error;
  return ZoneId(text);
}

std::string formatZone(const ZoneId& zone) { return zone.value(); }

void addMeshKeys(Keys& keys) {
  const std::string section = "mesh";
  keys.push_back(nameKey<std::string>(section, "name", NameUse::kDefaulted,
                                      "Nodes of another mesh name are refused as peers.",
                                      FIELD(mesh_name)));
  keys.push_back(
      listKey(section, "zones", "a list of zone names",
              "All zones of the mesh, the same on every node. They count towards the majority that "
              "a confirmation needs even before anything is received from them.",
              readZone, formatZone, FIELD(control.zones)));
  keys.push_back(
      listKey(section, "seeds", "a list of \"ZONE/ID@IP:PORT\"",
              "Nodes through which this node joins before it asks the platform for others.",
              readSeed, formatSeed, FIELD(control.seeds)));
  keys.push_back(choiceKey<distribution::AcceptanceMode>(
      section, "acceptance", "Whether a published version waits for an operator's confirmation.",
      {{"operator", distribution::AcceptanceMode::kOperator},
       {"automatic", distribution::AcceptanceMode::kAutomatic}},
      FIELD(control.distribution.acceptance)));
  keys.push_back(millisecondsKey(section, "join_spread_ms", {0, kMinuteMs},
                                 "The first attempt to join starts at a random time within this.",
                                 FIELD(control.membership.join_spread)));
  keys.push_back(millisecondsKey(
      section, "join_timeout_ms", {100, kHourMs},
      "A new node that knows no peer for this long counts as the first of its mesh.",
      FIELD(control.membership.join_timeout)));
  keys.push_back(millisecondsKey(section, "join_timeout_unanswered_ms", {100, kHourMs},
                                 "The same when peers are listed but none answers.",
                                 FIELD(control.membership.join_timeout_unanswered)));
  keys.push_back(
      numberKey(section, "joins_per_second", {1, 100'000}, "",
                "Joins and table copies served per second; further ones are told to retry later.",
                FIELD(control.membership.handshakes_per_second)));
  keys.push_back(millisecondsKey(section, "probe_interval_ms", {20, kMinuteMs},
                                 "Time between two failure-detection probes of one node.",
                                 FIELD(control.membership.probe_interval)));
  keys.push_back(millisecondsKey(section, "probe_timeout_ms", {5, kMinuteMs},
                                 "A probe without an answer is repeated through other nodes after "
                                 "this.",
                                 FIELD(control.membership.probe_timeout)));
  keys.push_back(
      millisecondsKey(section, "indirect_timeout_ms", {5, kMinuteMs},
                      "Without an answer to those within this time, the node is suspected.",
                      FIELD(control.membership.indirect_timeout)));
  keys.push_back(millisecondsKey(
      section, "suspicion_timeout_ms", {20, kHourMs},
      "A suspected node that does not refute the suspicion within this time counts as dead.",
      FIELD(control.membership.suspicion_timeout)));
  keys.push_back(millisecondsKey(section, "zone_probe_interval_ms", {20, kMinuteMs},
                                 "Time between two probes of another zone, by each of the few "
                                 "nodes that probe it.",
                                 FIELD(control.membership.zone_probe_interval)));
  keys.push_back(
      millisecondsKey(section, "reachability_timeout_ms", {100, kHourMs},
                      "A zone from which nothing was received for this long counts as unreachable.",
                      FIELD(control.membership.reachability_timeout)));
  keys.push_back(
      millisecondsKey(section, "pause_threshold_ms", {50, kHourMs},
                      "A timer that fires late by this much means that the process was paused.",
                      FIELD(control.membership.pause_threshold)));
}

void addDistributionKeys(Keys& keys) {
  const std::string section = "distribution";
  keys.push_back(numberKey(section, "tree_fanout", {2, 64}, "",
                           "Children of one node in the push tree of its zone.",
                           FIELD(control.distribution.tree_fanout)));
  keys.push_back(millisecondsKey(section, "anti_entropy_interval_ms", {20, kHourMs},
                                 "Time between two comparisons with a random peer.",
                                 FIELD(control.distribution.anti_entropy_interval)));
  keys.push_back(millisecondsKey(section, "cold_interval_ms", {10, kHourMs},
                                 "The same while a node is new or was paused.",
                                 FIELD(control.distribution.cold_interval)));
  keys.push_back(millisecondsKey(section, "report_interval_ms", {100, kHourMs},
                                 "Time between two reports of an unchanged proxy's state.",
                                 FIELD(control.distribution.report_interval)));
  keys.push_back(millisecondsKey(section, "report_expiry_ms", {200, 24 * kHourMs},
                                 "A proxy that has reported nothing for this long is forgotten.",
                                 FIELD(control.distribution.report_expiry)));
  keys.push_back(millisecondsKey(
      section, "fetch_timeout_ms", {10, kMinuteMs},
      "Content that does not arrive within this time is requested from another peer.",
      FIELD(control.distribution.fetch_timeout)));
  keys.push_back(millisecondsKey(section, "adoption_wait_ms", {100, kHourMs},
                                 "When every reachable node is new: how long before the newest "
                                 "published version is adopted without a witness.",
                                 FIELD(control.distribution.adoption_wait)));
  keys.push_back(millisecondsKey(section, "adoption_wait_cut_off_ms", {100, 24 * kHourMs},
                                 "The same while a known zone cannot be reached.",
                                 FIELD(control.distribution.adoption_wait_cut_off)));
  keys.push_back(numberKey(section, "content_limit_bytes", {1024, kGibibyte}, kBytes,
                           "Largest configuration after decompression.",
                           FIELD(control.distribution.content_size_limit)));
}

void addConfirmKeys(Keys& keys) {
  const std::string section = "confirm";
  keys.push_back(millisecondsKey(section, "lease_ms", {100, kMinuteMs},
                                 "How long a zone's consent to a plan remains valid.",
                                 FIELD(control.acceptance.lease)));
  keys.push_back(millisecondsKey(section, "prepare_timeout_ms", {50, kMinuteMs},
                                 "How long consent is collected before the plan is refused.",
                                 FIELD(control.acceptance.prepare_timeout)));
  keys.push_back(millisecondsKey(section, "commit_timeout_ms", {50, kMinuteMs},
                                 "How long a majority of zones has to hold the accepted version "
                                 "before the answer is \"outcome unknown\".",
                                 FIELD(control.acceptance.commit_timeout)));
}

void addPeerKeys(Keys& keys) {
  const std::string section = "peer";
  keys.push_back(numberKey(section, "frame_limit_bytes", {4096, kGibibyte}, kBytes,
                           "Largest message between nodes.", FIELD(peer.frame_limit_bytes)));
  keys.push_back(numberKey(
      section, "queue_limit_bytes", {4096, kGibibyte}, kBytes,
      "Size of the queue for one peer; messages that would exceed it are dropped and counted.",
      FIELD(peer.queue_limit_bytes)));
  keys.push_back(numberKey(section, "handshakes_per_second", {1, 100'000}, "",
                           "Handshakes answered per second; further peers are told to retry later.",
                           FIELD(peer.handshakes_per_second)));
  keys.push_back(numberKey(section, "connection_limit", {1, 100'000}, "",
                           "Connections from other nodes.", FIELD(peer.connection_limit)));
  keys.push_back(millisecondsKey(section, "connect_timeout_ms", {10, kMinuteMs},
                                 "Timeout of a TCP connect.", FIELD(peer.connect_timeout)));
  keys.push_back(
      millisecondsKey(section, "handshake_timeout_ms", {10, kMinuteMs},
                      "A connection without a complete hello within this time is closed.",
                      FIELD(peer.handshake_timeout)));
  keys.push_back(millisecondsKey(section, "reconnect_min_ms", {1, kMinuteMs},
                                 "Ceiling of the random wait before a first reconnect; it doubles "
                                 "with each failure.",
                                 FIELD(peer.reconnect_min)));
  keys.push_back(millisecondsKey(section, "reconnect_max_ms", {1, kHourMs},
                                 "Upper bound for that ceiling.", FIELD(peer.reconnect_max)));
  keys.push_back(millisecondsKey(section, "idle_timeout_ms", {100, kHourMs},
                                 "A connection without messages for this long is closed.",
                                 FIELD(peer.idle_timeout)));
}

void addProxyKeys(Keys& keys) {
  const std::string section = "proxy";
  keys.push_back(numberKey(section, "connection_limit", {1, 1'000'000}, "",
                           "Connections from callers.", FIELD(proxy.connection_limit)));
  keys.push_back(numberKey(section, "header_limit_bytes", {1024, kMebibyte}, kBytes,
                           "Largest head of a request or answer.",
                           FIELD(proxy.header_limit_bytes)));
  keys.push_back(numberKey(section, "body_limit_bytes", {0, kGibibyte}, kBytes,
                           "Largest body of a request; 0: any, since bodies are streamed.",
                           FIELD(proxy.body_limit_bytes)));
  keys.push_back(millisecondsKey(section, "header_timeout_ms", {10, kHourMs},
                                 "A caller that takes longer to send a request's head is cut off.",
                                 FIELD(proxy.header_timeout)));
  keys.push_back(millisecondsKey(section, "body_timeout_ms", {10, kHourMs},
                                 "Longest pause inside the body of a caller's request.",
                                 FIELD(proxy.body_timeout)));
  keys.push_back(millisecondsKey(section, "write_timeout_ms", {10, kHourMs},
                                 "A caller that takes longer to accept a piece of its answer is "
                                 "cut off.",
                                 FIELD(proxy.write_timeout)));
  keys.push_back(millisecondsKey(section, "idle_timeout_ms", {10, kHourMs},
                                 "A caller's connection without requests is closed after this.",
                                 FIELD(proxy.idle_timeout)));
  keys.push_back(numberKey(section, "warm_connections", {0, 1000}, "",
                           "Idle connections held open towards each back end, within its share.",
                           FIELD(proxy.warm_connections)));
  keys.push_back(millisecondsKey(section, "longest_deadline_ms", {10, kHourMs},
                                 "Upper bound for the deadline that a caller requests.",
                                 FIELD(data_path.longest_deadline)));
  keys.push_back(millisecondsKey(section, "longest_wait_ms", {0, kHourMs},
                                 "Longest wait of a request for a free server, whatever its "
                                 "deadline.",
                                 FIELD(data_path.admission.longest_wait)));
  keys.push_back(millisecondsKey(section, "slow_start_ms", {0, kHourMs},
                                 "How long a new or returning server takes to reach its full "
                                 "share.",
                                 FIELD(data_path.balancer.slow_start)));
  keys.push_back(numberKey(section, "ejection_failures", {1, 1000}, "",
                           "Consecutive failures after which a server is ejected for a while.",
                           FIELD(data_path.outlier.consecutive_failures)));
  keys.push_back(millisecondsKey(section, "base_ejection_ms", {10, kHourMs},
                                 "Length of a server's first ejection; it doubles with each "
                                 "further one.",
                                 FIELD(data_path.outlier.base_ejection)));
  keys.push_back(millisecondsKey(section, "leaving_mark_hold_ms", {0, kHourMs},
                                 "Minimum time for which a server's leaving mark is kept.",
                                 FIELD(data_path.leaving_mark_hold)));
}

std::optional<Error> checkZoneRegions(const std::string& text) {
  if (parseZoneRegions(text)) return std::nullopt;
  return Error{ErrorKind::kInvalidArgument, "the text is not a JSON object with string values",
               "write the region of each zone, as in '{\"north\": \"island\"}'"};
}

void addTwoHopKeys(Keys& keys) {
  const std::string section = "two_hop";
  keys.push_back(addressKey(section, "ingress_listen", AddressUse::kOptionalConnect,
                            "Where other nodes' egresses connect. Set: this node owns the one "
                            "server of its machine. Empty: it reaches servers directly.",
                            FIELD(two_hop.ingress_listen)));
  keys.push_back(addressKey(section, "server", AddressUse::kOptionalConnect,
                            "This machine's server.", FIELD(two_hop.server)));
  keys.push_back(nameKey<ServiceName>(section, "service", NameUse::kMayBeEmpty,
                                      "That server's service.", FIELD(two_hop.service)));
  keys.push_back(textKey(section, "zone_regions", "a JSON object with string values, or empty text",
                         "The region of each zone, for routes that name regions.", checkZoneRegions,
                         FIELD(two_hop.zone_regions)));
}

void addLinkKeys(Keys& keys) {
  const std::string section = "link";
  keys.push_back(decimalKey(section, "megabits_per_second", {0, 1'000'000},
                            "Rate of the machine's link, for all that it sends. Large output is "
                            "then sent in pieces, so that small output does not wait behind it; 0: "
                            "not known, everything is sent at once.",
                            FIELD(link.megabits_per_second)));
}

void addWatchKeys(Keys& keys) {
  const std::string section = "watch";
  keys.push_back(millisecondsKey(section, "wait_ms", {50, 30'000},
                                 "How long one read of a watchable source waits for a change.",
                                 FIELD(watch.wait)));
  keys.push_back(millisecondsKey(
      section, "gather_ms", {0, kMinuteMs},
      "Pause after a read that returned changes, so that further ones arrive together in one read.",
      FIELD(watch.gather)));
  keys.push_back(millisecondsKey(section, "answer_timeout_ms", {10, kMinuteMs},
                                 "How long beyond that a read may take.",
                                 FIELD(watch.answer_timeout)));
  keys.push_back(millisecondsKey(section, "patient_timeout_ms", {10, kMinuteMs},
                                 "The same after a read that failed.",
                                 FIELD(watch.patient_timeout)));
  keys.push_back(millisecondsKey(section, "backoff_base_ms", {1, kMinuteMs},
                                 "The first pause after a failed read; it doubles with each "
                                 "further one.",
                                 FIELD(watch.backoff_base)));
  keys.push_back(millisecondsKey(section, "backoff_limit_ms", {1, kMinuteMs},
                                 "Upper bound for that pause.", FIELD(watch.backoff_limit)));
  keys.push_back(millisecondsKey(section, "relist_ms", {0, kHourMs},
                                 "How often everything is read again; 0: never.",
                                 FIELD(watch.relist)));
}

void addRelayKeys(Keys& keys) {
  const std::string section = "relay";
  keys.push_back(millisecondsKey(section, "source_wait_ms", {10, 30'000},
                                 "How long a read of a watchable source waits for a change while "
                                 "other nodes wait here for its result.",
                                 FIELD(relay.source_wait)));
  keys.push_back(millisecondsKey(section, "source_slack_ms", {10, kMinuteMs},
                                 "How long beyond that it may take.", FIELD(relay.source_slack)));
  keys.push_back(
      millisecondsKey(section, "peer_wait_ms", {10, 30'000},
                      "How long a query to a node that reads the source waits for a change.",
                      FIELD(relay.peer_wait)));
  keys.push_back(millisecondsKey(section, "peer_slack_ms", {10, kMinuteMs},
                                 "How long beyond that it may take.", FIELD(relay.peer_slack)));
  keys.push_back(millisecondsKey(section, "configuration_wait_ms", {10, 30'000},
                                 "Replaces both waits when the configuration is requested.",
                                 FIELD(relay.configuration_wait)));
  keys.push_back(millisecondsKey(
      section, "stall_limit_ms", {10, kMinuteMs},
      "An answer that has started is abandoned when nothing more of it arrives for this long.",
      FIELD(relay.stall_limit)));
  keys.push_back(millisecondsKey(section, "avoid_silent_ms", {0, kMinuteMs},
                                 "How long a node that did not answer is not queried.",
                                 FIELD(relay.avoid_silent_parent)));
  keys.push_back(millisecondsKey(section, "avoid_unfit_ms", {0, kMinuteMs},
                                 "The same for a node that does not currently read the source.",
                                 FIELD(relay.avoid_stale_parent)));
  keys.push_back(millisecondsKey(section, "next_parent_ms", {1, kMinuteMs},
                                 "How long a node that should answer at once may take before the "
                                 "next one is queried too.",
                                 FIELD(relay.next_parent_delay)));
  keys.push_back(
      millisecondsKey(section, "avoid_source_ms", {0, kMinuteMs},
                      "How long a reader that the source refused queries other nodes instead.",
                      FIELD(relay.avoid_source)));
}

void addEgressKeys(Keys& keys) {
  const std::string section = "egress";
  keys.push_back(millisecondsKey(section, "configuration_certain_ms", {0, kHourMs},
                                 "A node that has received nothing about the configuration for "
                                 "longer than this answers 503 instead of 404; 0: never.",
                                 FIELD(egress.configuration_certain_for)));
  keys.push_back(
      percentKey(section, "retry_ratio_percent", {0, 100},
                 "Repeats that one node may add to a service, relative to its first attempts.",
                 FIELD(retries.ratio)));
  keys.push_back(numberKey(section, "retry_burst", {0, 100'000}, "",
                           "Repeats that all nodes together may add in a burst.",
                           FIELD(retries.burst)));
  keys.push_back(
      numberKey(section, "servers_compared", {1, 10'000}, "",
                "Number of servers in the node's own zone, and of servers in other zones, that are "
                "drawn at random for a request; the cheapest one is used.",
                FIELD(egress.servers_compared)));
  keys.push_back(percentKey(
      section, "remote_zone_cost_percent", {0, 10'000},
      "Additional cost of a server in another zone; 100: the cost of one whole idle server.",
      FIELD(egress.remote_zone_cost)));
  keys.push_back(percentKey(section, "busy_from_percent", {0, 100},
                            "Share of a server's slots in use from which its cost increases.",
                            FIELD(egress.busy_from)));
  keys.push_back(percentKey(section, "busy_cost_percent", {0, 10'000},
                            "Additional cost of a server whose slots are all in use.",
                            FIELD(egress.busy_cost)));
  keys.push_back(
      percentKey(section, "waiting_cost_percent", {0, 10'000},
                 "The same for each further set of waiting requests that would fill all slots.",
                 FIELD(egress.waiting_cost)));
  keys.push_back(numberKey(section, "most_full_ingresses", {1, 1000}, "",
                           "Ingresses that may refuse one request for lack of room before it "
                           "fails. All but the last are asked for a free slot only.",
                           FIELD(egress.slots.most_full_ingresses)));
  keys.push_back(
      numberKey(section, "most_full_for_calls", {1, 1000}, "",
                "The same for calls of the machine's own server, which may wait at each.",
                FIELD(egress.slots.most_full_for_calls)));
  keys.push_back(
      numberKey(section, "own_zone_asks", {0, 1000}, "",
                "Requests for a free slot in the node's own zone, however busy it seems.",
                FIELD(egress.slots.own_zone_asks)));
  keys.push_back(numberKey(section, "other_zone_asks", {0, 1000}, "",
                           "Requests for a free slot in other zones before a request waits.",
                           FIELD(egress.slots.other_zone_asks)));
  keys.push_back(numberKey(section, "most_silent_ingresses", {1, 1000}, "",
                           "Ingresses that may fail to respond to one request before it fails.",
                           FIELD(egress.most_silent_ingresses)));
  keys.push_back(
      percentKey(section, "throttle_pass_percent", {100, 100'000},
                 "Requests sent to a full service, relative to those it accepted recently.",
                 FIELD(egress.throttle.pass_ratio)));
  keys.push_back(
      percentKey(section, "patience_percent", {0, 100},
                 "How long a request waits for a server to appear, relative to its target latency.",
                 FIELD(egress.server_wait_share)));
}

void addIngressKeys(Keys& keys) {
  const std::string section = "ingress";
  keys.push_back(percentKey(section, "queue_per_slot_percent", {0, 10'000},
                            "Requests that may wait for the server, relative to its slots.",
                            FIELD(ingress.queue_per_slot)));
  keys.push_back(percentKey(
      section, "target_stretch_percent", {1, 10'000},
      "A request may wait while its answer is expected within this share of its target latency.",
      FIELD(ingress.target_stretch)));
  keys.push_back(percentKey(section, "wait_share_percent", {0, 100},
                            "Share of its target latency for which a request may wait.",
                            FIELD(ingress.wait_share)));
  keys.push_back(
      percentKey(section, "call_wait_share_percent", {0, 100},
                 "Share of its deadline for which a call of the machine's own server may wait.",
                 FIELD(ingress.call_wait_share)));
  keys.push_back(numberKey(section, "spare_connections", {0, 100'000}, "",
                           "Connections of the server's limit that are kept in reserve.",
                           FIELD(ingress.spare_connections)));
}

void addHeaderKeys(Keys& keys) {
  const std::string section = "headers";
  const auto add = [&](const char* key, const char* meaning, auto field) {
    keys.push_back(textKey(section, key, "a header name", meaning, checkHeaderName, field));
  };
  add("request_id", "A caller's id of a request.", FIELD(headers.request_id));
  add("deadline", "Number of milliseconds that the caller will still wait.",
      FIELD(headers.deadline));
  add("load", "A server's load.", FIELD(headers.load));
  add("draining", "In a server's answer: \"1\" while it is leaving.", FIELD(headers.draining));
  add("server_limit",
      "In a server's answer: the requests per second that it accepts from all nodes together. "
      "Absent: no limit.",
      FIELD(headers.server_limit));
  add("not_run", "In a server's answer: it did not run the request.", FIELD(headers.not_run));
  add("signature",
      "In a server's answer: proves that the server produced it. Empty: no signature is expected.",
      FIELD(headers.signature));
  add("target_instance", "To a server: the only instance that may run the request.",
      FIELD(headers.target_instance));
  add("caller_service", "To a server: the service of the machine on which the request originated.",
      FIELD(headers.caller_service));
  add("api_key", "From a caller: the API key of its tenant. Not forwarded if there are tenants.",
      FIELD(headers.api_key));
  add("tenant", "To a server: the tenant that the request belongs to, whatever the caller sent.",
      FIELD(headers.tenant));
  add("instance", "In a server's answer: its instance.", FIELD(headers.instance));
  add("cold_left",
      "In a server's answer to a health probe: number of milliseconds until it is warm.",
      FIELD(headers.cold_left));
}

void addAdminKeys(Keys& keys) {
  const std::string section = "admin";
  keys.push_back(textKey(
      section, "readiness_path", "a path",
      "Path of the readiness check: 200 while the node may receive requests, otherwise 503.",
      checkPath, FIELD(admin.readiness_path)));
  keys.push_back(secretKey(section, "token",
                           "The bearer token of the operator API, the same on every node. Never "
                           "printed.",
                           FIELD(admin.token)));
  keys.push_back(numberKey(section, "body_limit_bytes", {1024, kGibibyte}, kBytes,
                           "Largest body of an API request.", FIELD(admin.body_limit_bytes)));
  keys.push_back(numberKey(section, "connection_limit", {1, 100'000}, "",
                           "Connections to the operator API.", FIELD(admin.connection_limit)));
  keys.push_back(millisecondsKey(
      section, "gather_timeout_ms", {50, kMinuteMs},
      "How long other zones may take to answer before a status is returned without them.",
      FIELD(control.admin.gather_timeout)));
  keys.push_back(millisecondsKey(section, "fetch_timeout_ms", {50, kMinuteMs},
                                 "How long a reader may take to read a version that a plan names.",
                                 FIELD(control.admin.fetch_timeout)));
  keys.push_back(
      millisecondsKey(section, "staging_timeout_ms", {50, kMinuteMs},
                      "How long that version may take to arrive at the node that makes the plan.",
                      FIELD(control.admin.staging_timeout)));
}

void addLogKeys(Keys& keys) {
  const std::string section = "log";
  keys.push_back(choiceKey<LogLevel>(
      section, "level", "Lowest severity that is logged.",
      {{"info", LogLevel::kInfo}, {"warning", LogLevel::kWarning}, {"error", LogLevel::kError}},
      FIELD(log.level)));
  keys.push_back(choiceKey<DecisionLines>(section, "decisions",
                                          "Which decisions on requests are logged (two-hop nodes).",
                                          {{"none", DecisionLines::kNone},
                                           {"failures", DecisionLines::kFailures},
                                           {"all", DecisionLines::kAll}},
                                          FIELD(log.decisions)));
  keys.push_back(numberKey(section, "lines_per_second", {1, 100'000}, "",
                           "Maximum lines per second; further ones are counted and omitted.",
                           FIELD(log.lines_per_second)));
  keys.push_back(numberKey(section, "equal_decisions_per_second", {1, 100'000}, "",
                           "Maximum lines per second for decisions of one side, kind and reason; "
                           "further ones are reported as a count each second.",
                           FIELD(log.equal_decisions_per_second)));
}

#undef FIELD

Keys makeKeys() {
  Keys keys;
  addNodeKeys(keys);
  addPromiseKeys(keys);
  addPlatformKeys(keys);
  addMeshKeys(keys);
  addDistributionKeys(keys);
  addConfirmKeys(keys);
  addPeerKeys(keys);
  addProxyKeys(keys);
  addTwoHopKeys(keys);
  addLinkKeys(keys);
  addWatchKeys(keys);
  addRelayKeys(keys);
  addEgressKeys(keys);
  addIngressKeys(keys);
  addHeaderKeys(keys);
  addAdminKeys(keys);
  addLogKeys(keys);
  return keys;
}

/// Returns the number of insertions, deletions and replacements that turn one text into the other.
std::size_t editDistance(std::string_view from, std::string_view to) {
  std::vector<std::size_t> row(to.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= from.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= to.size(); ++j) {
      const std::size_t replaced = diagonal + (from[i - 1] == to[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row.back();
}

std::string_view lastPart(std::string_view full_name) {
  return full_name.substr(full_name.rfind('.') + 1);
}

}  // namespace

const std::vector<SettingKey>& settingKeys() {
  static const std::vector<SettingKey> keys = makeKeys();
  return keys;
}

const SettingKey* findSettingKey(std::string_view full_name) {
  for (const SettingKey& key : settingKeys()) {
    if (key.fullName() == full_name) return &key;
  }
  return nullptr;
}

const SettingKey* nearestSettingKey(std::string_view full_name) {
  const SettingKey* nearest = nullptr;
  std::size_t nearest_distance = std::numeric_limits<std::size_t>::max();
  for (const SettingKey& key : settingKeys()) {
    std::size_t distance = editDistance(full_name, key.fullName());
    if (lastPart(full_name) == key.key) distance = 1;  // The section alone is wrong.
    if (distance >= nearest_distance) continue;
    nearest = &key;
    nearest_distance = distance;
  }
  const bool is_near = nearest_distance <= std::max<std::size_t>(2, full_name.size() / 2);
  return is_near ? nearest : nullptr;
}

std::string defaultText(const SettingKey& key) {
  return key.required ? "" : key.format(Settings());
}

std::string settingsReference() {
  std::string text;
  std::string section;
  for (const SettingKey& key : settingKeys()) {
    if (key.section != section) {
      text += (section.empty() ? "### [" : "\n### [") + key.section + "]\n\n";
      text += "| Key | Default | Expected | Meaning |\n|---|---|---|---|\n";
      section = key.section;
    }
    const std::string shown = key.required ? "required" : "`" + defaultText(key) + "`";
    text += "| `" + key.key + "` | " + shown + " | " + key.expected + " | " + key.meaning + " |\n";
  }
  return text;
}

}  // namespace coursepond::runtime
