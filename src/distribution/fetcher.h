#pragma once

/// Fetches contents and the secret values they need, from one peer at a time.

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "core/environment.h"
#include "distribution/messages.h"
#include "distribution/peers.h"
#include "distribution/scoped_timer.h"
#include "distribution/settings.h"

namespace coursepond::distribution {

/// Keeps at most one request in flight per content. If a peer refuses or does not answer in time,
/// the next peer is asked: first the peers that announced the content, then the distributors, then
/// random members of the zone and contacts of other zones, repeatedly until forget() is called.
class Fetcher {
 public:
  /// Sends the peer the next request needed to complete the content.
  using SendRequest = std::function<void(const NodeId& to, const ContentId& content)>;

  Fetcher(const Settings& settings, Environment& environment, const Peers& peers,
          SendRequest send_request);

  /// Starts fetching the content, unless it is already being fetched. If kMaxJobs contents are
  /// being fetched, the oldest of them is dropped, or the request is ignored if `content` is older
  /// still. The protected content is never dropped.
  void want(const ContentId& content);
  /// Sets the accepted content, which is never dropped in favour of others.
  void protect(const ContentId& content) { protected_ = content; }
  /// Adds a peer that holds the content and is therefore asked before others.
  void addSource(const ContentId& content, const NodeId& peer);
  /// Asks the same peer for the rest immediately, after an answer that was not complete.
  void requestMore(const NodeId& peer, const ContentId& content);
  /// Called when the peer refused the request: asks another peer.
  void onRefused(const NodeId& peer, const ContentId& content);
  /// Stops fetching the content, because it is complete or no longer wanted.
  void forget(const ContentId& content);

  bool fetching(const ContentId& content) const { return jobs_.contains(content); }
  std::vector<ContentId> wanted() const;
  /// Returns when fetching of the content started, or the current time if it is not being fetched.
  TimePoint since(const ContentId& content) const;

  static constexpr std::size_t kMaxJobs = 4;
  static constexpr std::size_t kMaxSources = 8;

 private:
  struct Job {
    explicit Job(Environment& environment) : timer(environment) {}
    ScopedTimer timer;
    std::vector<NodeId> sources;  ///< Peers not asked yet; the last one is asked next.
    NodeId asked;                 ///< The peer whose answer is pending; empty if none.
    Duration timeout{};
    std::size_t attempts = 0;
    std::size_t refusals_in_row = 0;
    TimePoint started;
  };

  bool makeRoomFor(const ContentId& content);
  void ask(const ContentId& content, Job& job);
  void onTimeout(const ContentId& content);
  std::optional<NodeId> nextPeer(Job& job);

  const Settings& settings_;
  Environment& environment_;
  const Peers& peers_;
  SendRequest send_request_;
  std::map<ContentId, Job> jobs_;
  ContentId protected_;
};

}  // namespace coursepond::distribution
