#include "distribution/replica_implementation.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <variant>

#include "model/document.h"

namespace coursepond::distribution {
namespace {

/// How long a node that has staged a document keeps the secret values of every zone.
constexpr Duration kStagedSecretsRetention = std::chrono::seconds(60);
/// How long accepted content may be missing before its document is requested again.
constexpr Duration kMissingContentDelay = std::chrono::seconds(2);
/// Upper bound for the backoff between two requests for a document.
constexpr Duration kMaxDocumentRequestInterval = std::chrono::seconds(60);
/// Number of peers of the node's zone that a cold or paused node asks in one round.
constexpr int kPeersAskedPerRound = 2;
/// Number of summaries per round that the members of a zone without a role send to other zones, all
/// together and on average.
constexpr std::size_t kRemoteZoneSummariesPerRound = 2;

bool newer(const AcceptanceRecord& left, const AcceptanceRecord& right) {
  return std::tie(left.version, left.digest) > std::tie(right.version, right.digest);
}

/// Returns the first four bytes of the digest, which are enough to detect that two digests of one
/// version differ.
std::uint32_t checksumOf(const Digest& digest) {
  const std::string bytes = digest.bytes();
  std::uint32_t checksum = 0;
  for (std::size_t i = 0; i < sizeof(checksum); ++i) {
    checksum = (checksum << 8) | static_cast<std::uint8_t>(bytes[i]);
  }
  return checksum;
}

}  // namespace

Replica::Implementation::Implementation(NodeId self, ZoneId zone, Settings settings,
                                        Environment& environment, MessageSender<Message>& sender,
                                        ReplicaObserver& observer)
    : self_(std::move(self)),
      zone_(std::move(zone)),
      settings_(std::move(settings)),
      environment_(environment),
      sender_(sender),
      observer_(observer),
      peers_(self_, zone_, settings_.tree_fanout, environment),
      content_(zone_, settings_, environment, sender, peers_, *this),
      endpoints_(environment, sender, peers_,
                 [this](const model::EndpointSet& set) { observer_.onEndpoints(set); }),
      cold_start_(settings_, peers_, environment.now()),
      reports_(settings_.report_expiry),
      tick_timer_(environment),
      report_timer_(environment),
      all_secrets_until_(environment.now()),
      next_document_request_(environment.now()),
      document_request_interval_(settings_.document_request_interval) {}

void Replica::Implementation::start() {
  tick_timer_.start(randomUpTo(settings_.cold_interval), [this] { tick(); });
  report_timer_.start(jittered(settings_.report_interval), [this] { report(); });
}

void Replica::Implementation::onViewChanged(const membership::View& view,
                                            const membership::Roles& roles) {
  peers_.update(view);
  roles_ = roles;
}

void Replica::Implementation::onMessage(const NodeId& from, const Message& message) {
  std::visit([&](const auto& fields) { handle(from, fields); }, message);
}

void Replica::Implementation::onPauseDetected() {
  ++statistics_.pauses;
  rechecking_ = true;
  recheck_since_ = environment_.now();
  content_.setSpreadingPaused(true);
  cold_start_.onPause(environment_.now());
  tick();
}

void Replica::Implementation::stage(const model::ConfigurationDocument& document) {
  const model::Configuration& configuration = document.configuration;
  const std::string text = model::canonicalText(configuration);
  const ContentId content{configuration.version, Digest::of(text)};
  const std::string version = "version " + std::to_string(content.version.value());
  if (text.size() > settings_.content_size_limit) {
    return reject({ErrorKind::kTooLarge,
                   version + " has " + std::to_string(text.size()) + " bytes, more than " +
                       std::to_string(settings_.content_size_limit),
                   "publish a smaller configuration, or raise content_size_limit on every node"});
  }
  if (content.version < record_.version) {
    return reject({ErrorKind::kVersionRegression, version + " is older than the accepted version",
                   "publish the content again under a higher version"});
  }
  if (content.version == record_.version && content.digest != record_.digest) {
    return reject({ErrorKind::kDigestMismatch,
                   version + " differs from the content accepted as this version",
                   "publish changed content under a higher version"});
  }
  all_secrets_until_ = environment_.now() + kStagedSecretsRetention;
  published_ = std::max(published_, content);
  content_.stage(content, document);
  acceptPublished();
}

void Replica::Implementation::updateEndpoints(const std::vector<model::EndpointSet>& sets) {
  endpoints_.updateFromList(sets);
}

bool Replica::Implementation::offer(const AcceptanceRecord& record) {
  if (!merge(record)) return false;
  if (rechecking_) {
    pending_record_spread_.add(ForwardMode::kZone);
  } else {
    for (const PushTarget& target : peers_.originTargets()) {
      sender_.send(target.to, RecordPush{target.spread, record_});
    }
  }
  applyIfPossible();
  return true;
}

ConfigurationPointer Replica::Implementation::find(Version version) const {
  if (version == record_.version) return content_.contents().find(acceptedContent());
  return content_.contents().findVersion(version);
}

std::vector<ProxyState> Replica::Implementation::knownProxies() const {
  std::vector<ProxyState> proxies;
  if (peers_.isDistributor()) proxies = reports_.current(environment_.now());
  std::erase_if(proxies, [this](const ProxyState& proxy) { return proxy.node == self_; });
  proxies.push_back(
      {self_, zone_, in_force_.version, record_.version, newestStaged(), last_error_});
  return proxies;
}

const ReplicaStatistics& Replica::Implementation::statistics() const {
  statistics_.deltas_applied = content_.statistics().deltas_applied;
  statistics_.full_contents_received = content_.statistics().full_contents_received;
  statistics_.secrets_refused = content_.statistics().secrets_refused;
  statistics_.busy_refusals = content_.busyRefusals();
  statistics_.endpoint_changes_applied = endpoints_.statistics().changes_applied;
  statistics_.endpoint_repairs = endpoints_.statistics().repairs;
  return statistics_;
}

// ---- The acceptance record and the content in force ----

void Replica::Implementation::handle(const NodeId& from, const RecordPush& push) {
  const bool is_newer = merge(push.record);
  if (!is_newer && push.record != record_) return;
  if (is_newer) {
    if (push.spread == ForwardMode::kDirect) ++statistics_.repairs;
    content_.wantFrom(from, acceptedContent());
  }
  // A record that arrived by repair may be new to the whole zone.
  const bool forward_to_zone = is_newer && push.spread == ForwardMode::kDirect;
  pending_record_spread_.add(forward_to_zone ? ForwardMode::kZone : push.spread);
  spreadRecord();
  applyIfPossible();
}

void Replica::Implementation::handle(const NodeId& from, const ContentAnnouncement& announcement) {
  content_.onAnnouncement(from, announcement);
}

void Replica::Implementation::onContentComplete(const ContentId& content) {
  if (content == acceptedContent()) applyIfPossible();
  prune();
}

void Replica::Implementation::onContentRejected(const Error& error) { reject(error); }

bool Replica::Implementation::merge(const AcceptanceRecord& record) {
  if (!newer(record, record_)) return false;
  record_ = record;
  pending_record_spread_ = PendingSpread();
  cold_start_.onRecord(environment_.now());
  prune();
  content_.want(acceptedContent());
  scheduleReport();
  return true;
}

void Replica::Implementation::spreadRecord() {
  if (rechecking_) return;
  std::vector<ForwardMode> due;
  std::swap(due, pending_record_spread_.due);
  for (const ForwardMode way : due) {
    for (const PushTarget& target : peers_.targets(way)) {
      sender_.send(target.to, RecordPush{target.spread, record_});
    }
  }
}

void Replica::Implementation::applyIfPossible() {
  if (!cold_start_.settled(environment_.now())) return;
  const ContentId content = acceptedContent();
  if (content <= in_force_ || content == unusable_) return;
  if (!content_.complete(content)) return content_.want(content);

  const model::Configuration& configuration = *content_.contents().find(content);
  Result<model::SnapshotPointer> snapshot = model::buildSnapshot(
      configuration, content_.secrets().valuesFor(configuration, zone_), zone_);
  if (!snapshot) {
    unusable_ = content;
    return reject(snapshot.error());
  }
  putInForce(content, std::move(*snapshot));
}

void Replica::Implementation::putInForce(const ContentId& content,
                                         model::SnapshotPointer snapshot) {
  in_force_ = content;
  last_error_.clear();
  ++statistics_.snapshots_applied;
  endpoints_.setWarm(true);
  prune();
  scheduleReport();
  observer_.onSnapshot(std::move(snapshot));
}

void Replica::Implementation::acceptPublished() {
  if (settings_.acceptance != AcceptanceMode::kAutomatic || rechecking_) return;
  // A cold node must first learn the accepted version from its peers, or adopt one.
  if (!cold_start_.settled(environment_.now())) return;
  const ContentId published = newestPublished();
  if (published.version <= record_.version) return;
  offer({published.version, published.digest, record_.version});
}

void Replica::Implementation::adoptIfNoWitness() {
  if (!roles_.source_reader || rechecking_) return;
  const ContentId published = newestPublished();
  if (published.version == Version() || !cold_start_.adoptionDue(environment_.now())) return;
  observer_.onAdoption(published.version);
  if (offer({published.version, published.digest, Version()})) ++statistics_.adopted_after_loss;
}

ContentId Replica::Implementation::newestPublished() const {
  // All staged content has been published. A reader may have received it only from the other
  // reader, and must be able to take over from it.
  return roles_.source_reader ? std::max(published_, content_.newestComplete()) : published_;
}

void Replica::Implementation::requestDocumentIfNeeded() {
  if (!roles_.source_reader || rechecking_ || record_.version == Version()) return;
  const ContentId content = acceptedContent();
  const TimePoint now = environment_.now();
  const bool held = content_.contents().holds(content);
  const bool needed = held ? !content_.holdsAllSecretsOf(content)
                           : now - content_.missingSince(content) >= kMissingContentDelay;
  if (!needed) {
    document_request_interval_ = settings_.document_request_interval;
    return;
  }
  if (now < next_document_request_) return;
  next_document_request_ = now + document_request_interval_;
  document_request_interval_ =
      std::min(document_request_interval_ * 2, kMaxDocumentRequestInterval);
  ++statistics_.documents_requested;
  observer_.onDocumentNeeded(record_.version);
}

void Replica::Implementation::reject(const Error& error) {
  ++statistics_.content_rejected;
  last_error_ = describe(error).substr(0, kMaxReportedError);
  scheduleReport();
  observer_.onRejected(error);
}

void Replica::Implementation::prune() {
  kept_all_secrets_ = keepsAllSecrets();
  content_.prune(acceptedContent(), in_force_, kept_all_secrets_);
}

bool Replica::Implementation::keepsAllSecrets() const {
  return roles_.source_reader || environment_.now() < all_secrets_until_;
}

// ---- Anti-entropy ----

void Replica::Implementation::scheduleTick() {
  const Duration interval =
      needsAnswers() ? settings_.cold_interval : settings_.anti_entropy_interval;
  tick_timer_.start(jittered(interval), [this] { tick(); });
}

void Replica::Implementation::tick() {
  ++statistics_.anti_entropy_rounds;
  if (rechecking_ && environment_.now() - recheck_since_ >= settings_.pause_recheck_limit) {
    endRecheck();
  }
  adoptIfNoWitness();
  acceptPublished();
  applyIfPossible();
  requestDocumentIfNeeded();
  if (keepsAllSecrets() != kept_all_secrets_) prune();
  reports_.forgetExpired(environment_.now());
  sendSummaries();
  scheduleTick();
}

bool Replica::Implementation::needsAnswers() {
  return rechecking_ || !cold_start_.settled(environment_.now());
}

void Replica::Implementation::sendSummaries() {
  Summary mine = summary();
  mine.wants_answer = needsAnswers();
  const int peer_count = mine.wants_answer ? kPeersAskedPerRound : 1;
  for (int i = 0; i < peer_count; ++i) {
    const auto peer = mine.wants_answer ? peers_.randomLocalPeer() : peers_.randomNeighbour();
    if (peer) sender_.send(*peer, mine);
  }
  if (mine.wants_answer) {
    for (const NodeId& node : peers_.onePeerPerRemoteZone()) sender_.send(node, mine);
    return;
  }
  const bool sends_to_other_zones =
      peers_.isDistributor() || roles_.source_reader ||
      environment_.random(peers_.otherLocalMemberCount() + 1) < kRemoteZoneSummariesPerRound;
  if (!sends_to_other_zones) return;
  if (const auto peer = peers_.randomRemoteZonePeer()) sender_.send(*peer, mine);
}

Summary Replica::Implementation::summary() {
  const ContentId staged = content_.newestComplete();
  Summary summary;
  summary.accepted = record_.version;
  summary.accepted_checksum = checksumOf(record_.digest);
  summary.in_force = in_force_.version;
  summary.staged = staged.version;
  summary.staged_checksum = checksumOf(staged.digest);
  summary.endpoint_checksum = endpoints_.checksum();
  summary.witness = record_.version != Version();
  summary.holds_all_secrets = content_.holdsAllSecretsOf(staged);
  summary.last_error = last_error_;
  return summary;
}

void Replica::Implementation::handle(const NodeId& from, const Summary& theirs) {
  if (peers_.isDistributor() && peers_.zoneOf(from) == zone_) {
    reports_.onSummary(from, zone_, theirs, environment_.now());
  }
  if (theirs.is_answer) {
    cold_start_.onAnswer(from, theirs.witness, environment_.now());
    if (rechecking_) endRecheck();
  }
  if (theirs.holds_all_secrets) content_.onSecretHolder(from);
  answerSummary(from, theirs);
  applyIfPossible();
}

void Replica::Implementation::answerSummary(const NodeId& from, const Summary& theirs) {
  const bool they_are_ahead = sendNewerState(from, theirs);
  if (theirs.is_answer) return;
  if (theirs.endpoint_checksum != endpoints_.checksum()) endpoints_.beginRepair(from);
  if (!theirs.wants_answer && !they_are_ahead) return;
  Summary answer = summary();
  answer.is_answer = true;
  sender_.send(from, answer);
}

bool Replica::Implementation::sendNewerState(const NodeId& to, const Summary& theirs) {
  const bool record_differs =
      theirs.accepted == record_.version && theirs.accepted_checksum != checksumOf(record_.digest);
  if (theirs.accepted < record_.version || record_differs) {
    sender_.send(to, RecordPush{ForwardMode::kDirect, record_});
  }
  const ContentId staged = content_.newestComplete();
  if (theirs.staged < staged.version) {
    sender_.send(to, ContentAnnouncement{ForwardMode::kDirect, staged});
  }
  const ContentId accepted = acceptedContent();
  if (theirs.in_force < accepted.version && accepted != staged && content_.complete(accepted)) {
    sender_.send(to, ContentAnnouncement{ForwardMode::kDirect, accepted});
  }
  return theirs.accepted > record_.version || record_differs || theirs.staged > staged.version ||
         theirs.in_force > in_force_.version;
}

void Replica::Implementation::endRecheck() {
  rechecking_ = false;
  content_.setSpreadingPaused(false);
  spreadRecord();
}

// ---- Reports ----

void Replica::Implementation::scheduleReport() {
  if (report_due_soon_) return;
  report_due_soon_ = true;
  report_timer_.start(randomUpTo(settings_.max_report_delay), [this] { report(); });
}

void Replica::Implementation::report() {
  report_due_soon_ = false;
  const Summary mine = summary();
  for (const NodeId& node : peers_.otherLocalDistributors()) sender_.send(node, mine);
  report_timer_.start(jittered(settings_.report_interval), [this] { report(); });
}

Duration Replica::Implementation::jittered(Duration interval) {
  return interval * 3 / 4 + randomUpTo(interval / 2);
}

Duration Replica::Implementation::randomUpTo(Duration limit) {
  const auto bound = static_cast<std::uint64_t>(limit.count()) + 1;
  return Duration(static_cast<std::int64_t>(environment_.random(bound)));
}

}  // namespace coursepond::distribution
