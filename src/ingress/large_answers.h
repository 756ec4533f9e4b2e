#pragma once

/// Tracks the large answers that an ingress still has to send.
///
/// A server may produce large answers faster than its machine's link can send them. The backlog
/// then delays every small answer behind it, including answers to calls of other services. So the
/// number of large answers that are produced and sent at a time is bounded while there is a
/// backlog.
///
/// Example of such a load: files of 90 KB from 14 machines with links of 14 Mbit/s, 160 to 230
/// requests per second in total, together with 1,500 calls per second to the same servers with a
/// limit of 250 ms each.

#include <cstddef>
#include <cstdint>

#include "core/time.h"
#include "ingress/average_by_target.h"

namespace coursepond::ingress {

struct LargeAnswerSettings {
  /// Minimum size of a large answer in bytes. Smaller answers fit into a connection's send buffer.
  std::uint64_t large_bytes = 32 * 1024;
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
};

}  // namespace coursepond::ingress
