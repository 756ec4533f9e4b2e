// The example configurations are valid, and their routes have the properties that the deployments
// need.

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "model/document.h"
#include "model/machine_list.h"
#include "model/snapshot.h"
#include "proxy/repeatability.h"
#include "proxy/route_table.h"

namespace coursepond::proxy {
namespace {

/// Reads a file in the repository's examples/, from any working directory inside the repository.
std::string readExample(const std::string& name) {
  std::filesystem::path folder = std::filesystem::current_path();
  while (!std::filesystem::exists(folder / "examples") && folder != folder.root_path()) {
    folder = folder.parent_path();
  }
  std::ifstream file(folder / "examples" / name);
  REQUIRE_MESSAGE(file.good(), "no examples/" << name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

model::SnapshotPointer snapshotOf(const std::string& name) {
  const auto document = model::parseDocument(readExample(name));
  REQUIRE_MESSAGE(document.has_value(), name << ": " << describe(document.error()));
  const auto snapshot =
      model::buildSnapshot(document->configuration, document->secret_values, ZoneId("a"));
  REQUIRE(snapshot.has_value());
  return *snapshot;
}

const model::Route* routeOf(const model::Snapshot& snapshot, const std::string& host,
                            const std::string& method, const std::string& path) {
  RequestHead head;
  head.host = host;
  head.method = method;
  head.path = path;
  const RouteTable table(snapshot.routes);
  const auto index = table.find(head);
  return index ? &snapshot.routes[*index] : nullptr;
}

}  // namespace

TEST_CASE("magnolia: a licence is never granted or charged twice, and reports are batch") {
  for (const char* version : {"1", "2"}) {
    const auto snapshot = snapshotOf("magnolia/configurations/" + std::string(version) + ".json");
    const std::string host = "type.magnolia.example";
    for (const char* path : {"/licences", "/licences/42", "/licences/charges/7"}) {
      const model::Route* route = routeOf(*snapshot, host, "POST", path);
      REQUIRE(route != nullptr);
      CHECK_FALSE(mayRunTwice(route->repeatability, "POST"));
    }
    const model::Route* read = routeOf(*snapshot, host, "GET", "/licences/42");
    REQUIRE(read != nullptr);
    CHECK(mayRunTwice(read->repeatability, "GET"));
    const model::Route* report = routeOf(*snapshot, host, "GET", "/reports/usage");
    REQUIRE(report != nullptr);
    CHECK(report->priority == model::Priority::kBatch);
    CHECK(routeOf(*snapshot, "other.example", "GET", "/fonts/a") == nullptr);
  }
  CHECK(model::parseMachineList(readExample("magnolia/machines.json")).has_value());
}

TEST_CASE("freight: a path is never booked twice, and reports are batch") {
  const auto snapshot = snapshotOf("freight/configurations/2.json");
  const std::string host = "freight.example";
  const model::Route* booking = routeOf(*snapshot, host, "POST", "/bookings/1");
  REQUIRE(booking != nullptr);
  CHECK_FALSE(mayRunTwice(booking->repeatability, "POST"));
  const model::Route* check = routeOf(*snapshot, host, "POST", "/capacity/section-9");
  REQUIRE(check != nullptr);
  CHECK(check->priority == model::Priority::kInteractive);
  const model::Route* report = routeOf(*snapshot, host, "GET", "/reports/night");
  REQUIRE(report != nullptr);
  CHECK(report->priority == model::Priority::kBatch);
  CHECK(model::parseMachineList(readExample("freight/machines.json")).has_value());
}

}  // namespace coursepond::proxy
