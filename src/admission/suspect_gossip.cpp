#include "admission/suspect_gossip.h"

#include <algorithm>
#include <utility>

namespace coursepond::admission {
namespace {

/// In one message: some 12 kB at most.
constexpr std::size_t kMostReports = 256;
/// What was learned within this is still told to each node that is asked.
constexpr Duration kTold = std::chrono::seconds(5);
/// News of a moment go together.
constexpr Duration kLeastPause = std::chrono::milliseconds(50);
/// Of the comparisons, one in so many is with a node of another zone.
constexpr std::uint64_t kOtherZoneOneIn = 4;

}  // namespace

SuspectGossip::SuspectGossip(CrashSuspects& suspects, SuspectPeers& peers, Environment& environment,
                             const SuspectGossipSettings& settings)
    : suspects_(suspects),
      peers_(peers),
      environment_(environment),
      settings_(settings),
      pause_(settings.longest_pause) {
  suspects_.onChange([this] { onNews(); });
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
  // A node that has just started asks at once what it missed, and several: others start with it.
  has_news_ = true;
  schedule(Duration(0));
}

/// Told to others from a later event, together with what is learned in this one.
void SuspectGossip::onNews() {
  if (std::exchange(has_news_, true) || timer_ == 0) return;
  schedule(std::max(Duration(0), last_round_ + kLeastPause - environment_.now()));
}

void SuspectGossip::schedule(Duration pause) {
  environment_.cancel(timer_);
  due_ = environment_.now() + pause;
  timer_ = environment_.schedule(pause, [this] { round(); });
}

void SuspectGossip::round() {
  const TimePoint now = environment_.now();
  last_round_ = now;
  const bool was_held_up = now - due_ > settings_.held_up;
  const bool is_hot = std::exchange(has_news_, false) || was_held_up;
  suspects_.forgetOld(now);
  const SuspectMessage message{suspects_.summary(), suspects_.news(now - kTold, now, kMostReports)};
  for (const std::string& host : draw(is_hot ? settings_.fan_out : 1)) {
    exchange(host, message, /*may_answer=*/true);
  }
  pause_ = is_hot ? settings_.first_pause : std::min(pause_ * 2, settings_.longest_pause);
  // Nodes that started together would all compare at the same moments.
  const auto spread = static_cast<std::uint64_t>(pause_.count() / 4 + 1);
  schedule(pause_ - Duration(static_cast<Duration::rep>(environment_.random(spread))));
}

/// Different nodes.
std::vector<std::string> SuspectGossip::draw(std::size_t count) const {
  std::vector<std::string> drawn;
  const std::size_t most = std::min(count, own_zone_.size() + others_.size());
  for (std::size_t tries = 0; drawn.size() < most && tries < 4 * count; ++tries) {
    const std::string& host = drawOne();
    const bool is_drawn = std::find(drawn.begin(), drawn.end(), host) != drawn.end();
    if (!is_drawn) drawn.push_back(host);
  }
  return drawn;
}

const std::string& SuspectGossip::drawOne() const {
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

/// A node that holds other records has told them. If it still lacks some of ours, it gets them.
void SuspectGossip::onReply(const std::string& host, const std::optional<SuspectMessage>& reply,
                            bool may_answer) {
  if (!reply) {
    ++statistics_.failures;
    return;
  }
  std::vector<SuspectReport> reports = answerTo(*reply);
  if (!may_answer || reports.empty()) return;
  exchange(host, {suspects_.summary(), std::move(reports)}, /*may_answer=*/false);
}

SuspectMessage SuspectGossip::onMessage(const SuspectMessage& message) {
  std::vector<SuspectReport> reports = answerTo(message);
  return {suspects_.summary(), std::move(reports)};
}

/// Takes the message in. Returns what its sender lacks: nothing when both now hold the same.
std::vector<SuspectReport> SuspectGossip::answerTo(const SuspectMessage& message) {
  const TimePoint now = environment_.now();
  suspects_.merge(message.reports, now);
  std::vector<SuspectReport> reports = suspects_.laterThan(message.reports, now);
  if (suspects_.summary() == message.summary) return reports;
  const std::vector<SuspectReport> all = suspects_.reports(now, kMostReports);
  reports.insert(reports.end(), all.begin(), all.end());
  return reports;
}

}  // namespace coursepond::admission
