#include "cli/api_documents.h"

#include <exception>
#include <nlohmann/json.hpp>

namespace coursepond::cli {
namespace {

using nlohmann::json;

constexpr int kIndent = 2;

std::uint64_t number(const json& object, const char* key) {
  return object.at(key).get<std::uint64_t>();
}

Version version(const json& object, const char* key) { return Version(number(object, key)); }

std::string text(const json& object, const char* key) { return object.at(key).get<std::string>(); }

std::vector<std::string> texts(const json& object, const char* key) {
  return object.at(key).get<std::vector<std::string>>();
}

std::vector<VersionCount> readVersions(const json& list) {
  std::vector<VersionCount> versions;
  for (const json& entry : list) {
    versions.push_back(VersionCount{version(entry, "version"), number(entry, "proxies")});
  }
  return versions;
}

ChangeDocument readChanges(const json& changes) {
  return ChangeDocument{texts(changes, "added"), texts(changes, "changed"),
                        texts(changes, "removed")};
}

PlanZone readPlanZone(const json& zone) {
  PlanZone result;
  result.zone = ZoneId(text(zone, "zone"));
  result.answered = zone.at("answered").get<bool>();
  result.nodes = number(zone, "nodes");
  result.proxies_to_change = number(zone, "proxies_to_change");
  result.routes_affected = number(zone, "routes_affected");
  result.from_versions = readVersions(zone.at("from_versions"));
  return result;
}

void readEffect(const json& body, PlanDocument& plan) {
  plan.routes = readChanges(body.at("routes"));
  plan.services = readChanges(body.at("services"));
  plan.secrets = readChanges(body.at("secrets"));
  for (const json& zone : body.at("zones")) plan.zones.push_back(readPlanZone(zone));
  const json& bytes = body.at("estimated_bytes");
  plan.bytes_per_node_staged = number(bytes, "delta_per_node");
  plan.bytes_per_node_confirmed = number(bytes, "record_per_node");
  plan.bytes_total = number(bytes, "total");
}

PlanDocument readPlan(const json& body) {
  PlanDocument plan;
  plan.id = PlanId(text(body, "id"));
  plan.status = text(body, "status");
  plan.version = version(body, "version");
  plan.base = version(body, "base");
  plan.accepted = version(body, "accepted_version");
  plan.valid = body.at("valid").get<bool>();
  plan.platform_reached = body.value("platform_reached", true);
  plan.zones_missing = texts(body, "zones_missing");
  if (plan.valid) readEffect(body, plan);
  return plan;
}

StatusZone readStatusZone(const json& zone) {
  StatusZone result;
  result.zone = ZoneId(text(zone, "zone"));
  result.reachable = zone.at("reachable").get<bool>();
  result.answered = zone.at("answered").get<bool>();
  result.nodes = number(zone, "nodes");
  result.current = number(zone, "proxies_current");
  result.behind = number(zone, "proxies_behind");
  result.versions = readVersions(zone.at("versions_in_force"));
  for (const json& error : zone.at("errors")) result.errors.push_back(text(error, "error"));
  return result;
}

StatusDocument readStatus(const json& body) {
  StatusDocument status;
  status.node = NodeId(text(body, "node"));
  status.zone = ZoneId(text(body, "zone"));
  status.ready = body.at("ready").get<bool>();
  status.accepted = version(body, "newest_accepted_seen");
  status.in_force = version(body, "in_force");
  status.staged = version(body, "newest_staged");
  status.converged = body.at("converged").get<bool>();
  for (const json& zone : body.at("zones")) status.zones.push_back(readStatusZone(zone));
  return status;
}

ProxiesDocument readProxies(const json& body) {
  ProxiesDocument result;
  result.zones_missing = texts(body, "zones_missing");
  for (const json& entry : body.at("proxies")) {
    ProxyDocument proxy;
    proxy.node = NodeId(text(entry, "node"));
    proxy.zone = ZoneId(text(entry, "zone"));
    proxy.in_force = version(entry, "in_force");
    proxy.accepted = version(entry, "accepted");
    proxy.staged = version(entry, "staged");
    proxy.last_error = text(entry, "last_error");
    result.proxies.push_back(std::move(proxy));
  }
  return result;
}

/// Parses the text and calls `read`. Returns kMalformed if either throws.
template <typename Document, typename Read>
Result<Document> parseDocument(std::string_view text, Read read) {
  try {
    return read(json::parse(text));
  } catch (const std::exception& error) {
    return Error{ErrorKind::kMalformed,
                 std::string("the node's answer cannot be parsed: ") + error.what(),
                 "use the same version of coursepond as the node"};
  }
}

}  // namespace

Result<PlanDocument> parsePlan(std::string_view text) {
  return parseDocument<PlanDocument>(text, readPlan);
}

Result<StatusDocument> parseStatus(std::string_view text) {
  return parseDocument<StatusDocument>(text, readStatus);
}

Result<ProxiesDocument> parseProxies(std::string_view text) {
  return parseDocument<ProxiesDocument>(text, readProxies);
}

std::vector<MistakeDocument> parseMistakes(std::string_view text) {
  std::vector<MistakeDocument> mistakes;
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object() || !body.contains("mistakes") || !body["mistakes"].is_array()) return {};
  for (const json& entry : body["mistakes"]) {
    if (!entry.is_object()) continue;
    mistakes.push_back(MistakeDocument{entry.value("path", ""), entry.value("message", ""),
                                       entry.value("remedy", "")});
  }
  return mistakes;
}

std::string prettyJson(std::string_view text) {
  const json body = json::parse(text, nullptr, false);
  if (body.is_discarded()) return std::string(text);
  return body.dump(kIndent, ' ', false, json::error_handler_t::replace);
}

}  // namespace coursepond::cli
