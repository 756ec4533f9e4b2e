#include "node/status_page.h"

#include <cstdio>

#include "node/text_table.h"

namespace coursepond::node {
namespace {

std::string formatVersion(Version version) {
  return version == Version() ? "none" : std::to_string(version.value());
}

std::string formatUptime(Duration uptime) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(uptime).count();
  char text[48];
  std::snprintf(text, sizeof(text), "%lldh %02lldm %02llds", static_cast<long long>(seconds / 3600),
                static_cast<long long>(seconds / 60 % 60), static_cast<long long>(seconds % 60));
  return text;
}

std::string formatDecimal(double value) {
  char text[48];
  std::snprintf(text, sizeof(text), "%.2f", value);
  return text;
}

std::string formatRoles(const membership::Roles& roles) {
  std::string text;
  const auto add = [&text](bool held, const char* name) {
    if (held) text += (text.empty() ? "" : ", ") + std::string(name);
  };
  add(roles.source_reader, "source reader");
  add(roles.zone_distributor, "zone distributor");
  add(roles.voter, "voter");
  return text.empty() ? "proxy only" : text;
}

std::string memberStateName(membership::MemberState state) {
  switch (state) {
    case membership::MemberState::kAlive:
      return "alive";
    case membership::MemberState::kSuspect:
      return "suspect";
    case membership::MemberState::kDead:
      return "dead";
    case membership::MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

std::string serverStateName(const proxy::ServerReport& server) {
  if (server.draining || server.endpoint.state == model::MachineState::kLeaving) return "leaving";
  return server.ejected ? "ejected" : "in use";
}

std::string renderHead(const StatusReport& report) {
  std::string text = "coursepond node " + report.node.value() + ", zone " + report.zone.value() +
                     ": " + report.readiness + "\n\n";
  TextTable table({"", ""});
  table.addRow({"version in force", formatVersion(report.in_force)});
  table.addRow(
      {"accepted / staged", formatVersion(report.accepted) + " / " + formatVersion(report.staged)});
  table.addRow({"digest", report.digest.empty() ? "none" : report.digest.toHex()});
  table.addRow({"content", std::to_string(report.routes) + " routes, " +
                               std::to_string(report.services) + " services, " +
                               std::to_string(report.secrets) + " secrets"});
  table.addRow({"roles", formatRoles(report.roles)});
  table.addRow({"requests in flight", std::to_string(report.requests_in_flight)});
  table.addRow({"peer connections", std::to_string(report.peer_connections)});
  table.addRow({"up for", formatUptime(report.uptime)});
  if (!report.last_rejection.empty()) table.addRow({"last rejection", report.last_rejection});
  return text + table.render();
}

std::string renderZones(const membership::View& view) {
  TextTable table({"ZONE", "NODES", "REACHABLE"});
  for (const auto& [id, zone] : view.zones) {
    const bool own = id == view.own_zone;
    const std::size_t nodes = own ? zone.members.size() : zone.node_count;
    table.addRow({id.value() + (own ? " (own)" : ""), std::to_string(nodes),
                  own || zone.reachable ? "yes" : "NO"});
  }
  return table.render();
}

std::string renderMembers(const membership::View& view) {
  const membership::ZoneView* own = view.zone(view.own_zone);
  TextTable table({"NODE", "ADDRESS", "INCARNATION", "STATE"});
  if (own != nullptr) {
    for (const membership::Member& member : own->members) {
      table.addRow({member.id.value(), formatAddress(member.peer_address),
                    std::to_string(member.incarnation.value()), memberStateName(member.state)});
    }
  }
  return table.render();
}

std::string renderServers(const std::vector<proxy::ServerReport>& servers) {
  TextTable table(
      {"SERVICE", "BACK END", "ZONE", "ADDRESS", "STATE", "IN FLIGHT", "LATENCY MS", "LOAD"});
  for (const proxy::ServerReport& server : servers) {
    table.addRow({server.service.value(), server.endpoint.id.value(), server.endpoint.zone.value(),
                  formatAddress(server.endpoint.address), serverStateName(server),
                  std::to_string(server.in_flight), formatDecimal(server.latency_ms),
                  formatDecimal(server.reported_load)});
  }
  return table.render();
}

}  // namespace

std::string renderStatusPage(const StatusReport& report) {
  std::string text = renderHead(report);
  text += "\nZones\n" + renderZones(report.view);
  text += "\nNodes of the own zone\n" + renderMembers(report.view);
  text += "\nBack ends\n" + renderServers(report.servers);
  text += "\nSee also /metrics, /healthz, /readyz, and /v1/ for operators.\n";
  return text;
}

}  // namespace coursepond::node
