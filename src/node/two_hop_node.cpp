#include "node/two_hop_node.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "egress/egress_flow.h"
#include "ingress/ingress_flow.h"
#include "model/snapshot.h"
#include "node/admin_server.h"
#include "node/crash_watch.h"
#include "node/decision_fold.h"
#include "node/peer_state_exchange.h"
#include "node/quota_exchange.h"
#include "node/retry_report.h"
#include "node/server_health.h"
#include "node/two_hop_metrics.h"
#include "runtime/asio_environment.h"
#include "runtime/logging.h"
#include "runtime/proxy_server.h"
#include "runtime/settings_change.h"
#include "runtime/suspension_watch.h"
#include "source/reader_choice.h"
#include "source/reader_discovery.h"
#include "source/relay_client.h"
#include "source/restore_settling.h"
#include "source/watch_loop.h"

namespace coursepond::node {
namespace {

/// Answers up to this size are buffered until they are complete.
constexpr std::size_t kWholeAnswerBytes = std::size_t{256} * 1024;
/// Servers close idle connections after some seconds. This must be shorter, so that the node closes
/// them first.
constexpr Duration kServerIdleTimeout = std::chrono::seconds(8);
constexpr Duration kHopIdleTimeout = std::chrono::seconds(30);
/// An ingress keeps idle connections from egresses longer than kHopIdleTimeout, so that the egress
/// closes them first.
constexpr Duration kIngressIdleTimeout = std::chrono::seconds(60);
constexpr Duration kHopConnectTimeout = std::chrono::milliseconds(150);
constexpr Duration kServerConnectTimeout = std::chrono::milliseconds(200);
/// Interval at which a stopping node checks whether it is idle.
constexpr Duration kIdlePollInterval = std::chrono::milliseconds(10);
constexpr std::uint32_t kBufferBytes = 16 * 1024;
constexpr Duration kLimitLineInterval = std::chrono::seconds(1);
constexpr Duration kFoldInterval = std::chrono::seconds(1);
constexpr Duration kSuspensionInterval = std::chrono::seconds(1);
/// Gives a few reports within the time window over which operators limit repeats.
constexpr Duration kRetryReportInterval = std::chrono::seconds(5);
/// Maximum reported age of the last confirmation that the configuration is current. An older
/// confirmation is not reported to peers.
constexpr Duration kMaxVersionAge = std::chrono::minutes(1);
/// Number of versions from which a reader or relay can send deltas. During a burst of new versions,
/// a follower that is slow or comes from another reader may be several versions behind.
constexpr std::size_t kReaderVersionHistory = 6;

runtime::ProxyServerSettings commonServerSettings(const runtime::Settings& settings) {
  runtime::ProxyServerSettings server;
  server.connections = settings.proxy.connection_limit;
  server.head_bytes = static_cast<std::uint32_t>(settings.proxy.header_limit_bytes);
  server.body_bytes = settings.proxy.body_limit_bytes;
  server.buffer_bytes = kBufferBytes;
  server.head_timeout = settings.proxy.header_timeout;
  server.body_timeout = settings.proxy.body_timeout;
  server.write_timeout = settings.proxy.write_timeout;
  server.stop_grace = settings.node.stop_grace;
  server.stop_drain = settings.node.stop_timeout;
  server.names = settings.headers;
  server.exact_retry_after = true;
  server.buffered_answer_bytes = kWholeAnswerBytes;
  server.upstream.warm_connections = 0;
  server.upstream.connection.buffer_bytes = kBufferBytes;
  return server;
}

runtime::ProxyServerSettings egressServerSettings(const runtime::Settings& settings) {
  runtime::ProxyServerSettings server = commonServerSettings(settings);
  server.listen = settings.node.caller_listen;
  server.idle_timeout = settings.proxy.idle_timeout;
  server.answer_style = runtime::AnswerStyle::kEgress;
  server.upstream.connection.connect_timeout = kHopConnectTimeout;
  server.upstream.connection.idle_timeout = kHopIdleTimeout;
  return server;
}

runtime::ProxyServerSettings ingressServerSettings(const runtime::Settings& settings) {
  runtime::ProxyServerSettings server = commonServerSettings(settings);
  server.listen = settings.two_hop.ingress_listen;
  server.idle_timeout = kIngressIdleTimeout;
  server.answer_style = runtime::AnswerStyle::kIngress;
  server.upstream.connection.connect_timeout = kServerConnectTimeout;
  server.upstream.connection.idle_timeout = kServerIdleTimeout;
  return server;
}

egress::Settings egressSettings(const runtime::Settings& settings) {
  egress::Settings egress = settings.egress;
  egress.own_zone = settings.node.zone;
  egress.zone_regions = runtime::parseZoneRegions(settings.two_hop.zone_regions)
                            .value_or(std::map<ZoneId, RegionId>());
  egress.own_service = settings.two_hop.service;
  egress.ingress_port = settings.two_hop.ingress_listen.port;
  egress.own_host = settings.two_hop.server.host;
  egress.expects_signature = !settings.headers.signature.empty();
  return egress;
}

ingress::Settings ingressSettings(const runtime::Settings& settings) {
  ingress::Settings ingress = settings.ingress;
  ingress.own_service = settings.two_hop.service;
  ingress.expects_signature = !settings.headers.signature.empty();
  return ingress;
}

std::string formatRate(double per_second) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%g", per_second);
  return text.data();
}

/// Returns whether `entry` describes a later start than `other`, a server at the same address. A
/// source that was restored from a copy may list a server that crashed before the other started.
bool isNewerAtAddress(const model::ServerEntry& entry, const model::ServerEntry& other) {
  const bool is_same_era = entry.revision.era == other.revision.era;
  return is_same_era ? entry.revision > other.revision : entry.started_ms > other.started_ms;
}

}  // namespace

class TwoHopNode::Implementation final : private proxy::DecisionLog {
 public:
  Implementation(boost::asio::io_context& context, runtime::Settings settings,
                 const Extensions& extensions)
      : context_(context),
        settings_(std::move(settings)),
        environment_(context),
        log_(settings_.log.lines_per_second),
        fold_(settings_.log.equal_decisions_per_second),
        link_(settings_.link, environment_),
        retries_(environment_, settings_.retries),
        quota_pool_(settings_.quota),
        quota_peers_(context, settings_.node.peer_listen.port),
        quotas_(quota_pool_, quota_peers_, environment_, settings_.quota),
        egress_(egressSettings(settings_), retries_, environment_),
        ingress_(ingressSettings(settings_), retries_, environment_),
        crashes_(context, settings_, environment_, ingress_.serverEnds(),
                 [this](std::string_view event, std::vector<runtime::LogField> fields) {
                   writeLog(runtime::LogLevel::kInfo, event, std::move(fields));
                 }),
        server_health_(context, settings_.two_hop.server, settings_.headers),
        peer_client_(context, settings_.node.peer_listen.port, settings_.relay),
        servers_(makeTopicClients(source::Topic::kServers, extensions)),
        configuration_(makeTopicClients(source::Topic::kConfiguration, extensions)),
        discovery_({}, {settings_.two_hop.server.host, settings_.node.zone}, *servers_.client,
                   peer_client_, environment_),
        peers_({}, peer_client_, held_, environment_,
               [this](source::Topic topic, const source::StateUpdate& update) {
                 onPeerState(topic, update);
               }),
        settling_(held_, environment_,
                  {[this](const source::ServerChanges& changes) { onServersSettled(changes); },
                   [this](bool has_changed) { onZonesSettled(has_changed); }}) {
    const auto silent = std::make_shared<source::SilentParents>(environment_);
    servers_.relay->shareSilentParents(silent);
    configuration_.relay->shareSilentParents(silent);
    ingress_.setAddress(settings_.two_hop.server);
    ingress_.onHealthCheckNeeded([this] { fetchServerHealth(); });
    ingress_.onLimitChanged([this](proxy::LimitChange change) { onLimitChanged(change); });
    egress_.setSuspects(&crashes_.suspects());
    ingress_.setSuspects(&crashes_.suspects());
    startClock();
    egress_.setLink(&link_);
    ingress_.setLink(&link_);
    egress_.setQuotas(&quotas_);
    egress_.setDecisionLog(this);
    ingress_.setDecisionLog(this);
  }

  Result<void> open();
  void start();
  void stop(std::function<void(StopOutcome)> stopped);
  void noteRepeatedStop() { writeLog(runtime::LogLevel::kInfo, "stop_repeated", {}); }
  void cutStop() { finishStop(StopOutcome::kCut); }
  void changeSettings(const runtime::Settings& settings);
  void rejectSettings(const std::vector<runtime::SettingMistake>& mistakes);
  NodeAddresses addresses() const {
    return {egress_server_->address(), ingress_server_->address(), admin_->address()};
  }

 private:
  void onDecision(const proxy::Decision& decision) override;
  void onServerChange(proxy::ServerChange change, const EndpointId& server) override;
  /// Starts a new clock number, because times from before cannot be compared with later ones.
  void startClock() {
    egress_.setClock(
        static_cast<std::uint32_t>(environment_.random(std::numeric_limits<std::uint32_t>::max())));
    ingress_.resetDeliveryDelay();
  }
  void watchSuspension();
  void logFoldedDecisions();
  void logRetries();

  Result<void> openEgress();
  Result<void> openIngress();
  Result<void> openPeers();
  Result<void> openAdmin();
  runtime::HttpResponse answerQuota(const runtime::HttpRequest& request);

  /// The clients with which this node reads one topic of the source, directly or through other
  /// nodes.
  struct TopicClients {
    std::unique_ptr<source::WatchClient> client;
    std::unique_ptr<source::RelayClient> relay;
    std::unique_ptr<source::WatchLoop> watch;
  };
  TopicClients makeTopicClients(source::Topic topic, const Extensions& extensions);
  TopicClients& topicClients(source::Topic topic) {
    return topic == source::Topic::kServers ? servers_ : configuration_;
  }

  void onBatch(source::Topic topic, const source::WatchBatch& batch, bool is_complete);
  bool applyBatch(source::Topic topic, const source::WatchBatch& batch, bool is_complete);
  bool applyConfigurationBatch(const source::WatchBatch& batch);
  bool applyServerBatch(const source::WatchBatch& batch, bool is_complete);
  void onRestored(source::Topic topic, SourceRevision before);
  void askPeersForLostVersion();
  void onServersSettled(const source::ServerChanges& changes);
  void onZonesSettled(bool has_changed);
  bool isFresh(source::Topic topic) const;
  void onFreshnessLost(source::Topic topic);
  void onConfiguration(const model::Configuration& configuration);
  void applyDrainedZones();
  void onServers(const source::ServerChanges& changes);
  void forgetLapsedServers();
  void updateLocalServer();
  void fetchServerHealth();
  void onLimitChanged(proxy::LimitChange change);
  void onWatchFailed(source::Topic topic, const Error& error);
  void onPeerState(source::Topic topic, const source::StateUpdate& update);
  std::vector<source::NodeMachine> machinesOfNodes() const;
  void updateRoles(const std::vector<source::NodeMachine>& machines);
  void updateQuotaMachines(const std::vector<source::NodeMachine>& machines);

  std::string unreadiness() const;
  std::string statusPage() const;
  void writeLog(runtime::LogLevel level, std::string_view event,
                std::vector<runtime::LogField> fields);
  void drainWhenIdle(TimePoint deadline);
  bool isIdle() const;
  void beginDrain();
  void onDrained();
  void finishStop(StopOutcome outcome);

  boost::asio::io_context& context_;
  runtime::Settings settings_;
  runtime::AsioEnvironment environment_;
  runtime::StateLog log_;
  DecisionFold fold_;
  runtime::SuspensionWatch suspension_;
  proxy::LinkScheduler link_;
  proxy::RetryAccounts retries_;
  RetryReport retry_report_;
  admission::QuotaPool quota_pool_;
  HttpQuotaPeers quota_peers_;
  admission::QuotaAccounts quotas_;
  egress::EgressState egress_;
  ingress::IngressState ingress_;
  CrashWatch crashes_;
  source::HeldState held_;
  ServerHealthClient server_health_;
  HttpPeerStateClient peer_client_;
  TopicClients servers_;
  TopicClients configuration_;
  source::ReaderDiscovery discovery_;
  source::PeerReader peers_;
  source::RestoreSettling settling_;
  std::unique_ptr<PeerStateServer> peer_server_;
  std::unique_ptr<runtime::ProxyServer> egress_server_;
  std::unique_ptr<runtime::ProxyServer> ingress_server_;
  RequestHistograms histograms_;
  runtime::MetricTable metrics_;
  std::unique_ptr<AdminServer> admin_;
  std::optional<model::ServerEntry> local_server_;
  TimerId lapse_timer_ = 0;
  TimePoint next_limit_line_;
  bool stopping_ = false;
  TimePoint stop_end_;  ///< Announced end of a planned stop. Nothing is cut before.
  int draining_servers_ = 0;
  std::function<void(StopOutcome)> stopped_;
};

using Implementation = TwoHopNode::Implementation;

// ---- Start

Result<void> Implementation::open() {
  if (Result<void> opened = openEgress(); !opened) return opened;
  if (Result<void> opened = openIngress(); !opened) return opened;
  if (Result<void> opened = openPeers(); !opened) return opened;
  metrics_ = makeTwoHopMetrics({egress_,
                                ingress_,
                                {*servers_.watch, *servers_.relay},
                                {*configuration_.watch, *configuration_.relay},
                                peers_,
                                held_,
                                quotas_,
                                crashes_.suspects(),
                                crashes_.gossip(),
                                link_,
                                [this] { return environment_.totalTimerDelay(); },
                                histograms_});
  return openAdmin();
}

Result<void> Implementation::openEgress() {
  runtime::ExchangeSource source;
  source.make = [this](proxy::RequestHead head, proxy::RequestIo& io) {
    return egress::makeEgressFlow(std::move(head), egress_, environment_, io);
  };
  source.policy = &egress_;
  source.begin_stop = [] {};
  source.may_run_concurrently = [this](const proxy::RequestHead& head) {
    return egress::mayRunTwice(head, egress_);
  };
  runtime::ProxyServerSettings server_settings = egressServerSettings(settings_);
  server_settings.link = &link_;
  server_settings.upstream_link = &link_;
  server_settings.upstream_own_host = settings_.two_hop.server.host;
  auto server =
      runtime::ProxyServer::create(context_, server_settings, std::move(source), environment_);
  if (!server) return server.error();
  egress_server_ = std::move(*server);
  return {};
}

Result<void> Implementation::openIngress() {
  runtime::ExchangeSource source;
  source.make = [this](proxy::RequestHead head, proxy::RequestIo& io) {
    return ingress::makeIngressFlow(std::move(head), ingress_, environment_, io);
  };
  source.policy = &ingress_;
  source.begin_stop = [this] { ingress_.beginStop(); };
  runtime::ProxyServerSettings server_settings = ingressServerSettings(settings_);
  server_settings.link = &link_;
  server_settings.own_host = settings_.two_hop.server.host;
  server_settings.on_caller = [this](const std::string& host) { peers_.addPeer(host); };
  auto server =
      runtime::ProxyServer::create(context_, server_settings, std::move(source), environment_);
  if (!server) return server.error();
  ingress_server_ = std::move(*server);
  return {};
}

Result<void> Implementation::openPeers() {
  auto server = PeerStateServer::create(context_, settings_.node.peer_listen, held_, environment_,
                                        [this](source::Topic topic) { return isFresh(topic); });
  if (!server) return server.error();
  peer_server_ = std::move(*server);
  peer_server_->scheduleOutput(link_);
  peer_server_->setVersionAgeSource([this]() -> std::optional<Duration> {
    const Duration age = egress_.configurationAge();
    if (age > kMaxVersionAge) return std::nullopt;
    return age;
  });
  peer_server_->onRefused(
      [this](source::Topic topic) { topicClients(topic).relay->checkParents(); });
  peer_server_->onRequesterAhead(
      [this](const std::string& host) { peers_.askPeer(source::Topic::kConfiguration, host); });
  peer_server_->addHandler(
      kQuotaPath, [this](const runtime::HttpRequest& request) { return answerQuota(request); });
  peer_server_->addHandler(kSuspectsPath, [this](const runtime::HttpRequest& request) {
    return crashes_.answer(request);
  });
  return {};
}

runtime::HttpResponse Implementation::answerQuota(const runtime::HttpRequest& request) {
  const Result<admission::QuotaRequest> ask = readQuotaRequest(request);
  const std::shared_ptr<const egress::RoutingTable> routing = egress_.routing();
  if (!ask || !routing || stopping_) return noQuotaAnswer();
  const model::Tenant* const tenant = routing->tenants.findByName(ask->tenant.value());
  if (tenant == nullptr || !tenant->quota.isLimited()) return noQuotaAnswer();
  return quotaAnswer(quota_pool_.lend(tenant->quota, *ask, environment_.now()));
}

Result<void> Implementation::openAdmin() {
  AdminSources sources{nullptr, [this] { return metrics_.exposition(); },
                       [this] { return statusPage(); }, [this] { return unreadiness(); }};
  auto admin = AdminServer::create(context_, settings_.node.admin_listen, settings_.admin,
                                   std::move(sources));
  if (!admin) return admin.error();
  admin_ = std::move(*admin);
  admin_->scheduleOutput(link_);
  return {};
}

void Implementation::start() {
  const NodeAddresses bound = addresses();
  writeLog(runtime::LogLevel::kInfo, "started",
           {{"callers", formatAddress(bound.caller)},
            {"ingress", formatAddress(bound.peer)},
            {"admin", formatAddress(bound.admin)},
            {"gather_ms", std::to_string(toMilliseconds(settings_.watch.gather))},
            {"lapse_hold_ms", std::to_string(toMilliseconds(settings_.egress.lapse_hold))},
            {"stop_timeout_ms", std::to_string(toMilliseconds(settings_.node.stop_timeout))}});
  environment_.schedule(kSuspensionInterval, [this] { watchSuspension(); });
  environment_.schedule(kFoldInterval, [this] { logFoldedDecisions(); });
  environment_.schedule(kRetryReportInterval, [this] { logRetries(); });
  // The configuration is read later, when it is known which other nodes could provide it.
  discovery_.start([this](const std::vector<source::NodeMachine>& machines) {
    for (const source::NodeMachine& machine : machines) peers_.addPeer(machine.host);
    if (!machines.empty()) updateRoles(machines);
    servers_.watch->start();
  });
}

// ---- Updates from the source

Implementation::TopicClients Implementation::makeTopicClients(source::Topic topic,
                                                              const Extensions& extensions) {
  TopicClients clients;
  clients.client =
      extensions.watch_client(context_, settings_.platform.address, topic, settings_.relay);
  clients.relay = std::make_unique<source::RelayClient>(settings_.relay, topic, *clients.client,
                                                        peer_client_, held_, environment_);
  clients.relay->onFreshnessLost([this, topic] { onFreshnessLost(topic); });
  clients.relay->onVersionsRead([this](const source::VersionsRead& read) {
    writeLog(runtime::LogLevel::kInfo, "versions_read",
             {{"read", read.is_list ? "list" : "watch"},
              {"bytes", std::to_string(read.bytes)},
              {"elapsed_ms", std::to_string(toMilliseconds(read.elapsed))}});
  });
  clients.relay->onParentFailed([this, topic](const std::string& host, const Error& error) {
    writeLog(runtime::LogLevel::kInfo, "reader_failed",
             {{"topic", std::string(source::topicName(topic))},
              {"reader", host},
              {"error", describe(error)}});
  });
  clients.watch = std::make_unique<source::WatchLoop>(
      settings_.watch, *clients.relay, environment_,
      [this, topic](const source::WatchBatch& batch, bool is_complete) {
        onBatch(topic, batch, is_complete);
      },
      [this, topic](const Error& error) { onWatchFailed(topic, error); });
  clients.watch->onOutdated([this, topic](const source::WatchBatch& answer) {
    writeLog(runtime::LogLevel::kWarning, "source_outdated",
             {{"topic", std::string(source::topicName(topic))},
              {"told", formatRevision(answer.revision)},
              {"held", formatRevision(held_.revision(topic))}});
  });
  return clients;
}

/// The configuration counts as fresh only while the servers do: reads of the configuration wait
/// longer, so a failure of the source shows first in the reads of the servers.
bool Implementation::isFresh(source::Topic topic) const {
  const bool reads_servers = servers_.relay->isFresh();
  const bool reads_topic = topic == source::Topic::kServers || configuration_.relay->isFresh();
  return !stopping_ && reads_servers && reads_topic;
}

void Implementation::onFreshnessLost(source::Topic topic) {
  if (!peer_server_) return;
  peer_server_->rejectPending(source::Topic::kConfiguration);
  if (topic == source::Topic::kServers) peer_server_->rejectPending(topic);
}

void Implementation::onBatch(source::Topic topic, const source::WatchBatch& batch,
                             bool is_complete) {
  const TimePoint arrived = environment_.now();
  peers_.onSourceAnswered(topic);
  const bool has_changes = applyBatch(topic, batch, is_complete);
  // A restored source that may have lost an acknowledged version cannot confirm that a version is
  // the newest.
  const bool confirms_version =
      topic == source::Topic::kConfiguration && batch.age && !settling_.mayLackVersion();
  if (confirms_version) egress_.confirmConfiguration(*batch.age + (environment_.now() - arrived));
  if (has_changes) peer_server_->onStateChanged(topic);
  if (confirms_version) peer_server_->onVersionConfirmed();
  configuration_.watch->start();
}

/// Applies a batch. Returns whether the state changed, so that other nodes must be told.
bool Implementation::applyBatch(source::Topic topic, const source::WatchBatch& batch,
                                bool is_complete) {
  for (const Error& error : batch.rejected) {
    writeLog(runtime::LogLevel::kWarning, "item_rejected", {{"error", describe(error)}});
  }
  const SourceRevision before = held_.revision(topic);
  const std::uint64_t restores = held_.restores();
  const bool has_changes = topic == source::Topic::kConfiguration
                               ? applyConfigurationBatch(batch)
                               : applyServerBatch(batch, is_complete);
  const bool is_first = before == SourceRevision();
  if (held_.restores() > restores) onRestored(topic, before);
  // Needed also when the node starts, because the source may have been restored just before.
  if (is_first && topic == source::Topic::kConfiguration) askPeersForLostVersion();
  return has_changes;
}

bool Implementation::applyConfigurationBatch(const source::WatchBatch& batch) {
  const Version before = held_.version();
  const bool has_changes = held_.updateConfiguration(batch);
  if (held_.version() > before) settling_.onNewerVersion();
  // Done first, because building a large configuration takes a while on a small machine.
  applyDrainedZones();
  for (const source::ConfigurationPointer& configuration : batch.configurations) {
    onConfiguration(*configuration);
  }
  return has_changes;
}

bool Implementation::applyServerBatch(const source::WatchBatch& batch, bool is_complete) {
  const source::ServerChanges changes = held_.updateServers(batch, is_complete);
  if (!changes.empty() || is_complete) onServers(changes);
  return !changes.empty();
}

// ---- Recovery after a restore of the source

void Implementation::onRestored(source::Topic topic, SourceRevision before) {
  writeLog(runtime::LogLevel::kWarning, "source_restored",
           {{"topic", std::string(source::topicName(topic))},
            {"before", formatRevision(before)},
            {"revision", formatRevision(held_.revision(topic))},
            {"version", std::to_string(held_.version().value())},
            {"unconfirmed", std::to_string(held_.servers().unconfirmed())},
            {"doubted", std::to_string(held_.servers().doubted())}});
  settling_.onRestored(topic);
  if (topic == source::Topic::kConfiguration) askPeersForLostVersion();
}

/// Asks some peers for the configuration, because they may have an acknowledged version that the
/// restored source lacks. Only readers ask; other nodes get the version from their reader.
void Implementation::askPeersForLostVersion() {
  const bool reads_source = configuration_.relay->role() == source::ReaderRole::kReader;
  if (reads_source) peers_.askRandomPeers(source::Topic::kConfiguration);
}

void Implementation::onServersSettled(const source::ServerChanges& changes) {
  if (changes.empty()) return;
  writeLog(runtime::LogLevel::kInfo, "servers_settled",
           {{"dropped", std::to_string(changes.removed.size())},
            {"accepted", std::to_string(changes.updated.size())}});
  onServers(changes);
  peer_server_->onStateChanged(source::Topic::kServers);
}

void Implementation::onZonesSettled(bool has_changed) {
  if (!has_changed) return;
  applyDrainedZones();
  peer_server_->onStateChanged(source::Topic::kConfiguration);
}

void Implementation::onConfiguration(const model::Configuration& configuration) {
  if (configuration.version <= egress_.version()) return;
  Result<model::SnapshotPointer> snapshot =
      model::buildSnapshot(configuration, {}, settings_.node.zone, Digest());
  if (!snapshot) {
    writeLog(runtime::LogLevel::kWarning, "configuration_rejected",
             {{"version", std::to_string(configuration.version.value())},
              {"error", describe(snapshot.error())}});
    return;
  }
  const model::CallerLimits limits = (*snapshot)->limits;
  if (!egress_.apply(std::move(*snapshot))) return;
  egress_server_->setCallerLimits(limits);
  const auto found = configuration.services.find(settings_.two_hop.service);
  const model::Service service =
      found == configuration.services.end() ? model::Service() : found->second;
  ingress_.setService(service);
  server_health_.setPath(service.health_path);
  writeLog(runtime::LogLevel::kInfo, "configuration_in_force",
           {{"version", std::to_string(configuration.version.value())},
            {"routes", std::to_string(configuration.routes.size())}});
}

void Implementation::applyDrainedZones() {
  const std::set<ZoneId>& zones = held_.drainedZones();
  if (zones == egress_.drainedZones()) return;
  std::string names;
  for (const ZoneId& zone : zones) names += (names.empty() ? "" : ",") + zone.value();
  writeLog(runtime::LogLevel::kInfo, "drained_zones", {{"zones", names}});
  egress_.setDrainedZones(zones);
  ingress_.setZoneDrained(zones.contains(settings_.node.zone));
}

void Implementation::onServers(const source::ServerChanges& changes) {
  egress_.directory().update(changes.updated, changes.removed, environment_.now());
  forgetLapsedServers();
  updateRoles(machinesOfNodes());
  for (const auto& [id, server] : egress_.directory().all()) {
    if (server->entry.address != settings_.two_hop.server)
      peers_.addPeer(server->entry.address.host);
  }
}

/// Removes lapsed servers. An entry that disappeared without announcing that its server leaves is
/// kept for a hold time.
void Implementation::forgetLapsedServers() {
  environment_.cancel(lapse_timer_);
  const TimePoint now = environment_.now();
  const std::optional<TimePoint> next = egress_.directory().forgetLapsed(now);
  egress_.onDirectoryChanged();
  updateLocalServer();
  if (next) lapse_timer_ = environment_.schedule(*next - now, [this] { forgetLapsedServers(); });
}

/// Selects the newest entry at this machine's server address. If the current server is no longer
/// listed, it is treated as leaving; an older entry that is still listed belongs to a server that
/// crashed before it started.
void Implementation::updateLocalServer() {
  std::optional<model::ServerEntry> newest;
  for (const auto& [id, server] : egress_.directory().all()) {
    const model::ServerEntry& entry = server->entry;
    if (entry.address != settings_.two_hop.server) continue;
    if (entry.service != settings_.two_hop.service) continue;
    if (!newest || isNewerAtAddress(entry, *newest)) newest = entry;
  }
  const bool is_older = newest && local_server_ && isNewerAtAddress(*local_server_, *newest);
  if (newest && !is_older) {
    local_server_ = newest;
  } else if (local_server_) {
    local_server_->state = model::MachineState::kLeaving;
  }
  ingress_.setServer(local_server_);
}

void Implementation::fetchServerHealth() {
  server_health_.fetch([this](const ingress::ServerHealth& health) {
    if (health.cold_left > Duration(0)) {
      writeLog(runtime::LogLevel::kInfo, "server_cold",
               {{"server", health.instance},
                {"left_ms", std::to_string(toMilliseconds(health.cold_left))}});
    }
    ingress_.onHealth(health);
  });
}

/// Logs the limit that the server names. A server may name another limit in each answer, so there
/// is at most one line per kLimitLineInterval, unless the limit begins or ends.
void Implementation::onLimitChanged(proxy::LimitChange change) {
  const TimePoint now = environment_.now();
  const bool is_frequent =
      change == proxy::LimitChange::kChanged || change == proxy::LimitChange::kUnreadable;
  if (is_frequent && now < next_limit_line_) return;
  next_limit_line_ = now + kLimitLineInterval;
  const std::optional<double> limit = ingress_.serverLimit().perSecond();
  writeLog(runtime::LogLevel::kInfo, "server_limit",
           {{"server", ingress_.instanceOr("")},
            {"change", std::string(proxy::limitChangeName(change))},
            {"per_second", limit ? formatRate(*limit) : std::string("none")},
            {"running", std::to_string(ingress_.running())},
            {"waiting", std::to_string(ingress_.waiting())},
            {"sends", std::to_string(ingress_.statistics().sends)}});
}

void Implementation::onWatchFailed(source::Topic topic, const Error& error) {
  writeLog(runtime::LogLevel::kWarning, "source_trouble",
           {{"topic", std::string(source::topicName(topic))}, {"error", describe(error)}});
  peers_.onSourceFailed(topic);
  settling_.onSourceFailed(topic);
  configuration_.watch->start();
}

void Implementation::onPeerState(source::Topic topic, const source::StateUpdate& update) {
  const source::ConfigurationPointer held = held_.configuration();
  const Result<source::WatchBatch> batch = source::toBatch(update, held.get());
  if (!batch) {
    return writeLog(runtime::LogLevel::kWarning, "peer_state_rejected",
                    {{"error", describe(batch.error())}});
  }
  writeLog(runtime::LogLevel::kInfo, "peer_state",
           {{"topic", std::string(source::topicName(topic))},
            {"revision", formatRevision(batch->revision)},
            {"version", std::to_string(held_.version().value())}});
  topicClients(topic).watch->resumeFrom(batch->revision);
  if (applyBatch(topic, *batch, batch->is_complete)) peer_server_->onStateChanged(topic);
}

/// Returns the machines of all servers that are not leaving.
std::vector<source::NodeMachine> Implementation::machinesOfNodes() const {
  source::MachineCollector collector;
  for (const auto& [id, server] : egress_.directory().all()) collector.add(server->entry);
  return collector.machines();
}

/// Computes this node's role in reading the source. All nodes compute the same roles from the
/// same servers.
void Implementation::updateRoles(const std::vector<source::NodeMachine>& machines) {
  updateQuotaMachines(machines);
  const source::NodeMachine own{settings_.two_hop.server.host, settings_.node.zone};
  crashes_.setMachines(own, machines);
  const source::ReaderPlan plan = source::planReaders(machines, {});
  const source::ReaderRole role = plan.roleOf(own);
  const bool is_standby = plan.isStandby(own);
  if (role != servers_.relay->role() || is_standby != servers_.relay->isStandby()) {
    writeLog(runtime::LogLevel::kInfo, "source_role",
             {{"role", std::string(roleName(role))},
              {"readers", std::to_string(plan.readers.size())},
              {"relays", std::to_string(plan.relays.size())},
              {"standby", is_standby ? "yes" : "no"}});
  }
  const std::vector<std::string> parents = source::pathOrder(own, plan);
  const bool is_relay = role == source::ReaderRole::kRelay;
  const std::size_t child_count = is_relay ? plan.relays.size() : machines.size();
  servers_.relay->setParents(parents, role, child_count);
  configuration_.relay->setParents(parents, role, child_count);
  servers_.relay->setStandby(is_standby);
  configuration_.relay->setStandby(is_standby);
  held_.keepVersions(role == source::ReaderRole::kFollower ? 1 : kReaderVersionHistory);
}

/// Updates the machines that share tenants' quotas. All nodes with the same machines compute the
/// same owner of each tenant's quota.
void Implementation::updateQuotaMachines(const std::vector<source::NodeMachine>& machines) {
  std::vector<std::string> hosts;
  hosts.reserve(machines.size());
  for (const source::NodeMachine& machine : machines) hosts.push_back(machine.host);
  const std::size_t nodes = std::max(retries_.nodes(), hosts.size());
  quota_pool_.setNodes(nodes);
  quotas_.setNodes(nodes);
  quotas_.setMachines(settings_.two_hop.server.host, std::move(hosts));
}

// ---- Status and log

std::string Implementation::unreadiness() const {
  if (stopping_) return "stopping";
  if (!egress_.routing()) return "no configuration is known yet";
  if (!servers_.watch->hasListed()) return "no servers are known yet";
  return "";
}

std::string Implementation::statusPage() const {
  const std::string reason = unreadiness();
  std::string page = "coursepond " + settings_.node.id.value() + " (two hops)\n";
  page += reason.empty() ? "ready\n" : "not ready: " + reason + "\n";
  page += "version in force: " + std::to_string(egress_.version().value()) + "\n";
  page += "servers known: " + std::to_string(egress_.directory().all().size()) + "\n";
  page += "own server: " + (local_server_ ? local_server_->id.value() : std::string("none")) + "\n";
  return page;
}

void Implementation::writeLog(runtime::LogLevel level, std::string_view event,
                              std::vector<runtime::LogField> fields) {
  fields.insert(fields.begin(), {"node", settings_.node.id.value()});
  log_.write(level, environment_.now(), event, fields);
}

void Implementation::onDecision(const proxy::Decision& decision) {
  histograms_.observe(decision);
  const runtime::DecisionLines lines = settings_.log.decisions;
  if (lines == runtime::DecisionLines::kNone) return;
  const bool is_failure =
      decision.kind != proxy::DecisionKind::kForwarded || !decision.reason.empty();
  if (!is_failure && lines != runtime::DecisionLines::kAll) return;
  if (lines != runtime::DecisionLines::kAll && !fold_.admit(decision)) return;
  const proxy::DecisionInputs& inputs = decision.inputs;
  std::vector<runtime::LogField> fields = {
      {"side", std::string(decision.side)},
      {"request", std::string(decision.request)},
      {"fingerprint", decision.fingerprints.whole.toHex()},
      {"head_fingerprint", decision.fingerprints.head.toHex()},
      {"attempt", std::to_string(decision.attempt)},
      {"server", std::string(decision.server)},
      {"reason", std::string(decision.reason)},
      {"status", std::to_string(decision.status)},
      {"elapsed_ms", std::to_string(toMilliseconds(decision.elapsed))},
  };
  if (decision.side == proxy::kEgressSide) {
    fields.push_back({"version", std::to_string(decision.version.value())});
    fields.push_back({"version_age_ms", std::to_string(toMilliseconds(inputs.configuration_age))});
    fields.push_back({"entry_age_ms", std::to_string(toMilliseconds(inputs.entry_age))});
    fields.push_back({"servers_at", formatRevision(held_.revision(source::Topic::kServers))});
  } else {
    fields.push_back({"running", std::to_string(inputs.running)});
    fields.push_back({"waiting", std::to_string(inputs.waiting)});
    fields.push_back({"queued_ms", std::to_string(toMilliseconds(inputs.queued))});
    fields.push_back({"late_ms", std::to_string(toMilliseconds(inputs.delivery_delay))});
  }
  const Duration timer_delay = environment_.recentTimerDelay();
  fields.push_back({"timer_delay_ms", std::to_string(toMilliseconds(timer_delay))});
  writeLog(runtime::LogLevel::kInfo, decisionName(decision.kind), std::move(fields));
}

/// Runs once per kSuspensionInterval.
void Implementation::watchSuspension() {
  if (suspension_.check()) startClock();
  environment_.schedule(kSuspensionInterval, [this] { watchSuspension(); });
}

/// Logs the decisions that were not logged individually. Runs once per kFoldInterval; see
/// DecisionFold.
void Implementation::logFoldedDecisions() {
  for (const FoldedDecisions& folded : fold_.nextSecond()) {
    writeLog(runtime::LogLevel::kInfo, "decisions_folded",
             {{"decision", std::string(decisionName(folded.kind))},
              {"side", folded.side},
              {"reason", folded.reason},
              {"count", std::to_string(folded.count)}});
  }
  environment_.schedule(kFoldInterval, [this] { logFoldedDecisions(); });
}

/// Logs the repeats of each service. Runs once per kRetryReportInterval; see RetryReport.
void Implementation::logRetries() {
  for (std::vector<runtime::LogField>& fields : retry_report_.next(retries_)) {
    writeLog(runtime::LogLevel::kInfo, "retry_budget", std::move(fields));
  }
  environment_.schedule(kRetryReportInterval, [this] { logRetries(); });
}

void Implementation::onServerChange(proxy::ServerChange change, const EndpointId& server) {
  if (settings_.log.decisions == runtime::DecisionLines::kNone) return;
  writeLog(runtime::LogLevel::kInfo, changeName(change), {{"server", server.value()}});
}

// ---- Settings

void Implementation::changeSettings(const runtime::Settings& settings) {
  for (const runtime::SettingChange& change : changesBetween(settings_, settings)) {
    writeLog(change.needs_restart ? runtime::LogLevel::kWarning : runtime::LogLevel::kInfo,
             change.needs_restart ? "setting_needs_restart" : "setting_changed",
             {{"key", change.key}, {"before", change.before}, {"after", change.after}});
  }
  applyChangeable(settings_, settings);
  egress_.changeSettings(egressSettings(settings_));
  retries_.changeSettings(settings_.retries);
  quota_pool_.changeSettings(settings_.quota);
  quotas_.changeSettings(settings_.quota);
  crashes_.changeSettings(settings_);
  ingress_.changeSettings(ingressSettings(settings_));
  log_.setLimit(settings_.log.lines_per_second);
  fold_.setLimit(settings_.log.equal_decisions_per_second);
  runtime::setLogLevel(settings_.log.level);
}

void Implementation::rejectSettings(const std::vector<runtime::SettingMistake>& mistakes) {
  for (const runtime::SettingMistake& mistake : mistakes) {
    writeLog(runtime::LogLevel::kWarning, "settings_rejected", {{"error", describe(mistake)}});
  }
}

// ---- Stop

void Implementation::stop(std::function<void(StopOutcome)> stopped) {
  stopped_ = std::move(stopped);
  stopping_ = true;
  peer_server_->rejectPending(source::Topic::kServers);
  peer_server_->rejectPending(source::Topic::kConfiguration);
  writeLog(runtime::LogLevel::kInfo, "stopping", {});
  const runtime::NodeSettings& times = settings_.node;
  const TimePoint callers_informed = environment_.now() + times.stop_delay;
  stop_end_ = callers_informed + times.stop_linger + times.stop_grace + times.stop_timeout;
  ingress_.announceStop(stop_end_);
  egress_.announceStop(stop_end_, callers_informed);
  egress_server_->announceClose();
  environment_.schedule(settings_.node.stop_delay,
                        [this] { drainWhenIdle(environment_.now() + settings_.node.stop_linger); });
}

/// Starts draining when the node is idle, at the latest at `deadline`. The listeners stay open
/// until then, so the machine is unavailable only between the end of this process and its next
/// start. Requests may keep arriving until `deadline` if the callers have no other node to use.
void Implementation::drainWhenIdle(TimePoint deadline) {
  if (isIdle() || environment_.now() >= deadline) return beginDrain();
  environment_.schedule(kIdlePollInterval, [this, deadline] { drainWhenIdle(deadline); });
}

bool Implementation::isIdle() const {
  return egress_.inFlight() == 0 && ingress_.running() == 0 && ingress_.waiting() == 0;
}

void Implementation::beginDrain() {
  draining_servers_ = 2;
  egress_server_->beginStop([this] { onDrained(); }, stop_end_);
  ingress_server_->beginStop([this] { onDrained(); }, stop_end_);
}

void Implementation::onDrained() {
  if (--draining_servers_ > 0) return;
  const bool has_cut = egress_server_->statistics().cut_at_stop > 0;
  finishStop(has_cut ? StopOutcome::kCut : StopOutcome::kClean);
}

void Implementation::finishStop(StopOutcome outcome) {
  const std::function<void(StopOutcome)> stopped = std::exchange(stopped_, nullptr);
  if (!stopped) return;
  const std::uint64_t cut = egress_server_->statistics().cut_at_stop + egress_.inFlight();
  writeLog(runtime::LogLevel::kInfo, "stopped", {{"requests_cut", std::to_string(cut)}});
  stopped(outcome);
}

// ---- Public interface

TwoHopNode::TwoHopNode(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

TwoHopNode::~TwoHopNode() = default;

Result<std::unique_ptr<TwoHopNode>> TwoHopNode::create(boost::asio::io_context& context,
                                                       runtime::Settings settings,
                                                       const Extensions& extensions) {
  if (!extensions.watch_client) {
    return Error{
        ErrorKind::kInvalidArgument,
        "two_hop.ingress_listen is set, but this program has no client for a watchable source",
        "run a program that provides one, or remove [two_hop] from the settings"};
  }
  auto implementation = std::make_unique<Implementation>(context, std::move(settings), extensions);
  if (const Result<void> opened = implementation->open(); !opened) return opened.error();
  return std::unique_ptr<TwoHopNode>(new TwoHopNode(std::move(implementation)));
}

void TwoHopNode::start() { implementation_->start(); }

void TwoHopNode::changeSettings(const runtime::Settings& settings) {
  implementation_->changeSettings(settings);
}

void TwoHopNode::rejectSettings(const std::vector<runtime::SettingMistake>& mistakes) {
  implementation_->rejectSettings(mistakes);
}

void TwoHopNode::stop(std::function<void(StopOutcome)> stopped) {
  implementation_->stop(std::move(stopped));
}

void TwoHopNode::noteRepeatedStop() { implementation_->noteRepeatedStop(); }

void TwoHopNode::cutStop() { implementation_->cutStop(); }

NodeAddresses TwoHopNode::addresses() const { return implementation_->addresses(); }

}  // namespace coursepond::node
