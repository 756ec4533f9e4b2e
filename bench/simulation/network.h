#pragma once

/// Links between machines with latency, jitter, loss, duplication, reordering and cuts. Control
/// messages pass through the production codecs, and their bytes are counted.

#include <array>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include "control/peer_message.h"
#include "core/ids.h"
#include "random_source.h"
#include "virtual_time.h"

namespace coursepond::simulation {

/// Latency and failure probabilities of the network for control messages.
struct NetworkQuality {
  Duration zone_latency = std::chrono::milliseconds(1);     ///< One way, between zones.
  Duration local_latency = std::chrono::microseconds(200);  ///< One way, inside a zone.
  Duration jitter = std::chrono::microseconds(300);
  double loss = 0;
  double duplication = 0;
  double reordering = 0;
  Duration reordering_delay = std::chrono::milliseconds(400);  ///< Longest extra delay.
};

/// A one-way link between two zones.
struct ZoneLink {
  ZoneId from;
  ZoneId to;
  friend auto operator<=>(const ZoneLink&, const ZoneLink&) = default;
};

struct NetworkStatistics {
  std::array<std::uint64_t, 4> bytes_by_kind{};  ///< Indexed by control::MessageKind.
  std::uint64_t messages = 0;
  std::uint64_t cross_zone_bytes = 0;
  std::uint64_t bytes() const;
};

class Network {
 public:
  /// Receives a message that was decoded by the production codec.
  using Receiver = std::function<void(const NodeId& from, const control::PeerMessage& message)>;

  Network(VirtualTime& time, std::uint64_t seed, NetworkQuality quality);

  void attach(const NodeId& node, const ZoneId& zone, Receiver receiver);
  void detach(const NodeId& node);
  void send(const NodeId& from, const NodeId& to, const control::PeerMessage& message);

  /// Runs `arrival` after the latency of the link, unless the link is cut by then. Used by the data
  /// path: no jitter and no loss, so that the order within a connection is kept.
  void transmit(const ZoneId& from, const ZoneId& to, std::function<void()> arrival);

  void cut(const ZoneLink& link) { cuts_[link] += 1; }
  void heal(const ZoneLink& link);
  bool connected(const ZoneId& from, const ZoneId& to) const;
  /// Whether the zones are connected in both directions.
  bool reachable(const ZoneId& left, const ZoneId& right) const;

  NetworkQuality& quality() { return quality_; }
  const NetworkStatistics& statistics() const { return statistics_; }

 private:
  struct Attachment {
    ZoneId zone;
    Receiver receiver;
  };

  Duration latency(const ZoneId& from, const ZoneId& to) const;
  Duration arrivalDelay(const NodeId& from, const NodeId& to, Duration latency);
  void scheduleArrival(const NodeId& from, const ZoneId& from_zone, const NodeId& to,
                       const std::string& bytes, Duration delay);

  VirtualTime& time_;
  RandomSource random_;
  NetworkQuality quality_;
  NetworkStatistics statistics_;
  std::map<NodeId, Attachment> nodes_;
  std::map<ZoneLink, int> cuts_;
  std::map<std::pair<NodeId, NodeId>, TimePoint> last_arrival_;  ///< Keeps messages in order.
};

}  // namespace coursepond::simulation
