#include "admission/suspect_gossip.h"

#include <algorithm>
#include <utility>

namespace coursepond::admission {
namespace {

/// Maximum number of reports per message, which limits it to about 12 kB.
constexpr std::size_t kMaxReports = 256;
/// Each message repeats the changes that this node learned of within this time.
constexpr Duration kRecentChanges = std::chrono::seconds(5);
/// Minimum time between two rounds. Changes that come close together go into one message.
constexpr Duration kMinPause = std::chrono::milliseconds(50);
/// One in this many exchanges is with a node of another zone.
constexpr std::uint64_t kOtherZoneOneIn = 4;

}  // namespace

SuspectGossip::SuspectGossip(CrashSuspects& suspects, SuspectPeers& peers, Environment& environment,
                             const SuspectGossipSettings& settings)
    : suspects_(suspects),
      peers_(peers),
      environment_(environment),
      settings_(settings),
      pause_(settings.longest_pause) {
  suspects_.onChange([this] { onSuspectsChanged(); });
}

SuspectGossip::~SuspectGossip() {
  environment_.cancel(timer_);
  suspects_.onChange(nullptr);
}

void SuspectGossip::setPeers(std::vector<std::string> own_zone, std::vector<std::string> others) {
  own_zone_ = std::move(own_zone);
  others_ = std::move(others);
  const bool has_peers = !own_zone_.empty() || !others_.empty();
  if (!has_peers || timer_ != 0) return;
  // A node that has just started asks several peers at once for what it missed: some of them may
  // have just started, too.
  has_changes_ = true;
  schedule(Duration(0));
}

/// Schedules a round instead of running one, so that it includes all changes of the current event.
void SuspectGossip::onSuspectsChanged() {
  if (std::exchange(has_changes_, true) || timer_ == 0) return;
  schedule(std::max(Duration(0), last_round_ + kMinPause - environment_.now()));
}

void SuspectGossip::schedule(Duration pause) {
  environment_.cancel(timer_);
  due_ = environment_.now() + pause;
  timer_ = environment_.schedule(pause, [this] { runRound(); });
}

void SuspectGossip::runRound() {
  const TimePoint now = environment_.now();
  last_round_ = now;
  const bool was_paused = now - due_ > settings_.pause_threshold;
  const bool is_urgent = std::exchange(has_changes_, false) || was_paused;
  suspects_.removeExpired(now);
  const SuspectMessage message{suspects_.summary(),
                               suspects_.changesSince(now - kRecentChanges, now, kMaxReports)};
  for (const std::string& host : pickPeers(is_urgent ? settings_.fan_out : 1)) {
    exchange(host, message, /*may_answer=*/true);
  }
  pause_ = is_urgent ? settings_.first_pause : std::min(pause_ * 2, settings_.longest_pause);
  // Jitter, because nodes that started together would otherwise all exchange at the same moments.
  const auto spread = static_cast<std::uint64_t>(pause_.count() / 4 + 1);
  schedule(pause_ - Duration(static_cast<Duration::rep>(environment_.random(spread))));
}

/// Picks up to `count` different peers at random.
std::vector<std::string> SuspectGossip::pickPeers(std::size_t count) const {
  std::vector<std::string> picked;
  const std::size_t limit = std::min(count, own_zone_.size() + others_.size());
  for (std::size_t tries = 0; picked.size() < limit && tries < 4 * count; ++tries) {
    const std::string& host = pickPeer();
    const bool is_picked = std::find(picked.begin(), picked.end(), host) != picked.end();
    if (!is_picked) picked.push_back(host);
  }
  return picked;
}

const std::string& SuspectGossip::pickPeer() const {
  const bool is_other =
      own_zone_.empty() || (!others_.empty() && environment_.random(kOtherZoneOneIn) == 0);
  const std::vector<std::string>& hosts = is_other ? others_ : own_zone_;
  return hosts[environment_.random(hosts.size())];
}

void SuspectGossip::exchange(const std::string& host, const SuspectMessage& message,
                             bool may_answer) {
  ++statistics_.exchanges;
  peers_.exchange(host, message,
                  [this, host, may_answer,
                   alive = std::weak_ptr<int>(alive_)](const std::optional<SuspectMessage>& reply) {
                    if (!alive.expired()) onReply(host, reply, may_answer);
                  });
}

/// Merges the peer's reports. If the peer still lacks some of this node's reports, sends them once.
void SuspectGossip::onReply(const std::string& host, const std::optional<SuspectMessage>& reply,
                            bool may_answer) {
  if (!reply) {
    ++statistics_.failures;
    return;
  }
  std::vector<SuspectReport> reports = mergeAndReply(*reply);
  if (!may_answer || reports.empty()) return;
  exchange(host, {suspects_.summary(), std::move(reports)}, /*may_answer=*/false);
}

SuspectMessage SuspectGossip::onMessage(const SuspectMessage& message) {
  std::vector<SuspectReport> reports = mergeAndReply(message);
  return {suspects_.summary(), std::move(reports)};
}

/// Merges the message and returns the reports that its sender lacks. Empty if both nodes now have
/// the same suspects.
std::vector<SuspectReport> SuspectGossip::mergeAndReply(const SuspectMessage& message) {
  const TimePoint now = environment_.now();
  suspects_.merge(message.reports, now);
  std::vector<SuspectReport> reports = suspects_.laterRounds(message.reports, now);
  if (suspects_.summary() == message.summary) return reports;
  const std::vector<SuspectReport> all = suspects_.reports(now, kMaxReports);
  reports.insert(reports.end(), all.begin(), all.end());
  return reports;
}

}  // namespace coursepond::admission
