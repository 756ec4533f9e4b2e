#include "proxy/proxy_state.h"

#include <algorithm>

#include "proxy/proxy_parts.h"

namespace coursepond::proxy {

ProxyState::Parts::Parts(ZoneId zone, Settings values, Environment& clock)
    : own_zone(std::move(zone)), settings(values), environment(clock), deadlines(clock) {}

std::shared_ptr<ServiceState> ProxyState::Parts::service(const ServiceName& name) {
  std::shared_ptr<ServiceState>& service = services_[name];
  if (!service) {
    service = std::make_shared<ServiceState>(
        ServiceContext{own_zone, settings, node_count, environment, deadlines, statistics});
  }
  return service;
}

const ServiceState* ProxyState::Parts::findService(const ServiceName& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second.get();
}

void ProxyState::Parts::install(model::SnapshotPointer next_snapshot) {
  auto next = std::make_shared<RoutingSnapshot>(next_snapshot);
  for (const auto& [name, settings_of_service] : next_snapshot->services) {
    service(name)->configure(settings_of_service);
  }
  for (const model::Route& route : next_snapshot->routes)
    next->services.push_back(service(route.service));
  snapshot = std::move(next_snapshot);
  routing = std::move(next);
  removeUnused();
}

/// Removes services that neither the snapshot nor an endpoint nor a request needs. Otherwise they
/// would accumulate, since a node runs for months while services come and go.
void ProxyState::Parts::removeUnused() {
  std::erase_if(services_, [&](const auto& entry) {
    return entry.second->idle() && !snapshot->services.contains(entry.first);
  });
}

ProxyState::ProxyState(ZoneId own_zone, Settings settings, Environment& environment)
    : parts_(std::make_unique<Parts>(std::move(own_zone), settings, environment)) {}

ProxyState::~ProxyState() = default;

bool ProxyState::apply(model::SnapshotPointer snapshot) {
  if (parts_->snapshot && snapshot->version < parts_->snapshot->version) return false;
  parts_->install(std::move(snapshot));
  return true;
}

const model::SnapshotPointer& ProxyState::snapshot() const { return parts_->snapshot; }

void ProxyState::updateEndpoints(const model::EndpointSet& endpoints) {
  parts_->service(endpoints.service)->updateEndpoints(endpoints, parts_->environment.now());
}

void ProxyState::setNodeCount(std::size_t nodes) {
  parts_->node_count = std::max<std::size_t>(nodes, 1);
}

std::uint32_t ProxyState::connectionBudget(const ServiceName& service) const {
  const ServiceState* state = parts_->findService(service);
  return state == nullptr ? 1 : state->connectionShare();
}

std::uint32_t ProxyState::connectionBudget(const ServiceName& service,
                                           const EndpointId& endpoint) const {
  const ServiceState* state = parts_->findService(service);
  if (state == nullptr) return 1;
  const ServerState* server = state->servers().find(endpoint);
  if (server == nullptr) return state->connectionShare();
  return server->connections.value(state->connectionShare(), parts_->environment.now());
}

std::vector<WarmServer> ProxyState::warmServers() const {
  std::vector<WarmServer> servers;
  for (const ServerReport& report : serverReports()) {
    if (report.ejected || !usable(report.service, report.endpoint.id)) continue;
    servers.push_back({report.service, report.endpoint});
  }
  return servers;
}

bool ProxyState::usable(const ServiceName& service, const EndpointId& endpoint) const {
  const ServiceState* state = parts_->findService(service);
  return state != nullptr && state->servers().isUsable(endpoint);
}

void ProxyState::announceStop(TimePoint end) {
  parts_->stop_deadline.announce(end);
  parts_->deadlines.capDeadlines(parts_->stop_deadline.latest());
}

void ProxyState::beginStop() { parts_->stopping = true; }

std::size_t ProxyState::requestsInFlight() const { return parts_->in_flight; }

const ProxyStatistics& ProxyState::statistics() const { return parts_->statistics; }

std::vector<ServerReport> ProxyState::serverReports() const {
  const TimePoint now = parts_->environment.now();
  std::vector<ServerReport> reports;
  for (const auto& [name, service] : parts_->services_) {
    for (const auto& [id, server] : service->servers().all()) {
      ServerReport report;
      report.service = name;
      report.endpoint = server->endpoint;
      report.in_flight = server->in_flight;
      report.latency_ms = server->latency_ms.valueOr(0);
      report.reported_load = server->reported_load;
      report.concurrency_limit = server->limit.exactValue();
      report.ejected = server->outlier.ejected(now);
      report.draining = server->draining;
      reports.push_back(std::move(report));
    }
  }
  std::sort(reports.begin(), reports.end(),
            [](const ServerReport& left, const ServerReport& right) {
              return std::tie(left.service, left.endpoint.id) <
                     std::tie(right.service, right.endpoint.id);
            });
  return reports;
}

ProxyState::Parts& ProxyState::parts() { return *parts_; }

}  // namespace coursepond::proxy
