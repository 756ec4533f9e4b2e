#include "source/relay_client.h"

#include <algorithm>

#include "core/chance.h"

namespace coursepond::source {
namespace {

/// Expected number of nodes that read the configuration from the source at the same time while all
/// readers fail. The other nodes ask each other several times per second, so that with this many
/// they learn of a new version within a second. The probability that no node reads in a given round
/// is one in 400.
constexpr double kExpectedFallbackReaders = 6;

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
      environment_(environment) {}

Duration RelayClient::sourceWait() const {
  return topic_ == Topic::kConfiguration ? settings_.configuration_wait : settings_.source_wait;
}

Duration RelayClient::peerWait() const {
  if (topic_ == Topic::kServers) return settings_.peer_wait;
  // A parent answers when its own read is answered, which may be up to half a slack later than the
  // wait of that read.
  return settings_.configuration_wait + settings_.peer_slack / 2;
}

void RelayClient::setParents(std::vector<std::string> parents, ReaderRole role, std::size_t nodes) {
  parents_ = std::move(parents);
  nodes_ = nodes;
  role_ = role;
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
  step(std::make_shared<Read>(Read{after, wait, timeout, std::move(callback), held_.version(),
                                   environment_.now(), TimePoint(), false, false, std::nullopt}));
}

void RelayClient::step(const ReadPointer& read) {
  const TimePoint now = environment_.now();
  const bool reads_itself = isReader() && now >= source_avoided_until_;
  if (reads_itself && !read->was_source_asked) return readSource(read);
  // A node that has just started does not try several silent parents in a row, nor several parents
  // that have just started themselves. A parent that refuses at once because it is not fresh costs
  // no time, and the next parent's answer is a tenth of the size of the source's.
  const bool has_waited = now - read->began > settings_.peer_slack;
  const bool skips_peers = read->failure && held_.configuration() == nullptr &&
                           (has_waited || read->failure->kind != ErrorKind::kOverloaded);
  const std::optional<std::string> host = skips_peers ? std::nullopt : nextPeer();
  if (host) return askPeer(read, *host);
  if (!read->was_source_asked && !leavesSourceToReaders() && readsAsFallback())
    return readSource(read);
  fail(read);
}

void RelayClient::fail(const ReadPointer& read) {
  if (!read->failure) read->failure = noPathError();
  loseFreshness();
  read->callback(*read->failure);
}

/// Returns whether this node should not read the source because the readers already retry on behalf
/// of all nodes. This keeps the number of reads low while the source is down, and nodes are current
/// just as soon after it is back.
bool RelayClient::leavesSourceToReaders() const {
  const bool has_something = held_.configuration() != nullptr;
  return !isReader() && has_something && environment_.now() < source_avoided_until_;
}

/// Returns whether this node reads the source as a fallback while its readers fail. Only some nodes
/// read the configuration, since the source sends each version of a burst in full: if most nodes of
/// a fleet did so after a planned stop of all readers, they would saturate their links and delay
/// requests. Entries of servers are small and needed sooner, so every node reads them.
bool RelayClient::readsAsFallback() const {
  const bool must_read = topic_ == Topic::kServers || held_.configuration() == nullptr;
  if (isReader() || must_read || nodes_ == 0) return true;
  return randomBool(environment_, kExpectedFallbackReaders / static_cast<double>(nodes_));
}

// ---- The source

void RelayClient::readSource(const ReadPointer& read) {
  ++statistics_.source_reads;
  read->was_source_asked = true;
  read->asked = environment_.now();
  const Duration wait = read->failure ? Duration(0) : std::min(read->wait, sourceWait());
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
  if (answer) {
    const Duration elapsed = environment_.now() - read->asked;
    addTransferTime(*answer, elapsed);
    noteSourceAnswer(*answer, read->is_list, elapsed);
    // This list follows a new version and has no newer one. Without a change in the batch, the
    // caller does not pause before its next read.
    if (topic_ == Topic::kConfiguration && !lists_next_) answer->configurations.clear();
    return read->callback(std::move(answer));
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
  if (answer.error().kind == ErrorKind::kBaseMismatch) return read->callback(std::move(answer));
  source_avoided_until_ = environment_.now() + settings_.avoid_source;
  read->failure = answer.error();
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
  if (role_ != ReaderRole::kRelay) return;
  is_fresh_ = true;
  last_fresh_answer_ = environment_.now();
}

void RelayClient::loseFreshness() {
  if (std::exchange(is_fresh_, false) && on_freshness_lost_) on_freshness_lost_();
}

// ---- Parents

std::optional<std::string> RelayClient::nextPeer() {
  const TimePoint now = environment_.now();
  for (const std::string& host : parents_) {
    const auto found = avoided_until_.find(host);
    if (found == avoided_until_.end() || found->second <= now) return host;
  }
  return std::nullopt;
}

void RelayClient::askPeer(const ReadPointer& read, const std::string& host) {
  ++statistics_.peer_reads;
  read->asked = environment_.now();
  // A relay stays fresh: nodes keep waiting at it, since it gets its parent's answer shortly after.
  if (role_ != ReaderRole::kRelay) loseFreshness();
  StateRequest question;
  question.topic = topic_;
  question.after = read->after;
  question.version = read->version;
  question.wait = read->failure ? Duration(0) : std::min(read->wait, peerWait());
  question.only_fresh = true;
  peers_.read(host, question, question.wait + settings_.peer_slack,
              [this, read, host, alive = std::weak_ptr<int>(alive_)](
                  const Result<std::optional<StateUpdate>>& answer) {
                if (!alive.expired()) onPeerAnswer(read, host, answer);
              });
}

void RelayClient::onPeerAnswer(const ReadPointer& read, const std::string& host,
                               const Result<std::optional<StateUpdate>>& answer) {
  if (!answer) return onPeerFailed(read, host, answer.error());
  const bool is_behind = answer->has_value() && (*answer)->revision.era < read->after.era;
  if (is_behind) return onPeerFailed(read, host, earlierEraError());
  // The parent's state is the newest, so a pending list of the source is no longer needed.
  lists_next_ = false;
  noteParentAnswer();
  if (!answer->has_value()) {
    WatchBatch unchanged;
    unchanged.revision = read->after;
    unchanged.age = std::nullopt;
    return read->callback(std::move(unchanged));
  }
  const ConfigurationPointer held = held_.configuration();
  Result<WatchBatch> batch = toBatch(**answer, held.get());
  if (batch) {
    batch->is_relayed = true;
    const bool is_whole = (*answer)->configuration != nullptr;
    if (is_whole) addTransferTime(*batch, environment_.now() - read->asked);
    return read->callback(std::move(batch));
  }
  // The delta does not apply to the held version: ask again for the whole configuration.
  ++statistics_.peer_failures;
  read->failure = batch.error();
  const bool was_whole = read->version == Version();
  read->version = Version();
  if (was_whole) avoided_until_[host] = environment_.now() + settings_.avoid_silent_parent;
  step(read);
}

void RelayClient::onPeerFailed(const ReadPointer& read, const std::string& host,
                               const Error& error) {
  ++statistics_.peer_failures;
  if (on_reader_failed_) on_reader_failed_(host, error);
  const bool is_unfit = error.kind == ErrorKind::kOverloaded;
  avoided_until_[host] = environment_.now() +
                         (is_unfit ? settings_.avoid_stale_parent : settings_.avoid_silent_parent);
  read->failure = error;
  step(read);
}

}  // namespace coursepond::source
