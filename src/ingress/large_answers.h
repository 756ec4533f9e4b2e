#pragma once

/// Tracks the large answers that an ingress still has to send.
///
/// A server may produce large answers faster than its machine's link can send them. The backlog
/// then delays every small answer behind it, including answers to calls of other services. So the
/// number of large answers that are produced and sent at a time is bounded while there is a
/// backlog.
///
/// If the rate of the link is known (proxy::LinkScheduler), the ingress instead estimates when an
/// answer will have been sent; see IngressState::linkLateness(). This class then holds the expected
/// sizes of the answers that are not ready yet. The scheduler knows the size of the others.
///
/// Example of such a load: files of 90 KB from 14 machines with links of 14 Mbit/s, 160 to 230
/// requests per second in total, together with 1,500 calls per second to the same servers with a
/// limit of 250 ms each.

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "core/time.h"
#include "ingress/average_by_target.h"

namespace coursepond::ingress {

struct LargeAnswerSettings {
  /// Minimum size of a large answer in bytes. Smaller answers fit into a connection's send buffer.
  std::uint64_t large_bytes = std::uint64_t{32} * 1024;
  /// Maximum number of large answers that are produced or sent at a time while one is being sent.
  /// The next one is then ready when one has been sent, and a small answer waits for a few at most.
  std::size_t max_concurrent = 3;
  /// Weight of one answer in the moving average of the sizes for its target latency.
  double sample_weight = 0.05;
};

class LargeAnswers {
 public:
  /// Called when a request with this target latency was answered with `bytes` bytes.
  void onAnswer(const LargeAnswerSettings& settings, Duration target, std::uint64_t bytes) {
    bytes_.add(target, static_cast<double>(bytes), settings.sample_weight);
  }
  /// Returns whether requests with this target latency have large answers on average.
  bool expectsLarge(const LargeAnswerSettings& settings, Duration target) const {
    return bytes_.valueOr(target, 0) >= static_cast<double>(settings.large_bytes);
  }

  /// Returns the average size of the answers to requests with this target latency.
  double expectedBytes(Duration target) const { return bytes_.valueOr(target, 0); }
  /// Called when a request with an expected answer of `bytes` is accepted.
  void onAccepted(double bytes) { accepted_bytes_ += bytes; }
  /// Called when the answer of an accepted request is ready, or will not be sent. `bytes`: as
  /// passed to onAccepted().
  void onReady(double bytes) { accepted_bytes_ = std::max(accepted_bytes_ - bytes, 0.0); }
  /// Returns the expected size of the large answers of the requests that run and wait here.
  double acceptedBytes() const { return accepted_bytes_; }

  /// Called when a request with an expected large answer starts to run at the server, or ends
  /// there.
  void onRunning() { ++running_; }
  void onNotRunning() { --running_; }
  /// Called when the ingress starts to send a large answer, or has sent it.
  void onSending() { ++sending_; }
  void onSent() { --sending_; }

  /// Returns whether the link has a backlog, so that no further large answer should be produced.
  bool isLinkBacklogged(const LargeAnswerSettings& settings) const {
    return sending_ > 0 && sending_ + running_ >= settings.max_concurrent;
  }

 private:
  AverageByTarget bytes_;
  std::size_t running_ = 0;
  std::size_t sending_ = 0;
  double accepted_bytes_ = 0;
};

}  // namespace coursepond::ingress
