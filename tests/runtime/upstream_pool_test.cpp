#include "proxy_server_fixture.h"

namespace coursepond::runtime {
namespace {

ProxyServerSettings quickUpkeep() {
  ProxyServerSettings settings;
  settings.upstream.maintenance_interval = std::chrono::milliseconds(5);
  settings.upstream.warm_connections = 0;
  return settings;
}

model::Service serviceWithConnections(std::uint32_t connections) {
  model::Service service;
  service.name = ServiceName("s");
  service.connections_per_server = connections;
  return service;
}

}  // namespace

TEST_CASE("warm connections are opened before the first request, within the budget") {
  ProxyServerSettings settings = quickUpkeep();
  settings.upstream.warm_connections = 5;
  ProxyServerFixture fixture(settings, serviceWithConnections(3));
  RawServer server(fixture.context, [](RawServer::Connection&) {});
  fixture.useServers({server.address()});
  fixture.runUntil([&] { return server.connections.size() == 3; });
  CHECK(fixture.server->upstreamConnectionCount() == 3);
}

TEST_CASE("idle connections to a leaving server are closed, but not one with a request") {
  ProxyServerFixture fixture(quickUpkeep());
  RawServer server(fixture.context, [](RawServer::Connection& connection) {
    if (connection.received.find("/quick") == std::string::npos) return;
    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nquick");
    connection.received.clear();
  });
  fixture.useServers({server.address()});
  RawCaller slow = fixture.caller();
  slow.send(simpleGet("/slow"));
  fixture.runUntil(
      [&] { return !server.connections.empty() && !server.connections[0]->received.empty(); });
  RawCaller quick = fixture.caller();
  quick.send(simpleGet("/quick"));
  REQUIRE(quick.receives("quick"));
  REQUIRE(server.connections.size() == 2);

  fixture.useServers({});
  fixture.runUntil([&] { return server.connections[1]->ended; });
  CHECK_FALSE(server.connections[0]->ended);
  server.connections[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
  REQUIRE(slow.receives("whole"));
  fixture.runUntil([&] { return server.connections[0]->ended; });
  CHECK(fixture.server->upstreamConnectionCount() == 0);
}

TEST_CASE("idle connections time out, and a connection that the server closes is detected") {
  ProxyServerSettings settings = quickUpkeep();
  settings.upstream.connection.idle_timeout = std::chrono::milliseconds(20);
  ProxyServerFixture fixture(settings);
  RawServer server(fixture.context, [](RawServer::Connection& connection) {
    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  fixture.useServers({server.address()});
  RawCaller caller = fixture.caller();
  caller.send(simpleGet("/"));
  REQUIRE(caller.receives("ok"));
  fixture.runUntil([&] { return server.connections[0]->ended; });

  caller.send(simpleGet("/"));
  fixture.runUntil([&] { return server.connections.size() == 2; });
  REQUIRE(caller.receives("ok"));
  server.connections[1]->socket.close();
  fixture.runUntil([&] { return fixture.server->upstreamConnectionCount() == 0; });
  CHECK(fixture.server->upstreamStatistics().closed_while_idle == 2);
  CHECK(fixture.server->upstreamStatistics().abandoned == 0);
}

TEST_CASE("no more connections are opened to a server than its budget allows") {
  ProxyServerFixture fixture(quickUpkeep(), serviceWithConnections(2));
  RawServer server(fixture.context, [](RawServer::Connection&) {});
  fixture.useServers({server.address()});
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int index = 0; index < 6; ++index) {
    callers.push_back(std::make_unique<RawCaller>(fixture.context, fixture.server->address().port));
    callers.back()->send(simpleGet("/", "X-Deadline-Ms: 60\r\n"));
  }
  for (const auto& caller : callers) {
    REQUIRE(caller->receives("X-Outcome: "));
    CHECK(fixture.server->upstreamConnectionCount() <= 2);
  }
}

}  // namespace coursepond::runtime
