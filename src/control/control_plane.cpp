#include "control/control_plane.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "admin/operator_api.h"
#include "control/body_sender.h"
#include "control/wake_guard.h"
#include "distribution/acceptance.h"
#include "model/document.h"

namespace coursepond::control {
namespace {

using distribution::AcceptanceMessage;
using distribution::AcceptanceRecord;

constexpr std::array<std::string_view, 10> kEventNames = {
    "roles_changed",    "zones_changed",     "pause_detected", "snapshot_in_force",
    "content_rejected", "source_trouble",    "plan_confirmed", "plan_refused",
    "outcome_unknown",  "adopted_after_loss"};

std::string describeRoles(const membership::Roles& roles) {
  std::string text;
  const auto add = [&text](bool held, std::string_view name) {
    if (held) {
      text += text.empty() ? "" : ", ";
      text += name;
    }
  };
  add(roles.source_reader, "source_reader");
  add(roles.zone_distributor, "zone_distributor");
  add(roles.voter, "voter");
  return text.empty() ? "none" : text;
}

/// Returns text such as "zone-1 reachable, zone-2 unreachable".
std::string describeZones(const membership::View& view) {
  std::string text;
  for (const auto& [id, zone] : view.zones) {
    const bool reachable = zone.reachable || id == view.own_zone;
    text += text.empty() ? "" : ", ";
    text += id.value() + (reachable ? " reachable" : " unreachable");
  }
  return text;
}

}  // namespace

std::string_view kindName(ControlEventKind kind) {
  return kEventNames[static_cast<std::size_t>(kind)];
}

class ControlPlane::Implementation final : membership::MembershipObserver,
                                           distribution::ReplicaObserver,
                                           source::SourceSink {
 public:
  Implementation(ControlSettings settings, const membership::Member& self, Environment& environment,
                 MessageSender<PeerMessage>& sender, source::PlatformClient& platform,
                 ControlObserver& observer);
  ~Implementation() override;

  void start();
  void onPeerMessage(const NodeId& from, const PeerMessage& message);
  void leave();

  admin::AdminApi& api() { return api_; }
  const membership::View& view() const { return membership_.view(); }
  membership::Roles roles() const;
  bool ready() const { return replica_.ready(); }
  const distribution::Replica& replica() const { return replica_; }
  ControlStatistics statistics() const;

 private:
  // membership::MembershipObserver
  void onViewChanged(const membership::View& view) override;
  void onPauseDetected(Duration pause) override;
  void onPeerAddress(const NodeId& node, const Address& address) override;

  // distribution::ReplicaObserver
  void onSnapshot(model::SnapshotPointer snapshot) override;
  void onEndpoints(const model::EndpointSet& endpoints) override;
  void onAdoption(Version version) override;
  void onRejected(const Error& error) override;
  void onDocumentNeeded(Version version) override;

  // source::SourceSink
  void onConfiguration(const model::ConfigurationDocument& document) override;
  void onMachines(const model::MachineList& machines) override;
  void onSourceEvent(const source::SourceEvent& event) override;
  bool mayRead() const override;
  Version newestKnown() const override;

  void on(const NodeId& from, const membership::Message& message);
  void on(const NodeId& from, const distribution::Message& message);
  void on(const NodeId& from, const AcceptanceMessage& message);
  void on(const NodeId& from, const admin::Message& message);

  /// Schedules `refresh`, so that it does not run inside a call from Membership.
  void requestRefresh();
  /// Passes a change of the view or the roles on to the other components.
  void refresh();
  void applyRoles(const membership::Roles& roles);
  /// Called every WakeGuard::kTickInterval, because roles change with time as well as with the
  /// view.
  void tick();
  bool isAlone() const;
  void reportZones();
  bool mayGrant(const AcceptanceRecord& proposed) const;
  void onPlanOutcome(const PlanId& plan, const Result<AcceptanceRecord>& outcome);
  bool needsPeers() const;
  void reportEvent(ControlEventKind kind, std::string detail, Version version = Version());
  admin::AdminParts adminParts();

  ControlSettings settings_;
  membership::Member self_;
  Environment& environment_;
  ControlObserver& observer_;
  bool left_ = false;
  bool view_changed_ = false;
  membership::Roles roles_;
  std::size_t node_count_ = 0;
  std::string zones_;
  TimerId refresh_timer_ = 0;
  TimerId tick_timer_ = 0;
  WakeGuard wake_guard_;

  BodySender<membership::Message> membership_sender_;
  BodySender<distribution::Message> replica_sender_;
  BodySender<AcceptanceMessage> acceptance_sender_;
  BodySender<admin::Message> admin_sender_;

  membership::Membership membership_;
  distribution::Replica replica_;
  source::SourceReader reader_;
  distribution::AcceptanceVoter voter_;
  distribution::AcceptanceCoordinator coordinator_;
  admin::OperatorApi api_;
};

ControlPlane::Implementation::Implementation(
    ControlSettings settings, const membership::Member& self, Environment& environment,
    MessageSender<PeerMessage>& sender, source::PlatformClient& platform, ControlObserver& observer)
    : settings_(std::move(settings)),
      self_(self),
      environment_(environment),
      observer_(observer),
      wake_guard_(environment.now()),
      membership_sender_(self.id, environment, sender,
                         [this](const NodeId& from, const auto& body) { on(from, body); }),
      replica_sender_(self.id, environment, sender,
                      [this](const NodeId& from, const auto& body) { on(from, body); }),
      acceptance_sender_(self.id, environment, sender,
                         [this](const NodeId& from, const auto& body) { on(from, body); }),
      admin_sender_(self.id, environment, sender,
                    [this](const NodeId& from, const auto& body) { on(from, body); }),
      membership_(self, settings_.membership, environment, membership_sender_, *this),
      replica_(self.id, self.zone, settings_.distribution, environment, replica_sender_, *this),
      reader_(settings_.source, environment, platform, *this),
      voter_(environment, acceptance_sender_, replica_,
             [this](const AcceptanceRecord& proposed) { return mayGrant(proposed); }),
      coordinator_(self.id, environment, acceptance_sender_, replica_, settings_.acceptance),
      api_(adminParts(), settings_.admin) {}

ControlPlane::Implementation::~Implementation() {
  environment_.cancel(refresh_timer_);
  environment_.cancel(tick_timer_);
}

admin::AdminParts ControlPlane::Implementation::adminParts() {
  return admin::AdminParts{self_.id,
                           self_.zone,
                           environment_,
                           admin_sender_,
                           replica_,
                           coordinator_,
                           reader_,
                           [this] { return membership_.view(); },
                           [this] { return roles(); },
                           [this](const PlanId& plan, const Result<AcceptanceRecord>& outcome) {
                             onPlanOutcome(plan, outcome);
                           }};
}

void ControlPlane::Implementation::start() {
  membership_.addZones(settings_.zones);
  membership_.setListedNodes(settings_.seeds);
  membership_.start();
  replica_.start();
  const Duration patience =
      settings_.seeds.empty() ? Duration::zero() : settings_.source.bootstrap_patience;
  reader_.startBootstrap(patience, [this] { return needsPeers(); });
  tick();
}

void ControlPlane::Implementation::onPeerMessage(const NodeId& from, const PeerMessage& message) {
  if (left_) {
    return;
  }
  wake_guard_.onPeerMessage(environment_.now());
  std::visit([this, &from](const auto& body) { on(from, body); }, message);
}

void ControlPlane::Implementation::leave() {
  membership_.leave();
  reader_.stop();
  applyRoles(membership::Roles());
  left_ = true;
  environment_.cancel(refresh_timer_);
  environment_.cancel(tick_timer_);
  membership_sender_.close();
  replica_sender_.close();
  acceptance_sender_.close();
  admin_sender_.close();
}

membership::Roles ControlPlane::Implementation::roles() const {
  return left_ ? membership::Roles() : membership_.roles();
}

ControlStatistics ControlPlane::Implementation::statistics() const {
  ControlStatistics statistics;
  statistics.membership = membership_.statistics();
  statistics.replica = replica_.statistics();
  statistics.source = reader_.statistics();
  statistics.plans_made = api_.planStatistics().made;
  statistics.plans_confirmed = api_.planStatistics().confirmed;
  statistics.plans_refused = api_.planStatistics().refused;
  statistics.plans_unknown = api_.planStatistics().unknown;
  statistics.admin_unauthorized = api_.statistics().unauthorized;
  return statistics;
}

// --- messages ---

void ControlPlane::Implementation::on(const NodeId& from, const membership::Message& message) {
  membership_.onMessage(from, message);
}

void ControlPlane::Implementation::on(const NodeId& from, const distribution::Message& message) {
  replica_.onMessage(from, message);
}

void ControlPlane::Implementation::on(const NodeId& from, const AcceptanceMessage& message) {
  voter_.onMessage(from, message);
  coordinator_.onMessage(from, message);
}

void ControlPlane::Implementation::on(const NodeId& from, const admin::Message& message) {
  api_.onMessage(from, message);
}

// --- membership ---

void ControlPlane::Implementation::onViewChanged(const membership::View&) {
  view_changed_ = true;
  requestRefresh();
}

void ControlPlane::Implementation::onPauseDetected(Duration pause) {
  replica_.onPauseDetected();
  reader_.onPauseDetected();
  voter_.onPauseDetected();
  coordinator_.onPauseDetected();
  reportEvent(ControlEventKind::kPauseDetected,
              "paused for about " + std::to_string(toMilliseconds(pause)) + " ms");
  requestRefresh();
}

void ControlPlane::Implementation::onPeerAddress(const NodeId& node, const Address& address) {
  observer_.onPeerAddress(node, address);
}

void ControlPlane::Implementation::requestRefresh() {
  if (refresh_timer_ != 0 || left_) {
    return;
  }
  refresh_timer_ = environment_.schedule(Duration::zero(), [this] {
    refresh_timer_ = 0;
    refresh();
  });
}

void ControlPlane::Implementation::refresh() {
  const membership::Roles roles = membership_.roles();
  const bool has_changes = std::exchange(view_changed_, false) || !(roles == roles_);
  if (!has_changes) {
    return;
  }
  applyRoles(roles);
  const std::size_t count = std::max<std::size_t>(view().nodeCount(), 1);
  if (std::exchange(node_count_, count) != count) {
    observer_.onNodeCount(count);
  }
  reportZones();
}

void ControlPlane::Implementation::applyRoles(const membership::Roles& roles) {
  const bool changed = !(roles == roles_);
  roles_ = roles;
  replica_.onViewChanged(view(), roles);
  reader_.setRole(roles.source_reader);
  if (changed) {
    reportEvent(ControlEventKind::kRolesChanged, describeRoles(roles));
  }
}

void ControlPlane::Implementation::tick() {
  wake_guard_.onTick(environment_.now());
  refresh();
  tick_timer_ = environment_.schedule(WakeGuard::kTickInterval, [this] { tick(); });
}

bool ControlPlane::Implementation::isAlone() const {
  const membership::ZoneView* zone = view().zone(self_.zone);
  const bool alone_in_zone = zone == nullptr || zone->members.size() <= 1;
  return alone_in_zone && view().reachableZoneCount() <= 1;
}

void ControlPlane::Implementation::reportZones() {
  std::string zones = describeZones(view());
  if (zones != zones_) {
    zones_ = std::move(zones);
    reportEvent(ControlEventKind::kZonesChanged, zones_);
  }
}

bool ControlPlane::Implementation::needsPeers() const {
  return !reader_.reading() && view().nodeCount() <= 1;
}

// --- distribution ---

void ControlPlane::Implementation::onSnapshot(model::SnapshotPointer snapshot) {
  const std::string detail = "version " + std::to_string(snapshot->version.value());
  observer_.onSnapshot(std::move(snapshot));
  reportEvent(ControlEventKind::kSnapshotInForce, detail);
}

void ControlPlane::Implementation::onEndpoints(const model::EndpointSet& endpoints) {
  observer_.onEndpoints(endpoints);
}

void ControlPlane::Implementation::onAdoption(Version version) {
  reportEvent(ControlEventKind::kAdopted, "version " + std::to_string(version.value()), version);
}

void ControlPlane::Implementation::onRejected(const Error& error) {
  reportEvent(ControlEventKind::kContentRejected, describe(error));
}

void ControlPlane::Implementation::onDocumentNeeded(Version version) {
  if (reader_.reading()) {
    reader_.fetch(version, [](const source::FetchOutcome&) {});
  }
}

bool ControlPlane::Implementation::mayGrant(const AcceptanceRecord& proposed) const {
  const auto content = replica_.find(proposed.version);
  return replica_.ready() && content != nullptr &&
         model::contentDigest(*content) == proposed.digest;
}

void ControlPlane::Implementation::onPlanOutcome(const PlanId& plan,
                                                 const Result<AcceptanceRecord>& outcome) {
  if (outcome.has_value()) {
    reportEvent(ControlEventKind::kPlanConfirmed, plan.value());
    return;
  }
  const bool unknown = outcome.error().kind == ErrorKind::kOutcomeUnknown;
  reportEvent(unknown ? ControlEventKind::kOutcomeUnknown : ControlEventKind::kPlanRefused,
              plan.value() + ": " + describe(outcome.error()));
}

// --- source ---

void ControlPlane::Implementation::onConfiguration(const model::ConfigurationDocument& document) {
  replica_.stage(document);
}

void ControlPlane::Implementation::onMachines(const model::MachineList& machines) {
  membership_.setListedNodes(machines.nodes);
  replica_.updateEndpoints(machines.endpoint_sets);
}

void ControlPlane::Implementation::onSourceEvent(const source::SourceEvent& event) {
  std::string detail(source::kindName(event.kind));
  if (!event.error.message.empty()) {
    detail += ": " + describe(event.error);
  }
  reportEvent(ControlEventKind::kSourceTrouble, std::move(detail));
}

bool ControlPlane::Implementation::mayRead() const {
  return roles().source_reader && (wake_guard_.heardPeerSinceWake(environment_.now()) || isAlone());
}

Version ControlPlane::Implementation::newestKnown() const {
  return std::max(replica_.newestStaged(), replica_.record().version);
}

void ControlPlane::Implementation::reportEvent(ControlEventKind kind, std::string detail,
                                               Version version) {
  observer_.onEvent(ControlEvent{kind, std::move(detail), version});
}

// --- ControlPlane ---

ControlPlane::ControlPlane(ControlSettings settings, const membership::Member& self,
                           Environment& environment, MessageSender<PeerMessage>& sender,
                           source::PlatformClient& platform, ControlObserver& observer)
    : implementation_(std::make_unique<Implementation>(std::move(settings), self, environment,
                                                       sender, platform, observer)) {}

ControlPlane::~ControlPlane() = default;

void ControlPlane::start() { implementation_->start(); }

void ControlPlane::onPeerMessage(const NodeId& from, const PeerMessage& message) {
  implementation_->onPeerMessage(from, message);
}

void ControlPlane::leave() { implementation_->leave(); }

admin::AdminApi& ControlPlane::api() { return implementation_->api(); }

const membership::View& ControlPlane::view() const { return implementation_->view(); }

membership::Roles ControlPlane::roles() const { return implementation_->roles(); }

bool ControlPlane::ready() const { return implementation_->ready(); }

const distribution::Replica& ControlPlane::replica() const { return implementation_->replica(); }

ControlStatistics ControlPlane::statistics() const { return implementation_->statistics(); }

}  // namespace coursepond::control
