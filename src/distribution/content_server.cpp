#include "distribution/content_server.h"

#include <algorithm>
#include <utility>

namespace coursepond::distribution {

ContentServer::ContentServer(const Settings& settings, Environment& environment,
                             MessageSender<Message>& sender, ContentStore& store)
    : settings_(settings),
      environment_(environment),
      sender_(sender),
      store_(store),
      rate_window_start_(environment.now()) {}

void ContentServer::onFetch(const NodeId& from, const ContentFetch& fetch, bool expected) {
  if (const std::optional<ContentId> content = store_.idOf(fetch.content)) {
    return answer(from, *content, fetch);
  }
  if (!expected || waiters_.size() >= kMaxWaiters) {
    sender_.send(from, ContentRefusal{fetch.content, RefusalReason::kNotHeld});
    return;
  }
  std::erase_if(waiters_, [&from](const Waiter& waiter) { return waiter.node == from; });
  waiters_.push_back({from, fetch, environment_.now()});
}

void ContentServer::onAvailable(const ContentId& content) {
  std::vector<Waiter> waiters;
  std::swap(waiters, waiters_);
  for (Waiter& waiter : waiters) {
    // A peer that has waited longer has already asked another peer.
    if (environment_.now() - waiter.since > settings_.fetch_timeout) continue;
    if (waiter.fetch.content == shortened(content)) {
      answer(waiter.node, content, waiter.fetch);
    } else {
      waiters_.push_back(std::move(waiter));
    }
  }
}

void ContentServer::answer(const NodeId& to, const ContentId& content, const ContentFetch& fetch) {
  for (const ShortContentId& held : fetch.held) {
    const std::optional<ContentId> base = store_.idOf(held);
    if (!base) continue;
    if (const std::optional<ContentDelta> delta = store_.delta(*base, content)) {
      sender_.send(to, *delta);
      return;
    }
  }
  answerWithFull(to, content);
}

void ContentServer::answerWithFull(const NodeId& to, const ContentId& content) {
  forgetOldSends();
  const auto recent = recently_sent_.find(to);
  // The content was sent recently and is probably still in flight.
  if (recent != recently_sent_.end() && recent->second.content == content) return;
  if (!takeRateToken()) {
    ++busy_refusals_;
    sender_.send(to, ContentRefusal{shortened(content), RefusalReason::kBusy});
    return;
  }
  recently_sent_[to] = {content, environment_.now()};
  sender_.send(to, store_.full(content));
}

bool ContentServer::takeRateToken() {
  const TimePoint now = environment_.now();
  if (now - rate_window_start_ >= std::chrono::seconds(1)) {
    rate_window_start_ = now;
    sent_in_window_ = 0;
  }
  if (sent_in_window_ >= settings_.full_contents_per_second) return false;
  ++sent_in_window_;
  return true;
}

void ContentServer::forgetOldSends() {
  const TimePoint oldest = environment_.now() - settings_.fetch_timeout;
  std::erase_if(recently_sent_, [oldest](const auto& entry) { return entry.second.at < oldest; });
}

}  // namespace coursepond::distribution
