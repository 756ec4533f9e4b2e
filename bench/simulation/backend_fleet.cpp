#include "backend_fleet.h"

namespace coursepond::simulation {
namespace {

constexpr std::uint16_t kServerPort = 8080;
/// Time from the start of leaving to the end of the process.
constexpr Duration kLeavingTime = std::chrono::seconds(12);

Address serverAddress(std::size_t number) {
  return {"10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1),
          kServerPort};
}

}  // namespace

BackendFleet::BackendFleet(VirtualTime& time, Network& network, RequestChecks& checks,
                           const Deployment& deployment, std::uint64_t seed,
                           std::function<void()> on_machines_changed)
    : time_(time),
      network_(network),
      checks_(checks),
      random_(seed),
      on_machines_changed_(std::move(on_machines_changed)) {
  for (const ServiceShape& service : deployment.services) {
    for (const ZoneId& zone : deployment.zones) {
      for (std::uint32_t index = 0; index < service.servers_per_zone; ++index) {
        places_.push_back({service, zone, nullptr});
        install(places_.back());
      }
    }
  }
}

void BackendFleet::install(Place& place) {
  const std::size_t number = servers_.size() + 1;
  model::Endpoint endpoint;
  endpoint.id = EndpointId(place.service.name.value() + "-" + std::to_string(number));
  endpoint.address = serverAddress(number);
  endpoint.zone = place.zone;
  servers_.push_back(std::make_unique<BackendModel>(
      time_, network_, checks_, random_.below(1ULL << 62U), place.service, std::move(endpoint)));
  place.current = servers_.back().get();
}

BackendModel* BackendFleet::find(const EndpointId& server) {
  for (const auto& candidate : servers_) {
    if (candidate->endpoint().id == server) return candidate.get();
  }
  return nullptr;
}

void BackendFleet::crash(std::size_t place) {
  current(place).crash();
  on_machines_changed_();
}

void BackendFleet::replace(std::size_t place) {
  if (current(place).running()) return;
  install(places_[place]);
  on_machines_changed_();
}

void BackendFleet::leave(std::size_t place) {
  BackendModel& leaving = current(place);
  if (!leaving.running()) return;
  leaving.beginLeaving();
  install(places_[place]);
  on_machines_changed_();
  time_.schedule(kLeavingTime, [this, &leaving] {
    leaving.crash();
    on_machines_changed_();
  });
}

std::vector<ListedBackend> BackendFleet::listed() const {
  std::vector<ListedBackend> backends;
  for (const auto& server : servers_) {
    if (!server->running()) continue;
    model::Endpoint endpoint = server->endpoint();
    const bool shows_leaving = server->leavingSince() && !server->behaviour().is_listed_as_live;
    endpoint.state = shows_leaving ? model::MachineState::kLeaving : model::MachineState::kLive;
    backends.push_back({server->service(), std::move(endpoint)});
  }
  return backends;
}

}  // namespace coursepond::simulation
