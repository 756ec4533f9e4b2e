#include "workload.h"

#include <nlohmann/json.hpp>

#include "core/digest.h"

namespace coursepond::bench {
namespace {

using Json = nlohmann::json;

constexpr std::uint32_t kSecrets = 6;
constexpr std::uint32_t kRoutesPerSecret = 10;

std::string padded(std::uint32_t number) {
  std::string text = std::to_string(number);
  return std::string(text.size() < 4 ? 4 - text.size() : 0, '0') + text;
}

Json routeJson(const MeshShape& shape, std::uint32_t route, Version version) {
  const std::string& service = shape.services[route % shape.services.size()];
  // Each version changes one route, in turn: version 1 + n changes route n modulo the route count.
  const std::uint64_t changes = (version.value() + shape.routes - 1 - route) / shape.routes;
  Json json = {{"name", service + "-route-" + padded(route)},
               {"host", service + ".example.org"},
               {"path_prefix", "/" + service + "/" + padded(route)},
               {"methods", {"GET", "HEAD"}},
               {"service", service},
               {"timeout_ms", 1000 + changes}};
  if (route % kRoutesPerSecret == 0) {
    const std::string secret = "secret-" + std::to_string(route / kRoutesPerSecret % kSecrets);
    json["secrets"] = {{{"secret", secret}, {"header", "Authorization"}}};
  }
  return json;
}

Json serviceJson(const std::string& service) {
  return {{"name", service}, {"slots_per_server", 20}, {"connections_per_server", 130}};
}

std::uint32_t setCount(const MeshShape& shape) {
  return static_cast<std::uint32_t>(shape.services.size()) * shape.zones;
}

distribution::EndpointKey setAt(const MeshShape& shape, std::uint32_t index) {
  const auto services = static_cast<std::uint32_t>(shape.services.size());
  return {ServiceName(shape.services[index % services]), zoneName(index / services)};
}

}  // namespace

MeshShape magnolia(std::uint32_t nodes) {
  return {"magnolia",
          4,
          nodes,
          std::chrono::microseconds(1500),
          {"catalogue", "licensing", "font-delivery"}};
}

MeshShape freight(std::uint32_t nodes) {
  return {"freight", 3, nodes, std::chrono::milliseconds(1), {"corridor", "booking", "timetable"}};
}

ZoneId zoneName(std::uint32_t zone) { return ZoneId("zone-" + std::to_string(zone + 1)); }

NodeId nodeName(std::uint32_t node) { return NodeId("node-" + padded(node)); }

ZoneId zoneOfNode(const MeshShape& shape, std::uint32_t node) {
  return zoneName(node % shape.zones);
}

std::string documentText(const MeshShape& shape, Version version) {
  Json json = {{"version", version.value()},
               {"routes", Json::array()},
               {"services", Json::array()},
               {"secrets", Json::array()}};
  for (std::uint32_t route = 0; route < shape.routes; ++route) {
    json["routes"].push_back(routeJson(shape, route, version));
  }
  for (const std::string& service : shape.services) {
    json["services"].push_back(serviceJson(service));
  }
  for (std::uint32_t secret = 0; secret < kSecrets; ++secret) {
    const std::string name = "secret-" + std::to_string(secret);
    const std::string value = Digest::of(name).toHex();  // incompressible, like a real secret
    json["secrets"].push_back({{"name", name}, {"value", value}});
  }
  return json.dump();
}

std::vector<model::ListedNode> makeNodes(const MeshShape& shape) {
  std::vector<model::ListedNode> nodes;
  for (std::uint32_t node = 0; node < shape.nodes; ++node) {
    model::ListedNode listed;
    listed.id = nodeName(node);
    listed.zone = zoneOfNode(shape, node);
    listed.peer_address =
        Address{"10.0." + std::to_string(node / 250) + "." + std::to_string(node % 250 + 1), 7400};
    nodes.push_back(std::move(listed));
  }
  return nodes;
}

std::vector<simulation::ListedBackend> makeBackends(const MeshShape& shape,
                                                    std::uint32_t churn_steps) {
  std::vector<simulation::ListedBackend> backends;
  const std::uint32_t sets = setCount(shape);
  for (std::uint32_t index = 0; index < sets; ++index) {
    const distribution::EndpointKey key = setAt(shape, index);
    const std::uint32_t replaced = churn_steps / sets + (index < churn_steps % sets ? 1 : 0);
    for (std::uint32_t server = 0; server < shape.servers_per_service; ++server) {
      const std::uint32_t number = replaced + server;
      model::Endpoint endpoint;
      endpoint.id = EndpointId(key.service.value() + "-" + key.zone.value() + "-" + padded(number));
      endpoint.address =
          Address{"10.1." + std::to_string(index) + "." + std::to_string(number % 250 + 1), 8080};
      endpoint.zone = key.zone;
      backends.push_back({key.service, std::move(endpoint)});
    }
  }
  return backends;
}

distribution::EndpointKey churnedSet(const MeshShape& shape, std::uint32_t step) {
  return setAt(shape, (step - 1) % setCount(shape));
}

}  // namespace coursepond::bench
