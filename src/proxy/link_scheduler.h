#pragma once

/// Schedules what a process sends over the link of its machine.
///
/// A link of a few Mbit/s is shared by acknowledgements, calls with deadlines of a quarter of a
/// second, and answers of a hundred kilobytes. If every connection hands its output to the system
/// at once, the large answers fill the send buffers, and everything small waits behind them:
/// egresses take a healthy ingress for a failed one, and calls miss their deadlines.
///
/// Small output is sent at once and only counted. Large output is sent in pieces, one sender at a
/// time, in the order in which it is due, and only while the system's buffers hold less than a few
/// milliseconds of the link's rate. A sender whose connection accepts nothing does not wait here,
/// so a peer that reads slowly delays nobody.

#include <cstddef>
#include <cstdint>
#include <set>

#include "core/environment.h"
#include "core/time.h"

namespace coursepond::proxy {

struct LinkSettings {
  /// Rate of the machine's link. Zero: not known, and output is not scheduled.
  double megabits_per_second = 0;
  /// Part of the rate that payload can use. The rest is for packet headers and the acknowledgements
  /// of what the machine receives.
  double payload_share = 0.92;
  /// Large output is handed to the system while less than this is queued there. A timer that fires
  /// a little late must not leave the link idle.
  Duration refill_below = std::chrono::milliseconds(4);
  /// Size of one piece, as the time that the link needs for it. Small output waits for one piece at
  /// most, which is short against the deadlines of calls.
  Duration piece = std::chrono::milliseconds(6);
  /// Part of the rate that large output gets even if small output alone would fill the link.
  double min_large_share = 0.2;
  /// Output of at least this size is large. Smaller output takes a few packets.
  std::size_t large_bytes = std::size_t{16} * 1024;
};

/// A connection with large output.
class LargeSender {
 public:
  virtual ~LargeSender() = default;
  /// Called when it is this sender's turn: it may send up to `bytes` and must report what it sent
  /// to LinkScheduler::onLargeSent(). It then asks for its next turn if it has more to send.
  virtual void onLinkTurn(std::size_t bytes) = 0;

 private:
  friend class LinkScheduler;
  TimePoint due_;
  std::uint64_t number_ = 0;  ///< Order of arrival; zero: not waiting.
  std::uint64_t pending_bytes_ = 0;
};

/// Counters for /metrics. Never reset.
struct LinkStatistics {
  std::uint64_t small_bytes = 0;
  std::uint64_t large_bytes = 0;
  std::uint64_t pieces = 0;
};

class LinkScheduler {
 public:
  /// `environment` must outlive the scheduler.
  LinkScheduler(const LinkSettings& settings, Environment& environment)
      : settings_(settings), environment_(environment) {}
  ~LinkScheduler() { environment_.cancel(timer_); }
  LinkScheduler(const LinkScheduler&) = delete;
  LinkScheduler& operator=(const LinkScheduler&) = delete;

  /// Returns whether output is scheduled, because the rate of the link is known.
  bool isActive() const { return settings_.megabits_per_second > 0; }
  bool isLarge(std::uint64_t bytes) const { return isActive() && bytes >= settings_.large_bytes; }

  /// Called when small output was handed to the system.
  void onSmallSent(std::size_t bytes);
  void onLargeSent(std::size_t bytes);
  /// Asks for a turn to send some of `pending_bytes`. The turn comes in a later event. `due`: when
  /// the output should have been sent; the earliest one goes first.
  void requestTurn(LargeSender& sender, std::uint64_t pending_bytes, TimePoint due);
  /// Does nothing if `sender` is not waiting.
  void cancel(LargeSender& sender);

  /// Returns how long the link needs for the large output that waits for a turn.
  Duration backlog() const;
  /// Returns how long the link needs for `bytes` of further large output.
  Duration timeFor(double bytes) const;
  std::size_t waitingSenders() const { return senders_.size(); }
  const LinkStatistics& statistics() const { return statistics_; }

 private:
  struct Order {
    bool operator()(const LargeSender* left, const LargeSender* right) const {
      if (left->due_ != right->due_) return left->due_ < right->due_;
      return left->number_ < right->number_;
    }
  };

  double bytesPerSecond() const;
  double largeBytesPerSecond() const;
  Duration timeAt(double bytes_per_second, double bytes) const;
  void count(std::size_t bytes);
  void decaySmallRate(TimePoint now) const;
  TimePoint nextTurn() const;
  void armTimer();
  void runTurns();

  LinkSettings settings_;
  Environment& environment_;
  std::set<LargeSender*, Order> senders_;
  std::uint64_t last_number_ = 0;
  std::uint64_t waiting_bytes_ = 0;
  TimePoint queue_empty_at_;  ///< When the system has sent all that was handed to it.
  TimePoint reserved_until_;  ///< When large output has used up its reserved part of the rate.
  mutable double small_bytes_per_second_ = 0;  ///< Decaying average as of `small_rate_at_`.
  mutable TimePoint small_rate_at_;
  TimerId timer_ = 0;
  bool is_running_ = false;
  LinkStatistics statistics_;
};

}  // namespace coursepond::proxy
