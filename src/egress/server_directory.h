#pragma once

/// The servers that this egress knows, and what it observed of each and of the ingress beside it.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "egress/settings.h"
#include "model/server_entry.h"
#include "proxy/decision_log.h"
#include "proxy/request_flow.h"

namespace coursepond::egress {

/// One server behind its ingress. Requests that use it hold a pointer, so that it outlives its
/// removal from the directory.
struct Server {
  model::ServerEntry entry;
  model::Endpoint ingress;  ///< Named by the server's id; the address is the ingress's.
  std::uint32_t in_flight = 0;
  std::uint32_t in_flight_at_report = 0;
  proxy::HopLoad load;         ///< As last reported; slots zero: never.
  TimePoint load_at;           ///< When it was.
  double load_slowness = 1.0;  ///< The reported service time as a part of its service's average.
  double slowness = 1.0;       ///< Its latency as a part of its service's average, as of
  TimePoint slowness_at;       ///< this time; from then on it drifts back to 1.
  std::uint32_t failures = 0;  ///< To reach it, in a row.
  TimePoint avoid_until;
  std::optional<TimePoint> lapsed_at;  ///< Its entry went; see Settings::lapse_hold.
  TimePoint leaving_until;  ///< Its ingress said so: used only when nothing else is left.
  TimePoint cold_until;
  TimePoint entry_since;  ///< When its entry last changed here.

  bool avoided(TimePoint now) const { return now < avoid_until; }
  bool leaving(TimePoint now) const { return now < leaving_until; }
  bool draining() const { return entry.state == model::MachineState::kLeaving; }
};

using ServerPointer = std::shared_ptr<Server>;

class ServerDirectory {
 public:
  /// Told of each server that comes, leaves or goes.
  using ChangeHandler = std::function<void(proxy::ServerChange, const EndpointId&)>;

  explicit ServerDirectory(const Settings& settings, ChangeHandler on_change = nullptr)
      : settings_(settings), on_change_(std::move(on_change)) {}

  /// Takes in one entry; an older one than is held is ignored.
  void upsert(const model::ServerEntry& entry, TimePoint now);
  /// A server that said it was leaving is forgotten; another lapses.
  void remove(const EndpointId& id, TimePoint now);
  /// Both for many at once.
  void update(const std::vector<model::ServerEntry>& entries,
              const std::vector<EndpointId>& removed, TimePoint now);
  /// Removes what `entries` doesn't list, and takes in the rest.
  void replaceAll(const std::vector<model::ServerEntry>& entries, TimePoint now);
  /// Forgets servers that lapsed long enough ago. Returns when to call again, if any are left.
  std::optional<TimePoint> forgetLapsed(TimePoint now);

  /// Servers that may take new work, by id; lapsed ones only when no other is left.
  const std::vector<ServerPointer>& usable(const ServiceName& service) const;
  const std::unordered_map<EndpointId, ServerPointer>& all() const { return servers_; }

 private:
  // These leave usable_ to be rebuilt, once for each change as a whole.
  void put(const model::ServerEntry& entry, TimePoint now);
  void drop(const EndpointId& id, TimePoint now);
  void rebuild();
  void tell(proxy::ServerChange change, const EndpointId& id) const {
    if (on_change_) on_change_(change, id);
  }

  const Settings& settings_;
  ChangeHandler on_change_;
  std::unordered_map<EndpointId, ServerPointer> servers_;
  std::map<ServiceName, std::vector<ServerPointer>> usable_;
};

}  // namespace coursepond::egress
