#include "node_process.h"

#include <variant>

#include "scenario.h"

namespace coursepond::simulation {
namespace {

constexpr Duration kStopPollInterval = std::chrono::milliseconds(5);
/// For this long after a resume, a process must have received a peer message before it reads the
/// platform.
constexpr Duration kRecheckTime = std::chrono::seconds(1);
/// A process keeps its roles across shorter pauses; see the probe interval and the pause threshold
/// of membership::Settings.
constexpr Duration kShortestNoticedPause = std::chrono::milliseconds(2600);

/// Returns the distribution message of type `Type` inside a peer message, or null.
template <typename Type>
const Type* distributionMessage(const control::PeerMessage& message) {
  const auto* distribution = std::get_if<distribution::Message>(&message);
  return distribution == nullptr ? nullptr : std::get_if<Type>(distribution);
}

membership::Member memberOf(const model::ListedNode& identity, std::uint64_t start_number) {
  membership::Member member;
  member.id = identity.id;
  member.zone = identity.zone;
  member.peer_address = identity.peer_address;
  member.incarnation = Incarnation(start_number * 1'000'000 + 1);
  return member;
}

}  // namespace

NodeProcess::NodeProcess(const SimulationContext& context, const control::ControlSettings& settings,
                         model::ListedNode identity, std::uint64_t start_number, std::uint64_t seed)
    : context_(context),
      identity_(std::move(identity)),
      start_number_(start_number),
      started_(context.time.now()),
      environment_(context.time, seed, context.without != Guard::kPauseCheck),
      platform_client_(context.platform.makeClient(identity_.id, environment_)),
      proxy_state_(identity_.zone, proxy::Settings(), environment_),
      data_path_(std::make_unique<DataPath>(
          identity_.id, identity_.zone, context.without, context.time, context.network,
          environment_, proxy_state_, context.request_checks, context.backends, context.calm_for)),
      control_(std::make_unique<control::ControlPlane>(settings, memberOf(identity_, start_number),
                                                       environment_, *this, *platform_client_,
                                                       *this)) {}

NodeProcess::~NodeProcess() {
  context_.network.detach(identity_.id);
  data_path_->closeAll();
}

void NodeProcess::start() {
  context_.network.attach(
      identity_.id, identity_.zone,
      [this, mailbox = environment_.mailbox()](const NodeId& from,
                                               const control::PeerMessage& message) {
        const bool fresh = !environment_.paused();
        mailbox.deliver([this, from, message, fresh] { onPeerMessage(from, message, fresh); });
      });
  control_->start();
  if (context_.without == Guard::kFewReaders) pollPlatform();
}

void NodeProcess::pause() {
  paused_at_ = context_.time.now();
  knew_peers_before_pause_ = control_->view().nodeCount() > 1;
  environment_.pause();
  context_.request_checks.onNodeDisturbed(status().process.node);
}

void NodeProcess::resume() {
  // A process that does not know any peer yet may ask the platform for peers.
  peer_heard_since_resume_ =
      !knew_peers_before_pause_ || context_.time.now() - paused_at_ < kShortestNoticedPause;
  resumed_at_ = context_.time.now();
  environment_.resume();
  context_.request_checks.onNodeDisturbed(status().process.node);
}

void NodeProcess::beginPlannedStop(std::function<void()> ended) {
  stopping_ = true;
  proxy_state_.beginStop();
  control_->leave();
  waitForRequests(std::move(ended));
}

void NodeProcess::waitForRequests(std::function<void()> ended) {
  const bool cut = context_.without == Guard::kFinishBeforeStop;
  if (cut || data_path_->inFlight().empty()) {
    context_.time.schedule(Duration(0), std::move(ended));
    return;
  }
  environment_.schedule(kStopPollInterval, [this, ended = std::move(ended)]() mutable {
    waitForRequests(std::move(ended));
  });
}

ProxyStatus NodeProcess::status() const {
  return {
      {identity_.id, start_number_}, identity_.zone, started_, environment_.paused(), stopping_};
}

bool NodeProcess::pausedWithin(Duration span) const {
  return environment_.paused() || context_.time.now() - resumed_at_ < span;
}

void NodeProcess::onPlatformRead() {
  if (peer_heard_since_resume_ || context_.time.now() - resumed_at_ > kRecheckTime) return;
  context_.violations.report(promises::kPauseRecheck,
                             identity_.id.value() + " read the platform before any peer");
}

void NodeProcess::onSnapshot(model::SnapshotPointer snapshot) {
  if (context_.without == Guard::kWholeSnapshot) applyInPart(*snapshot);
  putInForce(snapshot);
}

void NodeProcess::putInForce(const model::SnapshotPointer& snapshot) {
  if (!proxy_state_.apply(snapshot)) return;
  snapshots_by_version_[snapshot->version] = snapshot;
  context_.trace.note(context_.time.elapsed(), identity_.id.value(),
                      "in force: version " + std::to_string(snapshot->version.value()));
  context_.configuration_checks.onInForce(status(), proxy_state_.snapshot());
}

void NodeProcess::onEndpoints(const model::EndpointSet& endpoints) {
  model::EndpointSet shown = endpoints;
  if (context_.without == Guard::kHonourDraining) {
    for (model::Endpoint& endpoint : shown.endpoints) endpoint.state = model::MachineState::kLive;
  }
  proxy_state_.updateEndpoints(shown);
}

void NodeProcess::onNodeCount(std::size_t nodes) { proxy_state_.setNodeCount(nodes); }

void NodeProcess::onEvent(const control::ControlEvent& event) {
  context_.trace.note(context_.time.elapsed(), identity_.id.value(),
                      std::string(control::kindName(event.kind)) + " " + event.detail);
  if (event.kind == control::ControlEventKind::kAdopted) {
    context_.memory_checks.onAdoption(identity_.id, event.version);
  }
}

void NodeProcess::send(const NodeId& to, const control::PeerMessage& message) {
  const bool repair = distributionMessage<distribution::Summary>(message) != nullptr;
  const bool started = context_.time.elapsed() > phases::kWarmUp;
  if (repair && started && context_.without == Guard::kRepair) return;
  context_.network.send(identity_.id, to, message);
}

void NodeProcess::onPeerMessage(const NodeId& from, control::PeerMessage message, bool fresh) {
  peer_heard_since_resume_ = peer_heard_since_resume_ || fresh;
  if (context_.without == Guard::kExclusiveLease) grantAlways(from, message);
  control_->onPeerMessage(from, message);
  const auto* push = distributionMessage<distribution::RecordPush>(message);
  const auto* summary = distributionMessage<distribution::Summary>(message);
  const bool by_arrival = context_.without == Guard::kMergeByMaximum;
  if (push != nullptr && context_.without == Guard::kClosure) applyWithoutSecrets(push->record);
  if (push != nullptr && by_arrival) applyAsItArrives(push->record.version);
  if (summary != nullptr && by_arrival) applyAsItArrives(summary->accepted);
}

void NodeProcess::applyInPart(const model::Snapshot& whole) {
  auto part = std::make_shared<model::Snapshot>(whole);
  part->routes.resize(part->routes.size() / 2);
  context_.configuration_checks.onInForce(status(), part);
}

void NodeProcess::applyWithoutSecrets(const distribution::AcceptanceRecord& record) {
  const auto configuration = control_->replica().find(record.version);
  if (!configuration) return;
  auto snapshot = std::make_shared<model::Snapshot>();
  snapshot->version = record.version;
  snapshot->digest = record.digest;
  snapshot->services = configuration->services;
  for (const auto& [name, route] : configuration->routes) snapshot->routes.push_back(route);
  context_.configuration_checks.onInForce(status(), snapshot);
}

void NodeProcess::applyAsItArrives(Version version) {
  const auto found = snapshots_by_version_.find(version);
  if (found != snapshots_by_version_.end())
    context_.configuration_checks.onInForce(status(), found->second);
}

void NodeProcess::grantAlways(const NodeId& voter, control::PeerMessage& message) {
  auto* acceptance = std::get_if<distribution::AcceptanceMessage>(&message);
  if (acceptance == nullptr) return;
  const auto* refused = std::get_if<distribution::Refused>(acceptance);
  if (refused == nullptr) return;
  const distribution::AttemptKey attempt = refused->attempt;
  const distribution::AcceptanceRecord record = refused->record;
  control_->onPeerMessage(voter,
                          distribution::AcceptanceMessage(distribution::Granted{attempt, record}));
  *acceptance = distribution::Committed{attempt};
}

void NodeProcess::pollPlatform() {
  platform_client_->readNewest("", [](const Result<source::PlatformAnswer>&) {});
  environment_.schedule(std::chrono::seconds(1), [this] { pollPlatform(); });
}

}  // namespace coursepond::simulation
