#include "deployment.h"

#include <nlohmann/json.hpp>

namespace coursepond::simulation {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

std::vector<ZoneId> zonesNamed(std::string_view prefix, std::uint32_t count) {
  std::vector<ZoneId> zones;
  for (std::uint32_t index = 1; index <= count; ++index) {
    zones.emplace_back(std::string(prefix) + std::to_string(index));
  }
  return zones;
}

Json routeOf(const ServiceShape& service) {
  return {{"name", service.name.value()},
          {"path_prefix", service.request.path},
          {"service", service.name.value()},
          {"secrets", {{{"secret", service.name.value() + "-token"}, {"header", "Authorization"}}}},
          {"timeout_ms", toMilliseconds(service.request.deadline)}};
}

/// A route that only this version has, with a service and a secret of its own.
void addPassingParts(Json& document, Version version) {
  const std::string name = "passing-" + std::to_string(version.value());
  document["services"].push_back({{"name", name}});
  document["secrets"].push_back({{"name", name}, {"value", "value-of-" + name}});
  document["routes"].push_back({{"name", name},
                                {"path_prefix", "/" + name},
                                {"service", name},
                                {"secrets", {{{"secret", name}, {"header", "X-Token"}}}}});
}

Json document(const Deployment& deployment, Version version) {
  Json json = {{"version", version.value()},
               {"routes", Json::array()},
               {"services", Json::array()},
               {"secrets", Json::array()}};
  for (const ServiceShape& service : deployment.services) {
    json["routes"].push_back(routeOf(service));
    json["services"].push_back({{"name", service.name.value()},
                                {"slots_per_server", service.slots},
                                {"connections_per_server", service.connections},
                                {"queue_limit", 100 + version.value()}});
    json["secrets"].push_back(
        {{"name", service.name.value() + "-token"},
         {"value", service.name.value() + "-token-" + std::to_string(version.value())}});
  }
  addPassingParts(json, version);
  return json;
}

}  // namespace

Deployment magnolia() {
  const RequestKind catalogue{"GET", "/catalogue", true, milliseconds(1500)};
  const RequestKind licence{"POST", "/licence", false, milliseconds(1000)};
  const RequestKind font{"GET", "/font", true, milliseconds(800)};
  return {"magnolia",
          zonesNamed("magnolia-", 4),
          3,
          std::chrono::microseconds(1500),
          {{ServiceName("catalogue"), 1, 20, 130, milliseconds(20), catalogue},
           {ServiceName("licensing"), 1, 20, 130, milliseconds(30), licence},
           {ServiceName("font-delivery"), 1, 20, 130, milliseconds(10), font}}};
}

Deployment freight() {
  const RequestKind corridor{"GET", "/corridor", true, milliseconds(300)};
  const RequestKind booking{"POST", "/booking", false, milliseconds(600)};
  const RequestKind timetable{"GET", "/timetable", true, milliseconds(400)};
  return {"freight",
          zonesNamed("freight-", 3),
          3,
          milliseconds(1),
          {{ServiceName("corridor"), 1, 10, 120, milliseconds(8), corridor},
           {ServiceName("booking"), 1, 10, 120, milliseconds(25), booking},
           {ServiceName("timetable"), 1, 10, 120, milliseconds(12), timetable}}};
}

std::string documentText(const Deployment& deployment, Version version) {
  return document(deployment, version).dump();
}

std::string brokenDocumentText(const Deployment& deployment, Version version) {
  Json json = document(deployment, version);
  json["routes"][0]["service"] = "absent";
  return json.dump();
}

}  // namespace coursepond::simulation
