#include "ingress/delivery_delay.h"

#include <algorithm>

namespace coursepond::ingress {

Duration DeliveryDelay::onArrival(const proxy::SendTime& sent, TimePoint now) {
  const Duration difference = now.time_since_epoch() - sent.at;
  if (senders_.size() >= kMaxSenders && !senders_.contains(sent.clock)) removeSilent(now);
  if (senders_.size() >= kMaxSenders && !senders_.contains(sent.clock)) return Duration(0);
  const Sender fresh{difference, difference, now, now};
  Sender& sender = senders_.try_emplace(sent.clock, fresh).first->second;
  if (now - sender.last_arrival > kLongestSilence) sender = fresh;
  sender.last_arrival = now;
  if (now - sender.window_start >= kWindow) {
    sender.smallest_before = sender.smallest;
    sender.smallest = difference;
    sender.window_start = now;
  }
  sender.smallest = std::min(sender.smallest, difference);
  return difference - std::min(sender.smallest, sender.smallest_before);
}

void DeliveryDelay::removeSilent(TimePoint now) {
  std::erase_if(senders_, [&](const auto& entry) {
    return now - entry.second.last_arrival > kLongestSilence;
  });
}

}  // namespace coursepond::ingress
