#pragma once

/// Answers content requests from peers, subject to a rate limit.

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/environment.h"
#include "distribution/content_store.h"
#include "distribution/messages.h"
#include "distribution/settings.h"

namespace coursepond::distribution {

/// Sends deltas without a limit. Full contents are rate limited, and the same full content is not
/// sent again to a peer within one fetch timeout. A peer that asks for content this node is itself
/// fetching is answered as soon as the content arrives.
class ContentServer {
 public:
  ContentServer(const Settings& settings, Environment& environment, MessageSender<Message>& sender,
                ContentStore& store);

  /// `expected`: this node is fetching the content itself.
  void onFetch(const NodeId& from, const ContentFetch& fetch, bool expected);
  /// Called when the content has become available: answers the peers waiting for it.
  void onAvailable(const ContentId& content);

  std::uint64_t busyRefusals() const { return busy_refusals_; }

 private:
  struct Waiter {
    NodeId node;
    ContentFetch fetch;
    TimePoint since;
  };
  struct SentContent {
    ContentId content;
    TimePoint at;
  };

  void answer(const NodeId& to, const ContentId& content, const ContentFetch& fetch);
  void answerWithFull(const NodeId& to, const ContentId& content);
  bool takeRateToken();
  void forgetOldSends();

  static constexpr std::size_t kMaxWaiters = 64;

  const Settings& settings_;
  Environment& environment_;
  MessageSender<Message>& sender_;
  ContentStore& store_;
  std::vector<Waiter> waiters_;
  /// The last full content sent to each peer within the fetch timeout.
  std::map<NodeId, SentContent> recently_sent_;
  TimePoint rate_window_start_;
  std::size_t sent_in_window_ = 0;
  std::uint64_t busy_refusals_ = 0;
};

}  // namespace coursepond::distribution
