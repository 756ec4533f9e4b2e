#include "node/node.h"

#include <chrono>
#include <utility>

#include "control/control_plane.h"
#include "node/admin_server.h"
#include "node/node_metrics.h"
#include "node/status_page.h"
#include "proxy/proxy_state.h"
#include "runtime/asio_environment.h"
#include "runtime/http_platform_client.h"
#include "runtime/logging.h"
#include "runtime/peer_transport.h"
#include "runtime/proxy_server.h"

namespace coursepond::node {
namespace {

/// Maximum time for sending the last messages of a stopping node.
constexpr Duration kFlushLimit = std::chrono::seconds(1);

/// Returns an incarnation above those of earlier processes with the same node id, provided the
/// machine's clock was not set back.
Incarnation newIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
  return Incarnation(static_cast<std::uint64_t>(milliseconds.count()));
}

runtime::PeerIdentity makeIdentity(const runtime::Settings& settings) {
  return runtime::PeerIdentity{settings.mesh_name, settings.node.id, settings.node.zone,
                               newIncarnation(), settings.node.peer_advertise};
}

membership::Member makeMember(const runtime::PeerIdentity& identity) {
  return membership::Member{identity.id, identity.zone, identity.address, identity.incarnation,
                            membership::MemberState::kAlive};
}

control::ControlSettings makeControlSettings(const runtime::Settings& settings) {
  control::ControlSettings control = settings.control;
  control.admin.bearer_token = settings.admin.token.reveal();
  control.distribution.zones = control.zones;
  return control;
}

runtime::ProxyServerSettings makeProxyServerSettings(const runtime::Settings& settings) {
  runtime::ProxyServerSettings server;
  server.listen = settings.node.caller_listen;
  server.connections = settings.proxy.connection_limit;
  server.head_bytes = static_cast<std::uint32_t>(settings.proxy.header_limit_bytes);
  server.body_bytes = settings.proxy.body_limit_bytes;
  server.idle_timeout = settings.proxy.idle_timeout;
  server.head_timeout = settings.proxy.header_timeout;
  server.body_timeout = settings.proxy.body_timeout;
  server.write_timeout = settings.proxy.write_timeout;
  server.stop_grace = settings.node.stop_grace;
  server.stop_drain = settings.node.stop_timeout;
  server.upstream.warm_connections = settings.proxy.warm_connections;
  return server;
}

runtime::LogLevel levelOf(control::ControlEventKind kind) {
  switch (kind) {
    case control::ControlEventKind::kPauseDetected:
    case control::ControlEventKind::kContentRejected:
    case control::ControlEventKind::kSourceTrouble:
    case control::ControlEventKind::kOutcomeUnknown:
    case control::ControlEventKind::kAdopted:
      return runtime::LogLevel::kWarning;
    default:
      return runtime::LogLevel::kInfo;
  }
}

}  // namespace

class Node::Implementation final : public control::ControlObserver {
 public:
  Implementation(boost::asio::io_context& context, runtime::Settings settings)
      : context_(context),
        settings_(std::move(settings)),
        environment_(context),
        link_(settings_.link, environment_),
        started_(environment_.now()),
        log_(settings_.log.lines_per_second),
        proxy_state_(settings_.node.zone, settings_.data_path, environment_),
        platform_(context, settings_.platform.address, settings_.control.source.read_timeout,
                  settings_.platform.answer_limit_bytes) {}

  Result<void> open();
  void start();
  void stop(std::function<void(StopOutcome)> stopped);
  void noteRepeatedStop() { writeLog(runtime::LogLevel::kInfo, "stop_repeated", {}); }
  void cutStop() { leaveMesh(StopOutcome::kCut); }
  NodeAddresses addresses() const;

 private:
  // ControlObserver
  void onSnapshot(model::SnapshotPointer snapshot) override;
  void onEndpoints(const model::EndpointSet& endpoints) override;
  void onNodeCount(std::size_t nodes) override;
  void onPeerAddress(const NodeId& node, const Address& address) override;
  void onEvent(const control::ControlEvent& event) override;

  Result<void> openPeers();
  Result<void> openCallers();
  Result<void> openAdmin();

  std::string unreadiness() const;
  NodeGauges gauges() const;
  StatusReport statusReport() const;
  MetricSources metricSources();
  void writeLog(runtime::LogLevel level, std::string_view event,
                std::vector<runtime::LogField> fields);

  void beginDrain();
  void leaveMesh(StopOutcome outcome);
  void finishStop(StopOutcome outcome);

  boost::asio::io_context& context_;
  runtime::Settings settings_;
  runtime::AsioEnvironment environment_;
  proxy::LinkScheduler link_;
  TimePoint started_;
  runtime::StateLog log_;
  proxy::ProxyState proxy_state_;
  runtime::HttpPlatformClient platform_;
  std::unique_ptr<runtime::PeerTransport> peers_;
  std::unique_ptr<control::ControlPlane> control_;
  std::unique_ptr<runtime::ProxyServer> callers_;
  runtime::MetricTable metrics_;
  std::unique_ptr<AdminServer> admin_;
  std::string last_rejection_;
  bool stopping_ = false;
  bool left_ = false;
  TimerId stop_delay_timer_ = 0;
  std::function<void(StopOutcome)> stopped_;
};

using Implementation = Node::Implementation;

Result<void> Implementation::open() {
  if (Result<void> opened = openPeers(); !opened) return opened;
  control_ = std::make_unique<control::ControlPlane>(makeControlSettings(settings_),
                                                     makeMember(peers_->identity()), environment_,
                                                     *peers_, platform_, *this);
  if (Result<void> opened = openCallers(); !opened) return opened;
  metrics_ = makeNodeMetrics(metricSources());
  return openAdmin();
}

Result<void> Implementation::openPeers() {
  Result<std::unique_ptr<runtime::PeerTransport>> peers = runtime::PeerTransport::create(
      context_, environment_, makeIdentity(settings_), settings_.node.peer_listen, settings_.peer);
  if (!peers) return peers.error();
  peers_ = std::move(*peers);
  peers_->scheduleOutput(link_);
  return {};
}

Result<void> Implementation::openCallers() {
  runtime::ProxyServerSettings server_settings = makeProxyServerSettings(settings_);
  server_settings.link = &link_;
  server_settings.upstream_link = &link_;
  server_settings.upstream_own_host = settings_.node.caller_listen.host;
  Result<std::unique_ptr<runtime::ProxyServer>> callers =
      runtime::ProxyServer::create(context_, server_settings, proxy_state_, environment_);
  if (!callers) return callers.error();
  callers_ = std::move(*callers);
  return {};
}

Result<void> Implementation::openAdmin() {
  AdminSources sources{&control_->api(), [this] { return metrics_.exposition(); },
                       [this] { return renderStatusPage(statusReport()); },
                       [this] { return unreadiness(); }};
  Result<std::unique_ptr<AdminServer>> admin = AdminServer::create(
      context_, settings_.node.admin_listen, settings_.admin, std::move(sources));
  if (!admin) return admin.error();
  admin_ = std::move(*admin);
  admin_->scheduleOutput(link_);
  return {};
}

void Implementation::start() {
  const NodeAddresses bound = addresses();
  writeLog(runtime::LogLevel::kInfo, "started",
           {{"mesh", settings_.mesh_name},
            {"callers", formatAddress(bound.caller)},
            {"peers", formatAddress(bound.peer)},
            {"admin", formatAddress(bound.admin)}});
  peers_->start([this](const NodeId& from, const control::PeerMessage& message) {
    if (!left_) control_->onPeerMessage(from, message);
  });
  control_->start();
}

void Implementation::onSnapshot(model::SnapshotPointer snapshot) {
  proxy_state_.apply(std::move(snapshot));
  last_rejection_.clear();
}

void Implementation::onEndpoints(const model::EndpointSet& endpoints) {
  proxy_state_.updateEndpoints(endpoints);
}

void Implementation::onNodeCount(std::size_t nodes) { proxy_state_.setNodeCount(nodes); }

void Implementation::onPeerAddress(const NodeId& node, const Address& address) {
  peers_->setAddress(node, address);
}

void Implementation::onEvent(const control::ControlEvent& event) {
  if (event.kind == control::ControlEventKind::kContentRejected) last_rejection_ = event.detail;
  writeLog(levelOf(event.kind), control::kindName(event.kind), {{"detail", event.detail}});
}

void Implementation::writeLog(runtime::LogLevel level, std::string_view event,
                              std::vector<runtime::LogField> fields) {
  fields.insert(fields.begin(),
                {{"node", settings_.node.id.value()}, {"zone", settings_.node.zone.value()}});
  log_.write(level, environment_.now(), event, fields);
}

std::string Implementation::unreadiness() const {
  if (stopping_) return "stopping";
  if (!control_->ready()) return "the accepted configuration is not known yet";
  if (!proxy_state_.snapshot()) return "no configuration has been accepted";
  return "";
}

NodeAddresses Implementation::addresses() const {
  return NodeAddresses{callers_->address(), peers_->identity().address, admin_->address()};
}

NodeGauges Implementation::gauges() const {
  const membership::View& view = control_->view();
  const distribution::Replica& replica = control_->replica();
  NodeGauges gauges;
  gauges.ready = unreadiness().empty();
  if (const model::SnapshotPointer& snapshot = proxy_state_.snapshot()) {
    gauges.in_force = snapshot->version;
  }
  gauges.accepted = replica.record().version;
  gauges.staged = replica.newestStaged();
  gauges.roles = control_->roles();
  gauges.known_nodes = view.nodeCount();
  gauges.reachable_zones = view.reachableZoneCount();
  gauges.known_zones = view.zones.size();
  gauges.requests_in_flight = proxy_state_.requestsInFlight();
  gauges.caller_connections = callers_->callerConnectionCount();
  gauges.peer_connections = peers_->connectionCount();
  gauges.uptime_seconds = std::chrono::duration<double>(environment_.now() - started_).count();
  return gauges;
}

StatusReport Implementation::statusReport() const {
  const NodeGauges values = gauges();
  const std::string reason = unreadiness();
  StatusReport report;
  report.node = settings_.node.id;
  report.zone = settings_.node.zone;
  report.readiness = reason.empty() ? "ready" : "not ready: " + reason;
  report.uptime = environment_.now() - started_;
  report.in_force = values.in_force;
  report.accepted = values.accepted;
  report.staged = values.staged;
  if (const model::SnapshotPointer& snapshot = proxy_state_.snapshot()) {
    report.digest = snapshot->digest;
    report.routes = snapshot->routes.size();
    report.services = snapshot->services.size();
    report.secrets = snapshot->secrets.size();
  }
  report.roles = values.roles;
  report.view = control_->view();
  report.requests_in_flight = values.requests_in_flight;
  report.peer_connections = values.peer_connections;
  report.servers = proxy_state_.serverReports();
  report.last_rejection = last_rejection_;
  return report;
}

MetricSources Implementation::metricSources() {
  MetricSources sources;
  sources.gauges = [this] { return gauges(); };
  sources.control = [this] { return control_->statistics(); };
  sources.proxy = [this] { return proxy_state_.statistics(); };
  sources.callers = [this] { return callers_->statistics(); };
  sources.upstream = [this] { return callers_->upstreamStatistics(); };
  sources.peers = [this] { return peers_->statistics(); };
  sources.admin = [this] { return admin_->statistics(); };
  sources.log = [this] { return LogCounters{log_.written(), log_.suppressed()}; };
  return sources;
}

void Implementation::stop(std::function<void(StopOutcome)> stopped) {
  stopped_ = std::move(stopped);
  stopping_ = true;
  writeLog(runtime::LogLevel::kInfo, "stopping",
           {{"requests_in_flight", std::to_string(proxy_state_.requestsInFlight())}});
  const runtime::NodeSettings& times = settings_.node;
  proxy_state_.announceStop(environment_.now() + times.stop_delay + times.stop_grace +
                            times.stop_timeout);
  stop_delay_timer_ = environment_.schedule(times.stop_delay, [this] { beginDrain(); });
}

void Implementation::beginDrain() {
  callers_->beginStop([this] {
    const bool cut = callers_->statistics().cut_at_stop > 0;
    leaveMesh(cut ? StopOutcome::kCut : StopOutcome::kClean);
  });
}

void Implementation::leaveMesh(StopOutcome outcome) {
  if (left_) return;
  left_ = true;
  environment_.cancel(stop_delay_timer_);
  control_->leave();
  peers_->flush(kFlushLimit, [this, outcome] { finishStop(outcome); });
}

void Implementation::finishStop(StopOutcome outcome) {
  const bool clean = outcome == StopOutcome::kClean;
  writeLog(clean ? runtime::LogLevel::kInfo : runtime::LogLevel::kWarning, "stopped",
           {{"requests_cut", std::to_string(callers_->statistics().cut_at_stop +
                                            proxy_state_.requestsInFlight())}});
  stopped_(outcome);
}

Node::Node(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

Node::~Node() = default;

Result<std::unique_ptr<Node>> Node::create(boost::asio::io_context& context,
                                           runtime::Settings settings) {
  auto implementation = std::make_unique<Implementation>(context, std::move(settings));
  if (const Result<void> opened = implementation->open(); !opened) return opened.error();
  return std::unique_ptr<Node>(new Node(std::move(implementation)));
}

void Node::start() { implementation_->start(); }

void Node::stop(std::function<void(StopOutcome)> stopped) {
  implementation_->stop(std::move(stopped));
}

void Node::noteRepeatedStop() { implementation_->noteRepeatedStop(); }

void Node::cutStop() { implementation_->cutStop(); }

NodeAddresses Node::addresses() const { return implementation_->addresses(); }

}  // namespace coursepond::node
