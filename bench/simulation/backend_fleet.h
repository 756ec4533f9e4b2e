#pragma once

/// All back ends of a run. Each place has one current server; a server that crashes or leaves is
/// replaced by a cold one.

#include <functional>
#include <memory>
#include <vector>

#include "backend_model.h"
#include "deployment.h"
#include "platform_model.h"

namespace coursepond::simulation {

class BackendFleet {
 public:
  BackendFleet(VirtualTime& time, Network& network, RequestChecks& checks,
               const Deployment& deployment, std::uint64_t seed,
               std::function<void()> on_machines_changed);

  /// Number of places for servers; each has one current server.
  std::size_t placeCount() const { return places_.size(); }
  BackendModel& current(std::size_t place) { return *places_[place].current; }
  const ServiceName& serviceOf(std::size_t place) const { return places_[place].service.name; }
  /// Finds a current or former server by id; null if there was none.
  BackendModel* find(const EndpointId& server);

  void crash(std::size_t place);
  /// Puts a new, cold server into the place.
  void replace(std::size_t place);
  /// The current server starts to leave and ends later; a cold one takes its place immediately.
  void leave(std::size_t place);

  /// Running servers as the platform lists them, including those that are leaving.
  std::vector<ListedBackend> listed() const;

 private:
  struct Place {
    ServiceShape service;
    ZoneId zone;
    BackendModel* current = nullptr;
  };

  void install(Place& place);

  VirtualTime& time_;
  Network& network_;
  RequestChecks& checks_;
  RandomSource random_;
  std::function<void()> on_machines_changed_;
  std::vector<Place> places_;
  std::vector<std::unique_ptr<BackendModel>> servers_;
};

}  // namespace coursepond::simulation
