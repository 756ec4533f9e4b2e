#include "source/relay_client.h"

#include <algorithm>

#include "core/chance.h"

namespace coursepond::source {
namespace {

/// Expected number of nodes, besides the standbys, that read the configuration from the source at
/// the same time while all readers fail. The other nodes ask each other several times per second,
/// so that with this many they learn of a new version within a second. The probability that no node
/// reads in a given round is one in 400; this covers only the loss of all standbys as well.
constexpr double kExpectedFallbackReaders = 6;
/// Upper bound for the refusals after which a read asks no further parent. While the source is
/// down, all parents refuse at once, and the questions of all nodes would load them.
constexpr std::size_t kMaxRefusals = 4;

Error earlierEraError() {
  return Error{ErrorKind::kOverloaded, "the peer does not know yet that the source was restored",
               "none needed: another peer is asked"};
}

/// Adds the transfer time to the age of a batch with a configuration: a large one may take seconds
/// to arrive, and reflects the state of the source at the time of the request.
void addTransferTime(WatchBatch& batch, Duration since_asked) {
  const bool is_large = !batch.configurations.empty();
  if (batch.age && is_large) *batch.age += since_asked;
}

Error noPathError() {
  return Error{ErrorKind::kUnavailable,
               "the readers and the source failed recently and are not asked again yet",
               "see source_trouble lines; the configuration in force stays"};
}

}  // namespace

RelayClient::RelayClient(const RelaySettings& settings, Topic topic, WatchClient& source,
                         PeerStateClient& peers, const HeldState& held, Environment& environment)
    : settings_(settings),
      topic_(topic),
      source_(source),
      peers_(peers),
      held_(held),
      environment_(environment) {
  shareSilentParents(std::make_shared<SilentParents>(environment_));
}

Duration RelayClient::sourceWait() const {
  return topic_ == Topic::kConfiguration ? settings_.configuration_wait : settings_.source_wait;
}

Duration RelayClient::peerWait() const {
  if (topic_ == Topic::kServers) return settings_.peer_wait;
  // A parent answers when its own read is answered, which may be up to half a slack later than the
  // wait of that read.
  return settings_.configuration_wait + settings_.peer_slack / 2;
}

void RelayClient::shareSilentParents(std::shared_ptr<SilentParents> silent) {
  silent_ = std::move(silent);
  silent_->subscribe(
      [this, alive = std::weak_ptr<int>(alive_)](const std::string& host, const Error& error) {
        if (!alive.expired()) onParentSilent(host, error);
      });
}

void RelayClient::setParents(std::vector<std::string> parents, ReaderRole role, std::size_t nodes) {
  parents_ = std::move(parents);
  nodes_ = nodes;
  role_ = role;
  silent_->retain(parents_);
  std::erase_if(avoided_until_, [this](const auto& item) {
    return std::find(parents_.begin(), parents_.end(), item.first) == parents_.end();
  });
}

Duration RelayClient::longestRead() const {
  const bool asks_parent = role_ == ReaderRole::kRelay;
  return asks_parent ? peerWait() + settings_.peer_slack : sourceWait() + settings_.source_slack;
}

bool RelayClient::isFresh() const {
  // A version may take long to arrive, but a node that started to read it now would get it later
  // still. A pause of this process is detected by its reads of the servers.
  if (topic_ == Topic::kConfiguration) return is_fresh_;
  // Twice, to allow for the pause between two reads. After a process was frozen, this check makes
  // it stale.
  return is_fresh_ && environment_.now() - last_fresh_answer_ <= 2 * longestRead();
}

void RelayClient::list(Duration timeout, WatchCallback callback) {
  if (!isReader() && !parents_.empty()) {
    // A watch from before the first revision returns everything the parent has.
    return watch(SourceRevision(), Duration(0), timeout, std::move(callback));
  }
  ++statistics_.source_reads;
  source_.list(timeout, [this, callback = std::move(callback), asked = environment_.now(),
                         alive = std::weak_ptr<int>(alive_)](Result<WatchBatch> answer) {
    if (alive.expired()) return;
    if (answer) {
      const Duration elapsed = environment_.now() - asked;
      addTransferTime(*answer, elapsed);
      noteSourceAnswer(*answer, true, elapsed);
    }
    callback(std::move(answer));
  });
}

void RelayClient::watch(SourceRevision after, Duration wait, Duration timeout,
                        WatchCallback callback) {
  const auto read = std::make_shared<Read>();
  read->after = after;
  read->wait = wait;
  read->timeout = timeout;
  read->callback = std::move(callback);
  read->version = held_.version();
  read->began = environment_.now();
  current_read_ = read;
  step(read);
}

/// Starts the next step of `read`. Earlier steps may still be unanswered: the first useful answer
/// ends the read.
void RelayClient::step(const ReadPointer& read) {
  if (read->is_done) return;
  environment_.cancel(read->next_step_timer);
  read->waits_at.clear();
  const TimePoint now = environment_.now();
  const bool reads_itself = isReader() && now >= source_avoided_until_;
  if (reads_itself && !read->was_source_asked) return readSource(read);
  // A node that has just started does not try several silent parents in a row, nor several parents
  // that have just started themselves. A parent that refuses at once because it is not fresh costs
  // no time, and the next parent's answer is a tenth of the size of the source's.
  const bool has_waited = now - read->began > settings_.peer_slack;
  const bool skips_peers = read->failure && held_.configuration() == nullptr &&
                           (has_waited || read->failure->kind != ErrorKind::kOverloaded);
  const std::optional<std::string> host = skips_peers ? std::nullopt : nextPeer(*read);
  if (host) return askPeer(read, *host);
  if (!read->was_source_asked && !leavesSourceToReaders() && readsAsFallback(*read))
    return readSource(read);
  if (read->in_flight == 0) fail(read);
}

void RelayClient::finish(const ReadPointer& read, Result<WatchBatch> answer) {
  read->is_done = true;
  environment_.cancel(read->next_step_timer);
  read->callback(std::move(answer));
}

void RelayClient::fail(const ReadPointer& read) {
  if (!read->failure) read->failure = noPathError();
  loseFreshness();
  finish(read, *read->failure);
}

void RelayClient::onParentSilent(const std::string& host, const Error& error) {
  const ReadPointer read = current_read_.lock();
  if (!read || read->waits_at != host) return;
  read->failure = error;
  read->is_urgent = true;
  step(read);
}

void RelayClient::checkParents() {
  const ReadPointer read = current_read_.lock();
  if (!is_standby_ || !read || read->waits_at.empty()) return;
  read->is_urgent = true;
  step(read);
}

/// Returns whether this node should not read the source because the readers already retry on behalf
/// of all nodes. This keeps the number of reads low while the source is down, and nodes are current
/// just as soon after it is back.
bool RelayClient::leavesSourceToReaders() const {
  const bool has_something = held_.configuration() != nullptr;
  return !isReader() && has_something && environment_.now() < source_avoided_until_;
}

/// Returns whether this node reads the source as a fallback while its readers fail. Of the
/// configuration, only the standbys and by chance a few other nodes do, since the source sends each
/// version of a burst in full: if most nodes of a fleet did so after a planned stop of all readers,
/// they would saturate their links and delay requests. Entries of servers are small and needed
/// sooner, so every node reads them.
bool RelayClient::readsAsFallback(Read& read) const {
  const bool must_read = topic_ == Topic::kServers || held_.configuration() == nullptr;
  if (isReader() || is_standby_ || must_read || nodes_ == 0) return true;
  // Drawn once, since the steps of one read may ask this several times.
  if (!read.is_drawn_as_fallback) {
    read.is_drawn_as_fallback =
        randomBool(environment_, kExpectedFallbackReaders / static_cast<double>(nodes_));
  }
  return *read.is_drawn_as_fallback;
}

// ---- The source

void RelayClient::readSource(const ReadPointer& read) {
  ++statistics_.source_reads;
  if (is_standby_ && !isReader()) ++statistics_.standby_source_reads;
  ++read->in_flight;
  read->was_source_asked = true;
  read->source_asked = environment_.now();
  const Duration wait = read->is_urgent ? Duration(0) : std::min(read->wait, sourceWait());
  // A caller that does not wait is retrying a failed read, and its own timeout applies.
  const Duration timeout =
      read->wait == Duration(0) ? read->timeout : wait + settings_.source_slack;
  WatchCallback callback = [this, read,
                            alive = std::weak_ptr<int>(alive_)](Result<WatchBatch> answer) {
    if (!alive.expired()) onSourceAnswer(read, std::move(answer));
  };
  read->is_list = lists_next_ || read->after == SourceRevision();
  if (read->is_list) {
    return source_.list(std::max(timeout, sourceWait() + settings_.source_slack),
                        [callback = std::move(callback)](Result<WatchBatch> answer) {
                          if (answer) answer->is_complete = true;
                          callback(std::move(answer));
                        });
  }
  source_.watch(read->after, wait, timeout, std::move(callback));
}

void RelayClient::onSourceAnswer(const ReadPointer& read, Result<WatchBatch> answer) {
  --read->in_flight;
  // A parent answered first, so that what the source sent is not applied.
  if (read->is_done) return;
  if (answer) {
    const Duration elapsed = environment_.now() - read->source_asked;
    addTransferTime(*answer, elapsed);
    noteSourceAnswer(*answer, read->is_list, elapsed);
    // This list follows a new version and has no newer one. Without a change in the batch, the
    // caller does not pause before its next read.
    if (topic_ == Topic::kConfiguration && !lists_next_) answer->configurations.clear();
    return finish(read, std::move(answer));
  }
  // The answer has many versions, or one that is much larger than before; a list has only the
  // newest. Followers keep waiting at this node, since no other path is faster.
  if (answer.error().kind == ErrorKind::kTooLarge && !read->is_list) {
    ++statistics_.source_watches_aborted;
    lists_next_ = true;
    return readSource(read);
  }
  ++statistics_.source_failures;
  loseFreshness();
  if (answer.error().kind == ErrorKind::kBaseMismatch) return finish(read, std::move(answer));
  source_avoided_until_ = environment_.now() + settings_.avoid_source;
  read->failure = answer.error();
  read->is_urgent = true;
  step(read);
}

void RelayClient::noteSourceAnswer(const WatchBatch& batch, bool is_list, Duration elapsed) {
  statistics_.source_bytes += batch.bytes;
  const bool has_versions = !batch.configurations.empty();
  if (has_versions && on_versions_read_) on_versions_read_({is_list, batch.bytes, elapsed});
  const bool is_new =
      !batch.configurations.empty() && batch.configurations.back()->version > held_.version();
  lists_next_ = is_new;
  is_fresh_ = true;
  last_fresh_answer_ = environment_.now();
  source_avoided_until_ = TimePoint();
}

/// A relay is fresh after its parent answered, since parents answer only while they are fresh.
void RelayClient::noteParentAnswer() {
  is_fresh_ = true;
  last_fresh_answer_ = environment_.now();
}

void RelayClient::loseFreshness() {
  if (std::exchange(is_fresh_, false) && on_freshness_lost_) on_freshness_lost_();
}

// ---- Parents

bool RelayClient::isAvoided(const std::string& host) const {
  const auto found = avoided_until_.find(host);
  const bool has_refused = found != avoided_until_.end() && found->second > environment_.now();
  return has_refused || silent_->isAvoided(host);
}

bool RelayClient::isUnproven(const std::string& host) const {
  return silent_->isUnproven(host) || avoided_until_.contains(host);
}

std::optional<std::string> RelayClient::nextPeer(const Read& read) const {
  if (read.refusals >= kMaxRefusals) return std::nullopt;
  for (const std::string& host : parents_) {
    if (!read.asked_hosts.contains(host) && !isAvoided(host)) return host;
  }
  return std::nullopt;
}

void RelayClient::askPeer(const ReadPointer& read, const std::string& host) {
  ++statistics_.peer_reads;
  if (read->in_flight > 0) ++statistics_.overlapping_peer_reads;
  ++read->in_flight;
  read->asked_hosts.insert(host);
  // A parent that failed is not waited at until it answers again.
  const bool may_wait = !read->is_urgent && !isUnproven(host);
  StateRequest question;
  question.topic = topic_;
  question.after = read->after;
  question.version = read->version;
  question.wait = may_wait ? std::min(read->wait, peerWait()) : Duration(0);
  question.only_fresh = true;
  // A relay stays fresh: nodes keep waiting at it, since it gets its parent's answer shortly after.
  // So does a standby that reads the source, until a reader answers again.
  const bool only_checks = is_standby_ && question.wait == Duration(0);
  if (role_ != ReaderRole::kRelay && !only_checks) loseFreshness();
  if (question.wait > Duration(0)) read->waits_at = host;
  const std::weak_ptr<int> alive = alive_;
  peers_.readWithProgress(
      host, question, question.wait + settings_.peer_slack,
      [this, read, alive] {
        if (!alive.expired()) onPeerBegun(read);
      },
      [this, read, host, alive,
       asked = environment_.now()](const Result<std::optional<StateUpdate>>& answer) {
        if (!alive.expired()) onPeerAnswer(read, host, asked, answer);
      });
  if (question.wait == Duration(0)) scheduleNextStep(read);
}

/// Whole states take long to encode, and the parents of a fleet that has just started hold requests
/// until they have one: requests for them do not overlap.
void RelayClient::scheduleNextStep(const ReadPointer& read) {
  const bool needs_configuration = topic_ == Topic::kConfiguration && read->version == Version();
  const bool needs_whole = needs_configuration || read->after == SourceRevision();
  if (needs_whole || held_.configuration() == nullptr) return;
  read->next_step_timer = environment_.schedule(settings_.next_parent_delay,
                                                [this, read, alive = std::weak_ptr<int>(alive_)] {
                                                  if (!alive.expired()) step(read);
                                                });
}

/// An answer that has begun is waited for. A second one would compete with it for the link.
void RelayClient::onPeerBegun(const ReadPointer& read) {
  environment_.cancel(read->next_step_timer);
  read->waits_at.clear();
}

void RelayClient::onPeerAnswer(const ReadPointer& read, const std::string& host, TimePoint asked,
                               const Result<std::optional<StateUpdate>>& answer) {
  --read->in_flight;
  if (!answer) return onPeerFailed(read, host, asked, answer.error());
  const bool is_behind = answer->has_value() && (*answer)->revision.era < read->after.era;
  if (is_behind) return onPeerFailed(read, host, asked, earlierEraError());
  silent_->remove(host);
  avoided_until_.erase(host);
  if (!read->is_done) applyPeerAnswer(read, host, asked, *answer);
}

void RelayClient::applyPeerAnswer(const ReadPointer& read, const std::string& host, TimePoint asked,
                                  const std::optional<StateUpdate>& answer) {
  // The parent's state is the newest, so a pending list of the source is no longer needed.
  lists_next_ = false;
  role_ == ReaderRole::kRelay ? noteParentAnswer() : loseFreshness();
  if (!answer) {
    WatchBatch unchanged;
    unchanged.revision = read->after;
    unchanged.age = std::nullopt;
    return finish(read, std::move(unchanged));
  }
  const ConfigurationPointer held = held_.configuration();
  Result<WatchBatch> batch = toBatch(*answer, held.get());
  if (batch) {
    batch->is_relayed = true;
    const bool is_whole = answer->configuration != nullptr;
    if (is_whole) addTransferTime(*batch, environment_.now() - asked);
    return finish(read, std::move(batch));
  }
  // The delta does not apply to the held version: ask again for the whole configuration.
  ++statistics_.peer_failures;
  read->failure = batch.error();
  read->is_urgent = true;
  const bool was_whole = read->version == Version();
  read->version = Version();
  if (was_whole) avoided_until_[host] = environment_.now() + settings_.avoid_silent_parent;
  if (!was_whole) read->asked_hosts.erase(host);
  step(read);
}

void RelayClient::onPeerFailed(const ReadPointer& read, const std::string& host, TimePoint asked,
                               const Error& error) {
  ++statistics_.peer_failures;
  if (on_reader_failed_) on_reader_failed_(host, error);
  if (read->waits_at == host) read->waits_at.clear();
  const int factor = is_standby_ ? 2 : 1;
  const bool has_refused = error.kind == ErrorKind::kOverloaded;
  if (has_refused) {
    silent_->remove(host);
    avoided_until_[host] = environment_.now() + factor * settings_.avoid_stale_parent;
    ++read->refusals;
  } else {
    silent_->add(host, asked, factor * settings_.avoid_silent_parent, error);
  }
  if (read->is_done) return;
  read->failure = error;
  read->is_urgent = true;
  step(read);
}

}  // namespace coursepond::source
