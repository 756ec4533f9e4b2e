#pragma once

#include <boost/container/small_vector.hpp>
#include <vector>

#include "core/environment.h"
#include "proxy/server_state.h"
#include "proxy/settings.h"

namespace coursepond::proxy {

/// The servers that a request was sent to before. The pointers are only compared, never used.
using TriedServers = boost::container::small_vector<const ServerState*, 4>;

/// The properties of a request that the choice of a server depends on.
struct PickRequest {
  model::Priority priority = model::Priority::kInteractive;
  const TriedServers* tried = nullptr;  ///< Avoided while another server has room; may be null.
  std::uint32_t connection_share = 1;   ///< This node's even share of a server's connections.
  double average_latency_ms = 1;        ///< Average of the service, for servers without samples.
};

/// Chooses a server by the power of two choices: the cheaper of two random servers. The cost
/// estimates the time until an answer: this node's latency estimate times its requests in flight,
/// increased for failures, during slow start and for servers in another zone. Load reports of
/// servers are not used because they may be outdated or wrong.
class Balancer {
 public:
  Balancer(const BalancerSettings& settings, double batch_slot_part, ZoneId own_zone,
           Environment& environment)
      : settings_(settings),
        batch_slot_part_(batch_slot_part),
        own_zone_(std::move(own_zone)),
        environment_(environment) {}

  /// Returns null if no server has room. Ejected servers are only used if all are ejected.
  ServerPointer pick(const std::vector<ServerPointer>& usable, const PickRequest& request,
                     TimePoint now) const;

  /// Returns whether the server may take a request now. Ignores ejections.
  bool hasRoom(const ServerState& server, const PickRequest& request, TimePoint now) const;

  double cost(const ServerState& server, double average_latency_ms, TimePoint now) const;

  /// Returns the fraction of a full share that slow start allows, in (0, 1].
  double slowStartShare(const ServerState& server, TimePoint now) const;

 private:
  bool isEligible(const ServerState& server, const PickRequest& request, TimePoint now) const;
  ServerPointer cheaper(const ServerPointer& left, const ServerPointer& right,
                        const PickRequest& request, TimePoint now) const;
  ServerPointer pickByScan(const std::vector<ServerPointer>& usable, const PickRequest& request,
                           TimePoint now) const;

  const BalancerSettings& settings_;
  double batch_slot_part_;
  ZoneId own_zone_;
  Environment& environment_;
};

}  // namespace coursepond::proxy
