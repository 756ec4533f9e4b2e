#pragma once

/// Measures how late requests arrive: they may wait in a send buffer, on a full link, for the
/// retransmission of a lost packet, or in the receive buffer of a paused process. The clocks of
/// sender and receiver are not synchronized, so the way of each request is compared with the
/// fastest recent one of the same sender.

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/time.h"
#include "proxy/request_flow.h"

namespace coursepond::ingress {

class DeliveryDelay {
 public:
  /// Called when a request arrives. Returns how much longer it was on its way than the fastest
  /// recent request of its sender. Zero for the first request of a sender.
  Duration onArrival(const proxy::SendTime& sent, TimePoint now);
  /// Forgets all senders. Call when the clock of this process was adjusted.
  void reset() { senders_.clear(); }

 private:
  /// The fastest request of this and of the previous window is what others are compared with. A
  /// clock that was adjusted makes requests late for two windows at most.
  static constexpr Duration kWindow = std::chrono::seconds(10);
  /// A sender that was silent for longer is forgotten, because clocks drift apart.
  static constexpr Duration kLongestSilence = std::chrono::seconds(30);
  static constexpr std::size_t kMaxSenders = 4096;

  /// Smallest differences between the time of arrival here and the time of sending, each by its own
  /// clock.
  struct Sender {
    Duration smallest;         ///< Since window_start.
    Duration smallest_before;  ///< In the window before.
    TimePoint window_start;
    TimePoint last_arrival;
  };

  void removeSilent(TimePoint now);

  std::unordered_map<std::uint32_t, Sender> senders_;  ///< Keyed by clock.
};

}  // namespace coursepond::ingress
