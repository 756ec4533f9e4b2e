#include "network.h"

#include <algorithm>
#include <numeric>
#include <stdexcept>

namespace coursepond::simulation {
namespace {

/// Size of the length and version prefix of each message on a peer connection.
constexpr std::size_t kFrameBytes = 4;

}  // namespace

std::uint64_t NetworkStatistics::bytes() const {
  return std::accumulate(bytes_by_kind.begin(), bytes_by_kind.end(), std::uint64_t{0});
}

Network::Network(VirtualTime& time, std::uint64_t seed, NetworkQuality quality)
    : time_(time), random_(seed), quality_(quality) {}

void Network::attach(const NodeId& node, const ZoneId& zone, Receiver receiver) {
  nodes_[node] = Attachment{zone, std::move(receiver)};
}

void Network::detach(const NodeId& node) { nodes_.erase(node); }

void Network::send(const NodeId& from, const NodeId& to, const control::PeerMessage& message) {
  const auto sender = nodes_.find(from);
  const auto receiver = nodes_.find(to);
  if (sender == nodes_.end() || receiver == nodes_.end()) return;

  const std::string bytes = control::encodePeerMessage(message);
  const std::size_t size = bytes.size() + kFrameBytes;
  statistics_.bytes_by_kind[static_cast<std::size_t>(control::kindOf(message))] += size;
  ++statistics_.messages;
  const ZoneId& from_zone = sender->second.zone;
  const ZoneId& to_zone = receiver->second.zone;
  if (from_zone != to_zone) statistics_.cross_zone_bytes += size;

  if (!connected(from_zone, to_zone) || random_.chance(quality_.loss)) return;
  const Duration latency = this->latency(from_zone, to_zone);
  scheduleArrival(from, from_zone, to, bytes, arrivalDelay(from, to, latency));
  if (random_.chance(quality_.duplication)) {
    scheduleArrival(from, from_zone, to, bytes,
                    latency + random_.between(Duration(0), quality_.reordering_delay));
  }
}

Duration Network::arrivalDelay(const NodeId& from, const NodeId& to, Duration latency) {
  const Duration delay = latency + random_.between(Duration(0), quality_.jitter);
  if (random_.chance(quality_.reordering)) {
    return delay + random_.between(Duration(0), quality_.reordering_delay);
  }
  TimePoint& last = last_arrival_[{from, to}];
  last = std::max(last + Duration(1), time_.now() + delay);
  return last - time_.now();
}

void Network::scheduleArrival(const NodeId& from, const ZoneId& from_zone, const NodeId& to,
                              const std::string& bytes, Duration delay) {
  time_.schedule(delay, [this, from, from_zone, to, bytes] {
    const auto receiver = nodes_.find(to);
    if (receiver == nodes_.end() || !connected(from_zone, receiver->second.zone)) return;
    const Result<control::PeerMessage> message = control::decodePeerMessage(bytes);
    if (!message.has_value()) {
      throw std::logic_error("a message did not survive its codec: " + describe(message.error()));
    }
    receiver->second.receiver(from, *message);
  });
}

void Network::transmit(const ZoneId& from, const ZoneId& to, std::function<void()> arrival) {
  time_.schedule(latency(from, to), [this, from, to, arrival = std::move(arrival)] {
    if (connected(from, to)) arrival();
  });
}

void Network::heal(const ZoneLink& link) {
  const auto found = cuts_.find(link);
  if (found != cuts_.end() && --found->second == 0) cuts_.erase(found);
}

bool Network::connected(const ZoneId& from, const ZoneId& to) const {
  return from == to || !cuts_.contains(ZoneLink{from, to});
}

bool Network::reachable(const ZoneId& left, const ZoneId& right) const {
  return connected(left, right) && connected(right, left);
}

Duration Network::latency(const ZoneId& from, const ZoneId& to) const {
  return from == to ? quality_.local_latency : quality_.zone_latency;
}

}  // namespace coursepond::simulation
