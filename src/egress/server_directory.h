#pragma once

/// The servers that this egress knows, with its observations of each server and of the ingress
/// beside it.

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

/// One server and its ingress. Requests hold a pointer to the server that they use, so that it
/// outlives its removal from the directory.
struct Server {
  model::ServerEntry entry;
  model::Endpoint ingress;      ///< Has the server's id and the address of the ingress.
  std::uint32_t in_flight = 0;  ///< Requests of this node.
  std::uint32_t in_flight_at_report = 0;
  proxy::HopLoad load;  ///< Last reported load; zero slots: none reported yet.
  TimePoint load_at;    ///< When `load` was reported.
  /// How long its link needs for the large answers that this node has requested since `load` was
  /// reported, as of the following time.
  Duration large_requested{};
  TimePoint large_requested_at;
  double load_slowness = 1.0;  ///< Reported service time relative to the service's average.
  /// Moving average of `load_slowness` at the server's usual speed. Only of servers that report
  /// their slowness.
  double usual_slowness = 1.0;
  double slowness = 1.0;       ///< Observed latency relative to the service's average, as of
  TimePoint slowness_at;       ///< this time; it decays towards 1 afterwards.
  std::uint32_t failures = 0;  ///< Consecutive failures to reach the ingress.
  TimePoint avoid_until;
  std::optional<TimePoint> lapsed_at;  ///< When its entry lapsed; see Settings::lapse_hold.
  TimePoint leaving_until;  ///< Its ingress reported draining: used only if no other is left.
  TimePoint cold_until;
  TimePoint entry_since;  ///< When the entry last changed in this directory.

  bool avoided(TimePoint now) const { return now < avoid_until; }
  bool leaving(TimePoint now) const { return now < leaving_until; }
  bool draining() const { return entry.state == model::MachineState::kLeaving; }
};

using ServerPointer = std::shared_ptr<Server>;

class ServerDirectory {
 public:
  /// Called for each server that is listed, starts to leave, lapses or is forgotten.
  using ChangeHandler = std::function<void(proxy::ServerChange, const EndpointId&)>;

  explicit ServerDirectory(const Settings& settings, ChangeHandler on_change = nullptr)
      : settings_(settings), on_change_(std::move(on_change)) {}

  /// Adds or updates one entry. An entry with a lower revision than the known one is ignored.
  void upsert(const model::ServerEntry& entry, TimePoint now);
  /// Called when an entry was removed: a leaving server is forgotten, any other one lapses.
  void remove(const EndpointId& id, TimePoint now);
  /// Applies many upserts and removals at once.
  void update(const std::vector<model::ServerEntry>& entries,
              const std::vector<EndpointId>& removed, TimePoint now);
  /// Replaces the known servers: removes those that are not in `entries` and upserts the others.
  void replaceAll(const std::vector<model::ServerEntry>& entries, TimePoint now);
  /// Forgets servers that lapsed at least Settings::lapse_hold ago. Returns when the next one is
  /// due; nothing if no lapsed server is left.
  std::optional<TimePoint> forgetLapsed(TimePoint now);

  /// Called when the server said in an answer that it is leaving. It is not usable until it is
  /// started anew: an entry or its removal and return do not change that.
  void onSaidLeaving(const Server& server, TimePoint now);

  /// Returns the servers that may get new requests, ordered by id. Lapsed servers are included only
  /// if the service has no listed one.
  const std::vector<ServerPointer>& usable(const ServiceName& service) const;
  const std::unordered_map<EndpointId, ServerPointer>& all() const { return servers_; }

 private:
  // put() and drop() do not update usable_: callers call rebuild() once after all changes.
  void put(const model::ServerEntry& entry, TimePoint now);
  void drop(const EndpointId& id, TimePoint now);
  void rebuild();
  bool hasSaidLeaving(const model::ServerEntry& entry) const;
  void forgetOldLeavingMarks(TimePoint now);
  void notify(proxy::ServerChange change, const EndpointId& id) const {
    if (on_change_) on_change_(change, id);
  }

  const Settings& settings_;
  ChangeHandler on_change_;
  /// An instance that said that it is leaving.
  struct LeavingMark {
    std::uint64_t started_ms = 0;  ///< See model::ServerEntry.
    TimePoint marked_at;
  };
  std::unordered_map<EndpointId, ServerPointer> servers_;
  std::unordered_map<EndpointId, LeavingMark> leaving_marks_;
  std::map<ServiceName, std::vector<ServerPointer>> usable_;
};

}  // namespace coursepond::egress
