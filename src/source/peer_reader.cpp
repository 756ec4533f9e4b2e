#include "source/peer_reader.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace coursepond::source {
namespace {

/// Upper bound for remembered peers. More would not provide any newer state.
constexpr std::size_t kMaxPeers = 256;
/// Number of peers that askRandomPeers() asks: some may be unreachable or have just started.
constexpr std::size_t kPeersAskedAtOnce = 3;

/// Returns the version that the update leads to, or none if it contains no configuration.
Version versionOf(const StateUpdate& update) {
  if (update.configuration) return update.configuration->version;
  return update.delta ? update.delta->target_version : Version();
}

}  // namespace

PeerReader::PeerReader(const PeerReaderSettings& settings, PeerStateClient& client,
                       const HeldState& held, Environment& environment, StateHandler on_state)
    : settings_(settings),
      client_(client),
      held_(held),
      environment_(environment),
      on_state_(std::move(on_state)) {}

PeerReader::~PeerReader() { environment_.cancel(timer_); }

void PeerReader::addPeer(const std::string& host) {
  if (peers_.size() < kMaxPeers) peers_.insert(host);
}

void PeerReader::onSourceFailed(Topic topic) {
  const bool is_asking = !failing_.empty();
  failing_.insert(topic);
  if (!is_asking) schedule(settings_.patience);
}

void PeerReader::onSourceAnswered(Topic topic) {
  failing_.erase(topic);
  if (failing_.empty()) environment_.cancel(timer_);
}

void PeerReader::schedule(Duration delay) {
  environment_.cancel(timer_);
  timer_ = environment_.schedule(delay, [this] { ask(); });
}

void PeerReader::ask() {
  if (failing_.empty()) return;
  const auto half = static_cast<std::uint64_t>(settings_.interval.count() / 2);
  schedule(Duration(static_cast<Duration::rep>(half + environment_.random(half + 1))));
  if (peers_.empty()) return;
  const std::string peer = randomPeer();
  for (const Topic topic : failing_) askPeer(topic, peer);
}

void PeerReader::askPeer(Topic topic, const std::string& peer) {
  if (!in_flight_.insert(topic).second) return;
  read(topic, peer, [this, topic] { in_flight_.erase(topic); });
}

void PeerReader::askRandomPeers(Topic topic) {
  std::vector<std::string> peers(peers_.begin(), peers_.end());
  for (std::size_t left = std::min(kPeersAskedAtOnce, peers.size()); left > 0; --left) {
    const std::size_t index = environment_.random(peers.size());
    read(topic, peers[index], [] {});
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

void PeerReader::read(Topic topic, const std::string& peer, std::function<void()> on_answered) {
  ++asked_;
  const StateRequest question{topic, held_.revision(topic), held_.version(), Duration(0), false};
  client_.read(
      peer, question, settings_.timeout,
      [this, topic, on_answered = std::move(on_answered),
       alive = std::weak_ptr<int>(alive_)](const Result<std::optional<StateUpdate>>& answer) {
        if (alive.expired()) return;
        on_answered();
        onAnswer(topic, answer);
      });
}

/// A higher version is newer whatever revision it is sent with, since versions never decrease.
bool PeerReader::isNewer(Topic topic, const StateUpdate& update) const {
  const bool has_newer_version =
      topic == Topic::kConfiguration && versionOf(update) > held_.version();
  return has_newer_version || update.revision > held_.revision(topic);
}

void PeerReader::onAnswer(Topic topic, const Result<std::optional<StateUpdate>>& answer) {
  if (!answer || !answer->has_value() || !isNewer(topic, **answer)) return;
  ++learned_;
  on_state_(topic, **answer);
}

const std::string& PeerReader::randomPeer() {
  return *std::next(peers_.begin(),
                    static_cast<std::ptrdiff_t>(environment_.random(peers_.size())));
}

}  // namespace coursepond::source
