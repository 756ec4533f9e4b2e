#include "bench_node.h"

namespace coursepond::bench {
namespace {

/// Far above what the runs need, so that admission never queues requests: the bench measures the
/// I/O path.
constexpr std::uint32_t kSlots = 1000;

std::shared_ptr<model::Snapshot> makeSnapshot() {
  auto snapshot = std::make_shared<model::Snapshot>();
  snapshot->version = Version(1);
  model::Service service;
  service.name = ServiceName("s");
  service.slots_per_server = kSlots;
  service.connections_per_server = kSlots;
  snapshot->services.emplace(service.name, service);
  for (const char* prefix : {"/catalogue", "/booking", "/timetable", "/capacity"}) {
    model::Route route;
    route.name = RouteName(std::string("r") + prefix);
    route.match.host = "svc";
    route.match.path_prefix = prefix;
    route.service = service.name;
    snapshot->routes.push_back(route);
  }
  return snapshot;
}

}  // namespace

BenchNode::BenchNode(const Address& backend) {
  thread_.run([&] {
    environment_ = std::make_unique<runtime::AsioEnvironment>(thread_.context());
    proxy::Settings settings;
    settings.balancer.slow_start = Duration(1);
    state_ = std::make_unique<proxy::ProxyState>(ZoneId("z"), settings, *environment_);
    state_->apply(makeSnapshot());
    runtime::ProxyServerSettings server_settings;
    server_ = std::move(
        runtime::ProxyServer::create(thread_.context(), server_settings, *state_, *environment_)
            .value());
    address_ = server_->address();
  });
  replaceEndpoints(backend, "e0");
}

BenchNode::~BenchNode() {
  thread_.run([&] {
    server_.reset();
    state_.reset();
    environment_.reset();
  });
}

void BenchNode::replaceEndpoints(const Address& backend, const std::string& endpoint_id) {
  thread_.run([&] {
    model::EndpointSet set;
    set.service = ServiceName("s");
    set.zone = ZoneId("z");
    set.generation = Generation(++generation_);
    set.endpoints.push_back({EndpointId(endpoint_id), backend, ZoneId("z")});
    state_->updateEndpoints(set);
  });
}

std::string BenchNode::counters() {
  std::string text;
  thread_.run([&] {
    const auto& server = server_->statistics();
    const auto& upstream = server_->upstreamStatistics();
    const auto& flows = state_->statistics();
    text = "requests " + std::to_string(server.requests) + ", answers " +
           std::to_string(server.answers) + ", connects " + std::to_string(upstream.connects) +
           ", reuses " + std::to_string(upstream.reuses) + ", over budget " +
           std::to_string(upstream.over_budget) + ", queued " + std::to_string(flows.queued) +
           ", retries " + std::to_string(flows.retries);
  });
  return text;
}

}  // namespace coursepond::bench
