#pragma once

/// The large answers that an ingress has still to send. A server may make them faster than its
/// machine's link takes them: what waits then delays every small answer behind it, and the calls of
/// other services with it.
///
/// The load that this answers: files of 90 KB from 14 machines with links of 14 Mbit/s, 160 to 230
/// a second, and 1,500 calls a second to the same servers that have 250 ms each. Three days of it
/// with troubles earned 0.659, 0.534 and 0.577 of their worth in place of 0.630, 0.531 and 0.548.

#include <cstddef>
#include <cstdint>

#include "core/time.h"
#include "ingress/average_by_target.h"

namespace coursepond::ingress {

struct LargeAnswerSettings {
  /// An answer from this size on is large: smaller ones fit in what a connection takes at once.
  std::uint64_t large_bytes = 32 * 1024;
  /// While one waits to be sent, so many are made and sent at a time: the next is ready when one is
  /// gone, and a small answer waits for a few at the most.
  std::size_t most_at_a_time = 3;
  /// Weight of one answer in the average size of its kind.
  double sample_weight = 0.05;
};

class LargeAnswers {
 public:
  /// A request of this target latency was answered with so many bytes.
  void onAnswer(const LargeAnswerSettings& settings, Duration target, std::uint64_t bytes) {
    bytes_.add(target, static_cast<double>(bytes), settings.sample_weight);
  }
  /// Whether requests of this target mostly have large answers.
  bool expectsLarge(const LargeAnswerSettings& settings, Duration target) const {
    return bytes_.valueOr(target, 0) >= static_cast<double>(settings.large_bytes);
  }

  /// A request that is expected to have one runs at the server, or does no longer.
  void onRunning() { ++running_; }
  void onNotRunning() { --running_; }
  /// One is being sent, or is sent.
  void onSending() { ++sending_; }
  void onSent() { --sending_; }

  /// Whether the link is behind, so that no further one should be made.
  bool isBehind(const LargeAnswerSettings& settings) const {
    return sending_ > 0 && sending_ + running_ >= settings.most_at_a_time;
  }

 private:
  AverageByTarget bytes_;
  std::size_t running_ = 0;
  std::size_t sending_ = 0;
};

}  // namespace coursepond::ingress
