#include "distribution/fetcher.h"

#include <algorithm>
#include <utility>

namespace coursepond::distribution {
namespace {

/// After this number of consecutive refusals, the next peer is asked only after the timeout.
constexpr std::size_t kRefusalsBeforePause = 3;
/// Of the peers that are asked without having announced the content, one in this many is in
/// another zone.
constexpr std::size_t kRemoteZonePeriod = 4;

}  // namespace

Fetcher::Fetcher(const Settings& settings, Environment& environment, const Peers& peers,
                 SendRequest send_request)
    : settings_(settings),
      environment_(environment),
      peers_(peers),
      send_request_(std::move(send_request)) {}

void Fetcher::want(const ContentId& content) {
  if (jobs_.contains(content) || !makeRoomFor(content)) return;
  Job& job = jobs_.try_emplace(content, environment_).first->second;
  job.timeout = settings_.fetch_timeout;
  job.started = environment_.now();
  // The first request is sent in the next event, so that the caller can add sources before it.
  job.timer.start(Duration(0), [this, content] { onTimeout(content); });
}

void Fetcher::addSource(const ContentId& content, const NodeId& peer) {
  const auto found = jobs_.find(content);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  std::erase(job.sources, peer);
  if (job.asked == peer) return;
  if (job.sources.size() >= kMaxSources) job.sources.erase(job.sources.begin());
  job.sources.push_back(peer);
}

void Fetcher::requestMore(const NodeId& peer, const ContentId& content) {
  const auto found = jobs_.find(content);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  std::erase(job.sources, peer);
  job.sources.push_back(peer);
  job.refusals_in_row = 0;
  ask(content, job);
}

void Fetcher::onRefused(const NodeId& peer, const ContentId& content) {
  const auto found = jobs_.find(content);
  if (found == jobs_.end() || found->second.asked != peer) return;
  Job& job = found->second;
  job.asked = NodeId();
  ++job.refusals_in_row;
  // The timer is still running and asks the next peer.
  if (job.refusals_in_row >= kRefusalsBeforePause) return;
  ask(content, job);
}

void Fetcher::forget(const ContentId& content) { jobs_.erase(content); }

std::vector<ContentId> Fetcher::wanted() const {
  std::vector<ContentId> contents;
  for (const auto& [content, job] : jobs_) contents.push_back(content);
  return contents;
}

TimePoint Fetcher::since(const ContentId& content) const {
  const auto job = jobs_.find(content);
  return job == jobs_.end() ? environment_.now() : job->second.started;
}

bool Fetcher::makeRoomFor(const ContentId& content) {
  if (jobs_.size() < kMaxJobs) return true;
  auto oldest = jobs_.begin();
  if (oldest->first == protected_) ++oldest;
  if (content < oldest->first && content != protected_) return false;
  jobs_.erase(oldest);
  return true;
}

void Fetcher::ask(const ContentId& content, Job& job) {
  const std::optional<NodeId> peer = nextPeer(job);
  ++job.attempts;
  const auto spread = static_cast<std::uint64_t>(job.timeout.count() / 4 + 1);
  const Duration jitter(static_cast<std::int64_t>(environment_.random(spread)));
  job.timer.start(job.timeout + jitter, [this, content] { onTimeout(content); });
  if (!peer) return;
  job.asked = *peer;
  send_request_(*peer, content);
}

void Fetcher::onTimeout(const ContentId& content) {
  const auto found = jobs_.find(content);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  const bool first = job.attempts == 0;
  if (!first) job.timeout = std::min(job.timeout * 2, settings_.fetch_timeout_limit);
  job.asked = NodeId();
  job.refusals_in_row = 0;
  ask(content, job);
}

std::optional<NodeId> Fetcher::nextPeer(Job& job) {
  if (!job.sources.empty()) {
    NodeId peer = job.sources.back();
    job.sources.pop_back();
    return peer;
  }
  const std::vector<NodeId> distributors = peers_.otherLocalDistributors();
  if (job.attempts < distributors.size()) return distributors[job.attempts];
  const bool remote = job.attempts % kRemoteZonePeriod == kRemoteZonePeriod - 1;
  std::optional<NodeId> peer = remote ? peers_.randomRemoteZonePeer() : peers_.randomLocalPeer();
  if (!peer) peer = remote ? peers_.randomLocalPeer() : peers_.randomRemoteZonePeer();
  return peer;
}

}  // namespace coursepond::distribution
