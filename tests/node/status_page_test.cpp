#include "node/status_page.h"

#include <doctest/doctest.h>

#include "node/text_table.h"

using namespace coursepond;
using namespace coursepond::node;

TEST_CASE("table columns are aligned to their widest cell") {
  TextTable table({"A", "LONG"});
  table.addRow({"wide cell", "1"});
  table.addRow({"x", "2"});
  CHECK(table.render() == "A          LONG\nwide cell  1\nx          2\n");
}

TEST_CASE("the status page shows versions, roles, zones and back ends") {
  StatusReport report;
  report.node = NodeId("a1");
  report.zone = ZoneId("a");
  report.readiness = "ready";
  report.in_force = Version(7);
  report.accepted = Version(7);
  report.staged = Version(8);
  report.roles.source_reader = true;
  report.uptime = std::chrono::seconds(3723);
  report.view.own_zone = ZoneId("a");
  membership::ZoneView own;
  own.zone = ZoneId("a");
  own.members.push_back(membership::Member{NodeId("a1"), ZoneId("a"), Address{"127.0.0.1", 7946},
                                           Incarnation(3), membership::MemberState::kSuspect});
  membership::ZoneView other;
  other.zone = ZoneId("b");
  other.node_count = 4;
  report.view.zones = {{ZoneId("a"), own}, {ZoneId("b"), other}};
  proxy::ServerReport server;
  server.service = ServiceName("booking");
  server.endpoint.id = EndpointId("booking-1");
  server.endpoint.address = Address{"127.0.0.1", 9001};
  server.ejected = true;
  report.servers.push_back(server);

  const std::string page = renderStatusPage(report);
  CAPTURE(page);
  for (const char* part :
       {"node a1, zone a: ready", "version in force    7", "7 / 8", "source reader", "1h 02m 03s",
        "a (own)  1      yes", "b        4      NO", "suspect", "booking-1", "ejected"}) {
    CHECK(page.find(part) != std::string::npos);
  }
}

TEST_CASE("the status page of a node without configuration says why it is not ready") {
  StatusReport report;
  report.readiness = "not ready: no configuration has been accepted";
  const std::string page = renderStatusPage(report);
  CHECK(page.find("not ready: no configuration has been accepted") != std::string::npos);
  CHECK(page.find("version in force    none") != std::string::npos);
  CHECK(page.find("proxy only") != std::string::npos);
}
