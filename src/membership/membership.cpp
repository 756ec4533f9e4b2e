#include "membership/membership.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "membership/gossip_queue.h"
#include "membership/leaving_marks.h"
#include "membership/member_table.h"
#include "membership/prober.h"
#include "membership/rank.h"
#include "membership/seed_book.h"
#include "membership/timer.h"
#include "membership/token_bucket.h"
#include "membership/zone_directory.h"
#include "membership/zone_gateway.h"

namespace coursepond::membership {
namespace {

/// Maximum number of zone reports on one page of a table copy.
constexpr std::size_t kReportsPerPage = 12;

/// Number of probe intervals between two removals of expired entries.
constexpr std::uint64_t kTicksPerCleanup = 16;

/// Maximum number of addresses remembered as announced. Above it the record is cleared, and
/// addresses are announced again.
constexpr std::size_t kMaxNotifiedAddresses = 8192;

TableDigest combine(TableDigest members, TableDigest reports) {
  return static_cast<TableDigest>(mixBits(members ^ mixBits(reports)));
}

}  // namespace

class Membership::Implementation final : private MessageSender<Message> {
 public:
  Implementation(const Member& self, Settings settings, Environment& environment,
                 MessageSender<Message>& sender, MembershipObserver& observer);

  void start();
  void setListedNodes(const std::vector<model::ListedNode>& nodes);
  void addZones(const std::vector<ZoneId>& zones);
  void onMessage(const NodeId& from, const Message& message);
  void leave();

  const View& view() const { return view_; }
  Roles roles() const;
  const Member* find(const NodeId& id) const;
  bool joined() const { return joined_; }
  const MembershipStatistics& statistics() const { return statistics_; }

 private:
  /// Sends every outgoing message, after it has announced the receiver's address to the observer.
  void send(const NodeId& to, const Message& message) override;

  // Time.
  void tick();
  void scheduleTick();
  void forgetExpired();
  bool isTickOverdue() const;
  void detectPause();

  // Messages.
  void on(const NodeId& from, const Ping& ping);
  void on(const NodeId& from, const Ack& ack);
  void on(const NodeId& from, const PingRequest& request);
  void on(const NodeId& from, const Gossip& gossip);
  void on(const NodeId& from, const JoinRequest& request);
  void on(const NodeId& from, const JoinDeferred& deferred);
  void on(const NodeId& from, const SyncRequest& request);
  void on(const NodeId& from, const TablePage& page);
  void on(const NodeId& from, const ZoneProbe& probe);
  void on(const NodeId& from, const ZoneAnswer& answer);

  // Claims.
  void applyUpdate(const Updates& updates, const NodeId& source);
  void applyUpdate(const Member& claim, const NodeId& source);
  void applyUpdate(const ZoneReport& report, const NodeId& source);
  void applyClaimAboutSelf(const Member& claim);
  void enqueueGossip(const Member& member, const NodeId& source);
  Updates updatesFor(const NodeId& to);
  void scheduleGossip();
  void gossip();

  // Suspicion.
  void suspect(const NodeId& target);
  void startSuspicionTimer(const Member& suspect);
  void declareDead(const NodeId& id, Incarnation incarnation);

  // Tables.
  TableDigest digest() const;
  void compareDigest(const NodeId& from, TableDigest theirs);
  void requestSync(const NodeId& from);
  void syncWithRandomNeighbour();
  void sendTable(const NodeId& to, SequenceNumber sequence, bool send_back);

  // Joining.
  void tryToJoin();
  void scheduleJoin(Duration delay);
  Duration joinBackoff();
  void reconnect();
  Duration reconnectDelay() const;
  std::vector<Member> joinCandidates() const;
  void sendJoinRequest(const Member& seed);
  void confirmOnJoinTimeout();

  // View.
  void publishView();
  void rebuildView();
  View buildView() const;
  void notifyPeerAddress(const Member& member);

  Settings settings_;
  Environment& environment_;
  MessageSender<Message>& transport_;
  MembershipObserver& observer_;
  MembershipStatistics statistics_;

  Incarnation initial_incarnation_;  ///< Incarnation with which this process started.
  MemberTable table_;
  ZoneDirectory zones_;
  SeedBook seeds_;
  LeavingMarks leaving_marks_;
  GossipQueue gossip_queue_;
  Prober prober_;
  ZoneGateway gateway_;
  TokenBucket handshakes_;
  /// Joins deferred recently. A further deferred joiner is asked to retry after them.
  std::size_t deferred_joins_ = 0;

  /// Versions of the tables that the view was built from.
  struct ViewInputs {
    std::uint64_t members = 0;
    std::uint64_t zones = 0;
    friend bool operator==(const ViewInputs&, const ViewInputs&) = default;
  };
  View view_;
  Roles view_roles_;  ///< Result of computeRoles(view_).
  ViewInputs view_inputs_;
  ZoneSummary own_summary_;
  mutable std::optional<TableDigest> digest_;  ///< Cached digest for digest_inputs_.
  mutable ViewInputs digest_inputs_;
  std::map<NodeId, Address> notified_addresses_;
  std::map<NodeId, std::size_t> mismatches_;  ///< Consecutive differing digests, by peer.
  struct Suspicion {
    explicit Suspicion(Environment& environment) : timer(environment) {}
    Timer timer;
    std::size_t extensions = 0;
  };
  std::map<NodeId, Suspicion> suspicions_;

  bool started_ = false;
  bool left_ = false;
  bool joined_ = false;
  /// True if peers have confirmed that this node is a member. False while joining and after a
  /// pause.
  bool confirmed_ = false;
  /// True if another zone has answered since the confirmation was lost.
  bool zone_answered_ = false;
  TimePoint unconfirmed_since_;
  TimePoint next_tick_;  ///< When the next tick is due. A much later time indicates a pause.
  std::uint64_t ticks_ = 0;
  TimePoint last_sync_;
  SequenceNumber sync_sequence_ = 0;
  std::size_t join_rounds_ = 0;   ///< Number of rounds in which every seed was tried.
  std::set<NodeId> tried_seeds_;  ///< Seeds tried in the current round.

  Timer tick_timer_;
  Timer gossip_timer_;
  Timer join_timer_;
  Timer reconnect_timer_;
};

// ---- Construction and public functions ----

Membership::Implementation::Implementation(const Member& self, Settings settings,
                                           Environment& environment, MessageSender<Message>& sender,
                                           MembershipObserver& observer)
    : settings_(settings),
      environment_(environment),
      transport_(sender),
      observer_(observer),
      initial_incarnation_(self.incarnation),
      table_(self, kProbeRings, environment.now()),
      zones_(table_, settings_),
      seeds_(self, environment),
      gossip_queue_(settings_),
      prober_(table_, settings_, environment, *this, statistics_,
              {[this](const NodeId& to) { return updatesFor(to); }, [this] { return digest(); },
               [this](const NodeId& target) {
                 suspect(target);
                 publishView();
               }}),
      gateway_(table_, zones_, seeds_, settings_, environment, *this,
               [this](const ZoneReport& report) {
                 ++statistics_.zone_reports;
                 applyUpdate(report, table_.self().id);
               }),
      handshakes_(settings.handshakes_per_second, settings.handshake_burst, environment.now()),
      unconfirmed_since_(environment.now()),
      last_sync_(environment.now() - settings.sync_interval),
      tick_timer_(environment),
      gossip_timer_(environment),
      join_timer_(environment),
      reconnect_timer_(environment) {
  view_ = buildView();
  view_roles_ = computeRoles(view_);
  own_summary_ = ZoneSummary{view_.own_zone, 1, ownContacts(view_)};
}

void Membership::Implementation::start() {
  started_ = true;
  unconfirmed_since_ = environment_.now();
  // A random phase keeps nodes that start together from probing in lockstep.
  const Duration phase(static_cast<Duration::rep>(
      environment_.random(static_cast<std::uint64_t>(settings_.probe_interval.count()))));
  next_tick_ = environment_.now() + phase;
  tick_timer_.start(phase, [this] { tick(); });
  scheduleJoin(Duration(static_cast<Duration::rep>(environment_.random(
      static_cast<std::uint64_t>(std::max<Duration::rep>(1, settings_.join_spread.count()))))));
  reconnect_timer_.start(reconnectDelay(), [this] { reconnect(); });
}

void Membership::Implementation::setListedNodes(const std::vector<model::ListedNode>& nodes) {
  seeds_.setListed(nodes);
  zones_.setListed(seeds_.listedZones(), environment_.now());
  for (const NodeId& id :
       leaving_marks_.update(nodes, table_, environment_.now() - settings_.listing_lag)) {
    Member marked = *table_.find(id);
    marked.leaving = true;
    applyUpdate(marked, table_.self().id);
  }
  publishView();
}

void Membership::Implementation::addZones(const std::vector<ZoneId>& zones) {
  zones_.setConfigured({zones.begin(), zones.end()}, environment_.now());
  publishView();
}

void Membership::Implementation::onMessage(const NodeId& from, const Message& message) {
  if (!started_ || left_ || from == table_.self().id) {
    return;
  }
  detectPause();
  std::visit([&](const auto& typed) { on(from, typed); }, message);
  publishView();
}

void Membership::Implementation::leave() {
  if (!started_ || left_) {
    return;
  }
  Member self = table_.self();
  self.state = MemberState::kLeft;
  for (const NodeId& neighbour : table_.neighbours()) {
    send(neighbour, Gossip{{{self}, {}}});
  }
  left_ = true;
  for (Timer* timer : {&tick_timer_, &gossip_timer_, &join_timer_, &reconnect_timer_}) {
    timer->cancel();
  }
  suspicions_.clear();
  prober_.reset();
}

Roles Membership::Implementation::roles() const {
  const bool active = started_ && !left_ && confirmed_ && !isTickOverdue();
  return active ? view_roles_ : Roles{};
}

const Member* Membership::Implementation::find(const NodeId& id) const {
  if (const Member* member = table_.find(id)) {
    return member;
  }
  for (const auto& [zone, zone_view] : view_.zones) {
    for (const Member& member : zone_view.members) {
      if (member.id == id) {
        return &member;
      }
    }
  }
  return seeds_.find(id);
}

// ---- Time ----

void Membership::Implementation::send(const NodeId& to, const Message& message) {
  if (const Member* member = find(to)) {
    notifyPeerAddress(*member);
  }
  transport_.send(to, message);
}

void Membership::Implementation::tick() {
  detectPause();
  scheduleTick();
  if (!confirmed_) {
    confirmOnJoinTimeout();
    syncWithRandomNeighbour();
  }
  prober_.onTick();
  zones_.refresh(environment_.now());
  if (confirmed_) {
    gateway_.onTick(own_summary_);
  }
  if (++ticks_ % kTicksPerCleanup == 0) {
    forgetExpired();
  }
  deferred_joins_ -=
      std::min(deferred_joins_, static_cast<std::size_t>(settings_.handshakes_per_second));
  publishView();
}

void Membership::Implementation::forgetExpired() {
  const TimePoint now = environment_.now();
  table_.forgetDeadBefore(now - settings_.dead_retention);
  zones_.forget(now);
  seeds_.forgetReportedBefore(now - settings_.dead_retention);
  if (notified_addresses_.size() > kMaxNotifiedAddresses) {
    notified_addresses_.clear();
  }
}

void Membership::Implementation::scheduleTick() {
  next_tick_ = environment_.now() + settings_.probe_interval;
  tick_timer_.start(settings_.probe_interval, [this] { tick(); });
}

bool Membership::Implementation::isTickOverdue() const {
  return environment_.now() - next_tick_ > settings_.pause_threshold;
}

void Membership::Implementation::detectPause() {
  if (!isTickOverdue()) {
    return;
  }
  const Duration pause = environment_.now() - next_tick_ + settings_.probe_interval;
  ++statistics_.pauses_detected;
  confirmed_ = false;
  zone_answered_ = false;
  unconfirmed_since_ = environment_.now();
  // Answers may have arrived unread during the pause, so pending probes are discarded and suspects
  // get the full suspicion timeout again.
  prober_.reset();
  for (auto& [id, suspicion] : suspicions_) {
    if (const Member* member = table_.find(id)) {
      suspicion.timer.start(
          settings_.suspicion_timeout,
          [this, id = id, incarnation = member->incarnation] { declareDead(id, incarnation); });
    }
  }
  gateway_.onPause();
  scheduleTick();
  syncWithRandomNeighbour();
  observer_.onPauseDetected(pause);
}

// ---- Messages ----

void Membership::Implementation::on(const NodeId& from, const Ping& ping) {
  applyUpdate(ping.updates, from);
  prober_.onPing(from, ping);
  compareDigest(from, ping.table_digest);
}

void Membership::Implementation::on(const NodeId& from, const Ack& ack) {
  applyUpdate(ack.updates, from);
  if (prober_.onAck(ack)) {
    joined_ = true;
    confirmed_ = confirmed_ || ack.table_digest == digest();
  }
  compareDigest(from, ack.table_digest);
}

void Membership::Implementation::on(const NodeId& from, const PingRequest& request) {
  prober_.onPingRequest(from, request);
}

void Membership::Implementation::on(const NodeId& from, const Gossip& gossip) {
  applyUpdate(gossip.updates, from);
}

void Membership::Implementation::on(const NodeId& from, const JoinRequest& request) {
  if (request.joiner.zone != table_.self().zone || request.joiner.id != from) {
    return;
  }
  notifyPeerAddress(request.joiner);
  if (!handshakes_.take(environment_.now())) {
    ++deferred_joins_;
    ++statistics_.joins_deferred;
    send(from, JoinDeferred{handshakes_.delayFor(static_cast<double>(deferred_joins_))});
    return;
  }
  ++statistics_.joins_served;
  applyUpdate(request.joiner, from);
  sendTable(from, 0, false);
}

void Membership::Implementation::on(const NodeId&, const JoinDeferred& deferred) {
  if (joined_) {
    return;
  }
  const auto delay = std::min(deferred.retry_after, settings_.join_backoff_limit).count();
  const auto jitter =
      static_cast<Duration::rep>(environment_.random(static_cast<std::uint64_t>(delay) + 1));
  scheduleJoin(Duration(delay + jitter));
}

void Membership::Implementation::on(const NodeId& from, const SyncRequest& request) {
  if (handshakes_.take(environment_.now())) {
    sendTable(from, request.sequence, request.table_digest != digest());
  }
}

void Membership::Implementation::on(const NodeId& from, const TablePage& page) {
  for (Member claim : page.table.members) {
    // A table copy may be stale, and after a partition each side believes the other side dead. The
    // claim is reduced to a suspicion, so that a live member can refute it.
    if (claim.state == MemberState::kDead && table_.isLive(claim.id)) {
      claim.state = MemberState::kSuspect;
    }
    applyUpdate(claim, from);
  }
  for (const ZoneReport& report : page.table.reports) {
    applyUpdate(report, from);
  }
  if (!page.last) {
    return;
  }
  // After a pause only the response to the latest sync request confirms this node: an earlier page
  // may have been sent before the pause.
  if (!joined_ || (page.sequence != 0 && page.sequence == sync_sequence_)) {
    confirmed_ = true;
  }
  joined_ = true;
  join_timer_.cancel();
  if (page.send_back) {
    sendTable(from, 0, false);
  }
}

void Membership::Implementation::on(const NodeId& from, const ZoneProbe& probe) {
  gateway_.onProbe(from, probe, own_summary_);
}

void Membership::Implementation::on(const NodeId&, const ZoneAnswer& answer) {
  if (gateway_.onAnswer(answer)) {
    joined_ = true;
    zone_answered_ = true;
  }
}

// ---- Claims ----

void Membership::Implementation::applyUpdate(const Updates& updates, const NodeId& source) {
  for (const Member& claim : updates.members) {
    applyUpdate(claim, source);
  }
  for (const ZoneReport& report : updates.reports) {
    applyUpdate(report, source);
  }
}

void Membership::Implementation::applyUpdate(const Member& claim, const NodeId& source) {
  if (claim.zone != table_.self().zone) {
    return;
  }
  if (claim.id == table_.self().id) {
    applyClaimAboutSelf(claim);
    return;
  }
  notifyPeerAddress(claim);
  if (!table_.merge(claim, environment_.now())) {
    return;
  }
  const Member& merged = *table_.find(claim.id);
  if (merged.state == MemberState::kSuspect) {
    startSuspicionTimer(merged);
  } else {
    suspicions_.erase(claim.id);
  }
  if (!isLive(merged)) {
    mismatches_.erase(claim.id);
  }
  enqueueGossip(merged, source);
}

void Membership::Implementation::applyUpdate(const ZoneReport& report, const NodeId& source) {
  if (zones_.merge(report, environment_.now())) {
    for (const Member& contact : report.summary.contacts) {
      notifyPeerAddress(contact);
    }
    gossip_queue_.add(report, source);
    scheduleGossip();
  }
}

void Membership::Implementation::applyClaimAboutSelf(const Member& claim) {
  Member self = table_.self();
  const bool newly_leaving =
      claim.leaving && !self.leaving && claim.incarnation >= initial_incarnation_;
  const bool contradicted =
      claim.incarnation > self.incarnation ||
      (claim.incarnation == self.incarnation && claim.state != MemberState::kAlive);
  if (!newly_leaving && !contradicted) {
    return;
  }
  self.leaving = self.leaving || newly_leaving;
  if (contradicted) {
    self.incarnation = claim.incarnation.next();
    ++statistics_.refutations;
  }
  table_.setSelf(self, environment_.now());
  enqueueGossip(self, self.id);
}

void Membership::Implementation::enqueueGossip(const Member& member, const NodeId& source) {
  gossip_queue_.add(member, source);
  scheduleGossip();
}

Updates Membership::Implementation::updatesFor(const NodeId& to) {
  Updates updates = gossip_queue_.takePiggyback();
  // A node that is believed suspect, dead or left must receive that claim so that it can refute it.
  const Member* member = table_.find(to);
  const bool included = std::any_of(updates.members.begin(), updates.members.end(),
                                    [&](const Member& update) { return update.id == to; });
  if (member != nullptr && member->state != MemberState::kAlive && !included) {
    updates.members.push_back(*member);
  }
  return updates;
}

void Membership::Implementation::scheduleGossip() {
  if (started_ && !left_ && !gossip_timer_.running()) {
    gossip_timer_.start(settings_.gossip_delay, [this] { gossip(); });
  }
}

void Membership::Implementation::gossip() {
  detectPause();
  for (const NodeId& neighbour : table_.neighbours()) {
    for (const Gossip& message : gossip_queue_.freshFor(neighbour)) {
      send(neighbour, message);
    }
  }
  gossip_queue_.markGossiped();
  publishView();
}

// ---- Suspicion ----

void Membership::Implementation::suspect(const NodeId& target) {
  const Member* member = table_.find(target);
  if (member == nullptr || member->state != MemberState::kAlive) {
    return;
  }
  ++statistics_.suspicions;
  Member claim = *member;
  claim.state = MemberState::kSuspect;
  applyUpdate(claim, table_.self().id);
}

void Membership::Implementation::startSuspicionTimer(const Member& suspect) {
  const auto [found, added] = suspicions_.try_emplace(suspect.id, environment_);
  found->second.timer.start(
      settings_.suspicion_timeout,
      [this, id = suspect.id, incarnation = suspect.incarnation] { declareDead(id, incarnation); });
}

void Membership::Implementation::declareDead(const NodeId& id, Incarnation incarnation) {
  detectPause();
  const auto found = suspicions_.find(id);
  if (found == suspicions_.end() || found->second.timer.running()) {
    return;  // A pause was just detected, and the suspicion timer was restarted.
  }
  Suspicion& suspicion = found->second;
  if (suspicion.timer.lateness() > settings_.lateness_tolerance &&
      suspicion.extensions < settings_.max_extensions) {
    ++suspicion.extensions;
    suspicion.timer.start(settings_.suspicion_timeout,
                          [this, id, incarnation] { declareDead(id, incarnation); });
    return;
  }
  const Member* member = table_.find(id);
  if (member == nullptr || member->state != MemberState::kSuspect ||
      member->incarnation != incarnation) {
    return;
  }
  ++statistics_.deaths;
  Member claim = *member;
  claim.state = MemberState::kDead;
  applyUpdate(claim, table_.self().id);
  publishView();
}

// ---- Tables ----

TableDigest Membership::Implementation::digest() const {
  const ViewInputs inputs{table_.version(), zones_.version()};
  if (!digest_ || inputs != digest_inputs_) {
    digest_ = combine(table_.digest(), zones_.digest());
    digest_inputs_ = inputs;
  }
  return *digest_;
}

void Membership::Implementation::compareDigest(const NodeId& from, TableDigest theirs) {
  if (theirs == digest()) {
    mismatches_.erase(from);
    return;
  }
  if (++mismatches_[from] >= settings_.digest_mismatches_before_sync) {
    requestSync(from);
  }
}

void Membership::Implementation::requestSync(const NodeId& from) {
  const TimePoint now = environment_.now();
  const bool urgent = !confirmed_;
  if (!urgent && now - last_sync_ < settings_.sync_interval) {
    return;
  }
  last_sync_ = now;
  mismatches_.erase(from);
  ++statistics_.syncs_sent;
  send(from, SyncRequest{++sync_sequence_, digest()});
}

void Membership::Implementation::syncWithRandomNeighbour() {
  const std::vector<NodeId>& peers = table_.neighbours();
  if (joined_ && !peers.empty()) {
    requestSync(peers[environment_.random(peers.size())]);
  }
}

void Membership::Implementation::sendTable(const NodeId& to, SequenceNumber sequence,
                                           bool send_back) {
  const std::vector<Member> members = table_.allMembers();
  const std::vector<ZoneReport> reports = zones_.reports();
  const auto take_from = [](const auto& items, std::size_t& position, std::size_t count) {
    const std::size_t end = std::min(items.size(), position + count);
    std::decay_t<decltype(items)> taken(items.begin() + static_cast<std::ptrdiff_t>(position),
                                        items.begin() + static_cast<std::ptrdiff_t>(end));
    position = end;
    return taken;
  };
  std::size_t next_member = 0;
  std::size_t next_report = 0;
  bool last = false;
  while (!last) {
    TablePage page;
    page.sequence = sequence;
    page.table.members = take_from(members, next_member, settings_.max_members_per_page);
    page.table.reports = take_from(reports, next_report, kReportsPerPage);
    last = next_member == members.size() && next_report == reports.size();
    page.last = last;
    page.send_back = last && send_back;
    send(to, page);
  }
}

// ---- Joining ----

void Membership::Implementation::scheduleJoin(Duration delay) {
  join_timer_.start(delay, [this] { tryToJoin(); });
}

void Membership::Implementation::tryToJoin() {
  detectPause();
  if (joined_ && table_.liveCount() > 1) {
    return;
  }
  std::vector<Member> seeds = joinCandidates();
  std::erase_if(seeds, [this](const Member& seed) { return tried_seeds_.contains(seed.id); });
  if (!seeds.empty()) {
    const Member& seed = seeds[environment_.random(seeds.size())];
    tried_seeds_.insert(seed.id);
    sendJoinRequest(seed);
  }
  // The backoff grows only after every seed has been tried without success: a dead seed must not
  // delay joining through a live one.
  if (seeds.size() <= 1) {
    tried_seeds_.clear();
    ++join_rounds_;
  }
  scheduleJoin(settings_.join_answer_timeout + joinBackoff());
}

Duration Membership::Implementation::joinBackoff() {
  constexpr std::size_t kDoublingLimit = 6;
  const auto limit = static_cast<std::uint64_t>(settings_.join_backoff_limit.count());
  const auto base = static_cast<std::uint64_t>(settings_.join_spread.count());
  const std::uint64_t range = std::min(limit, base << std::min(join_rounds_, kDoublingLimit));
  return Duration(static_cast<Duration::rep>(environment_.random(range + 1)));
}

void Membership::Implementation::reconnect() {
  detectPause();
  const std::vector<Member> peers = joinCandidates();
  if (confirmed_ && !peers.empty()) {
    sendJoinRequest(peers[environment_.random(peers.size())]);
  }
  reconnect_timer_.start(reconnectDelay(), [this] { reconnect(); });
}

Duration Membership::Implementation::reconnectDelay() const {
  // The delay grows with the zone, so that all nodes of a zone together make only a few join
  // requests per second.
  constexpr int kCallsPerSecond = 4;
  const Duration shared =
      std::chrono::seconds(1) * static_cast<int>(table_.liveCount()) / kCallsPerSecond;
  const Duration mean =
      std::clamp(shared, settings_.reconnect_interval, settings_.reconnect_interval_limit);
  const auto half = static_cast<std::uint64_t>(mean.count() / 2);
  return mean / 2 + Duration(static_cast<Duration::rep>(environment_.random(2 * half + 1)));
}

std::vector<Member> Membership::Implementation::joinCandidates() const {
  std::vector<Member> peers;
  for (const Member& seed : seeds_.nodesOf(table_.self().zone)) {
    if (!table_.isLive(seed.id)) {
      peers.push_back(seed);
    }
  }
  for (const Member& dead : table_.deadMembers()) {
    peers.push_back(dead);
  }
  return peers;
}

void Membership::Implementation::sendJoinRequest(const Member& seed) {
  notifyPeerAddress(seed);
  ++statistics_.joins_sent;
  send(seed.id, JoinRequest{table_.self()});
}

void Membership::Implementation::confirmOnJoinTimeout() {
  const Duration waited = environment_.now() - unconfirmed_since_;
  const bool alone = table_.liveCount() == 1;
  const bool nobody_to_ask = zone_answered_ || !seeds_.hasNodes();
  if ((alone && nobody_to_ask && waited >= settings_.join_timeout) ||
      waited >= settings_.join_timeout_unanswered) {
    joined_ = true;
    confirmed_ = true;
  }
}

// ---- View ----

void Membership::Implementation::publishView() {
  const ViewInputs inputs{table_.version(), zones_.version()};
  if (inputs == view_inputs_) {
    return;
  }
  view_inputs_ = inputs;
  rebuildView();
}

void Membership::Implementation::rebuildView() {
  View fresh = buildView();
  if (fresh.zones == view_.zones) {
    return;
  }
  view_ = std::move(fresh);
  view_roles_ = computeRoles(view_);
  own_summary_ = ZoneSummary{view_.own_zone, table_.liveCount(), ownContacts(view_)};
  observer_.onViewChanged(view_);
}

View Membership::Implementation::buildView() const {
  View view;
  view.self = table_.self().id;
  view.own_zone = table_.self().zone;
  view.zones = zones_.views();
  ZoneView own;
  own.zone = view.own_zone;
  own.members = table_.liveMembers();
  own.node_count = own.members.size();
  own.reachable = true;
  view.zones[view.own_zone] = std::move(own);
  return view;
}

void Membership::Implementation::notifyPeerAddress(const Member& member) {
  if (member.id == table_.self().id) {
    return;
  }
  Address& notified = notified_addresses_[member.id];
  if (notified != member.peer_address) {
    notified = member.peer_address;
    observer_.onPeerAddress(member.id, member.peer_address);
  }
}

// ---- Membership ----

Membership::Membership(const Member& self, Settings settings, Environment& environment,
                       MessageSender<Message>& sender, MembershipObserver& observer)
    : implementation_(
          std::make_unique<Implementation>(self, settings, environment, sender, observer)) {}

Membership::~Membership() = default;

void Membership::start() { implementation_->start(); }

void Membership::setListedNodes(const std::vector<model::ListedNode>& nodes) {
  implementation_->setListedNodes(nodes);
}

void Membership::addZones(const std::vector<ZoneId>& zones) { implementation_->addZones(zones); }

void Membership::onMessage(const NodeId& from, const Message& message) {
  implementation_->onMessage(from, message);
}

void Membership::leave() { implementation_->leave(); }

const View& Membership::view() const { return implementation_->view(); }

Roles Membership::roles() const { return implementation_->roles(); }

const Member* Membership::find(const NodeId& id) const { return implementation_->find(id); }

bool Membership::joined() const { return implementation_->joined(); }

const MembershipStatistics& Membership::statistics() const { return implementation_->statistics(); }

}  // namespace coursepond::membership
