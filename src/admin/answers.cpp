#include "admin/answers.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace coursepond::admin {
namespace {

using Json = nlohmann::json;
using distribution::AcceptanceRecord;
using distribution::ProxyState;

constexpr Duration kRetryAfter = std::chrono::seconds(1);

int httpStatus(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return 400;
    case ErrorKind::kUnauthorized:
      return 401;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kConflict:
    case ErrorKind::kBaseMismatch:
    case ErrorKind::kVersionRegression:
    case ErrorKind::kDigestMismatch:
      return 409;
    case ErrorKind::kTooLarge:
      return 413;
    case ErrorKind::kMissingDependency:
    case ErrorKind::kMalformed:
      return 422;
    case ErrorKind::kOverloaded:
      return 429;
    case ErrorKind::kNoQuorum:
    case ErrorKind::kUnavailable:
      return 503;
    case ErrorKind::kOutcomeUnknown:
    case ErrorKind::kTimeout:
      return 504;
  }
  return 500;
}

Json toJson(const Error& error) {
  return {{"kind", kindName(error.kind)}, {"message", error.message}, {"remedy", error.remedy}};
}

/// Replaces bytes that are not UTF-8, so that this never throws.
std::string write(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

AdminResponse answer(int status, const Json& json) {
  AdminResponse response;
  response.status = status;
  response.json_body = write(json);
  if (status == 429 || status == 503) {
    response.retry_after = kRetryAfter;
  }
  return response;
}

template <typename NameType>
Json namesToJson(const std::vector<NameType>& names) {
  Json list = Json::array();
  for (const NameType& name : names) {
    list.push_back(name.value());
  }
  return list;
}

template <typename NameType>
Json changesToJson(const model::NameChanges<NameType>& changes) {
  return {{"added", namesToJson(changes.added)},
          {"changed", namesToJson(changes.changed)},
          {"removed", namesToJson(changes.removed)}};
}

Json zonesToJson(const std::set<ZoneId>& zones) {
  return namesToJson(std::vector<ZoneId>(zones.begin(), zones.end()));
}

Json versionsToJson(const std::map<Version, std::size_t>& versions) {
  Json list = Json::array();
  for (const auto& [version, proxies] : versions) {
    list.push_back({{"version", version.value()}, {"proxies", proxies}});
  }
  return list;
}

Json toJson(const ZoneEffect& zone) {
  return {{"zone", zone.zone.value()},
          {"answered", zone.answered},
          {"nodes", zone.nodes},
          {"proxies_to_change", zone.proxies_to_change},
          {"from_versions", versionsToJson(zone.from_versions)},
          {"routes_affected", zone.routes_affected}};
}

Json toJson(const AcceptanceRecord& record) {
  return {{"version", record.version.value()},
          {"base", record.base.value()},
          {"digest", record.digest.empty() ? "" : record.digest.toHex()}};
}

void addEffect(Json& json, const PlanEffect& effect) {
  json["routes"] = changesToJson(effect.diff.routes);
  json["services"] = changesToJson(effect.diff.services);
  json["secrets"] = changesToJson(effect.diff.secrets);
  json["zones"] = Json::array();
  for (const ZoneEffect& zone : effect.zones) {
    json["zones"].push_back(toJson(zone));
  }
  json["estimated_bytes"] = {{"delta_per_node", effect.bytes.delta_per_node},
                             {"record_per_node", effect.bytes.record_per_node},
                             {"total", effect.bytes.total}};
}

Json toJson(const ProxyState& proxy) {
  return {{"node", proxy.node.value()},         {"zone", proxy.zone.value()},
          {"in_force", proxy.in_force.value()}, {"accepted", proxy.accepted.value()},
          {"staged", proxy.staged.value()},     {"last_error", proxy.last_error}};
}

/// Proxy counts of one zone.
struct ZoneCount {
  std::size_t current = 0;  ///< Proxies with the accepted version in force.
  std::size_t behind = 0;
  std::map<Version, std::size_t> versions;
  std::map<std::string, std::size_t> errors;
};

ZoneCount countZone(const ProxyCensus& census, const ZoneId& zone, Version accepted) {
  ZoneCount count;
  for (const ProxyState& proxy : census.proxies) {
    if (proxy.zone != zone) {
      continue;
    }
    ++(proxy.in_force >= accepted ? count.current : count.behind);
    ++count.versions[proxy.in_force];
    if (!proxy.last_error.empty()) {
      ++count.errors[proxy.last_error];
    }
  }
  return count;
}

Json zoneStatus(const membership::ZoneView& zone, const ProxyCensus& census, Version accepted) {
  const ZoneCount count = countZone(census, zone.zone, accepted);
  Json errors = Json::array();
  for (const auto& [text, proxies] : count.errors) {
    errors.push_back({{"error", text}, {"proxies", proxies}});
  }
  return {{"zone", zone.zone.value()},
          {"reachable", zone.reachable},
          {"answered", census.answered.contains(zone.zone)},
          {"nodes", zone.node_count},
          {"proxies_current", count.current},
          {"proxies_behind", count.behind},
          {"versions_in_force", versionsToJson(count.versions)},
          {"errors", std::move(errors)}};
}

/// Whether every node of every zone is known to have the accepted version in force.
bool isConverged(const membership::View& view, const ProxyCensus& census, Version accepted) {
  std::size_t current = 0;
  for (const ProxyState& proxy : census.proxies) {
    if (proxy.in_force < accepted) {
      return false;
    }
    ++current;
  }
  return census.missing.empty() && current >= view.nodeCount();
}

Version newestAccepted(const AdminParts& parts, const ProxyCensus& census) {
  Version newest = parts.replica.record().version;
  for (const ProxyState& proxy : census.proxies) {
    newest = std::max(newest, proxy.accepted);
  }
  return newest;
}

Json sourceStatus(const source::SourceReader& reader) {
  const source::SourceStatistics& statistics = reader.statistics();
  return {{"reading", reader.reading()},
          {"reads", statistics.reads},
          {"failures", statistics.failures},
          {"malformed", statistics.malformed},
          {"stale", statistics.stale}};
}

Json recoveryStatus(const distribution::ReplicaStatistics& statistics) {
  return {{"adopted_after_loss", statistics.adopted_after_loss},
          {"content_rejected", statistics.content_rejected},
          {"repairs", statistics.repairs}};
}

}  // namespace

AdminResponse errorAnswer(const Error& error) {
  return answer(httpStatus(error.kind), {{"error", toJson(error)}});
}

AdminResponse refusalAnswer(const PlanRefusal& refusal) {
  Json mistakes = Json::array();
  for (const model::DocumentMistake& mistake : refusal.mistakes) {
    Json json = toJson(mistake.error);
    json["path"] = mistake.path;
    mistakes.push_back(std::move(json));
  }
  return answer(
      httpStatus(refusal.error.kind),
      {{"error", toJson(refusal.error)}, {"valid", false}, {"mistakes", std::move(mistakes)}});
}

AdminResponse unconfirmedAnswer(const Error& error) {
  const bool unknown = error.kind == ErrorKind::kOutcomeUnknown;
  return answer(httpStatus(error.kind),
                {{"error", toJson(error)}, {"took_effect", unknown ? "unknown" : "no"}});
}

AdminResponse confirmedAnswer(const AcceptanceRecord& record) {
  Json json = toJson(record);
  json["id"] = planIdOf(record).value();
  json["status"] = statusName(PlanStatus::kAccepted);
  json["took_effect"] = "yes";
  return answer(200, json);
}

AdminResponse planAnswer(const Plan& plan, int status) {
  Json json = toJson(plan.proposed);
  json["id"] = planIdOf(plan.proposed).value();
  json["status"] = statusName(plan.status);
  json["accepted_version"] = plan.accepted.version.value();
  json["valid"] = plan.effect.has_value();
  json["missing_dependencies"] = Json::array();
  json["zones_missing"] = zonesToJson(plan.zones_missing);
  json["platform_reached"] = plan.platform_reached;
  if (plan.effect.has_value()) {
    addEffect(json, *plan.effect);
  }
  return answer(status, json);
}

AdminResponse proxiesAnswer(const ProxyCensus& census) {
  Json proxies = Json::array();
  for (const ProxyState& proxy : census.proxies) {
    proxies.push_back(toJson(proxy));
  }
  return answer(200, {{"proxies", std::move(proxies)},
                      {"zones_answered", zonesToJson(census.answered)},
                      {"zones_missing", zonesToJson(census.missing)}});
}

AdminResponse statusAnswer(const AdminParts& parts, const ProxyCensus& census) {
  const membership::View view = parts.view();
  const membership::Roles roles = parts.roles();
  const Version accepted = newestAccepted(parts, census);
  const auto in_force = parts.replica.configurationInForce();
  Json zones = Json::array();
  for (const auto& [id, zone] : view.zones) {
    zones.push_back(zoneStatus(zone, census, accepted));
  }
  return answer(200, {{"node", parts.self.value()},
                      {"zone", parts.zone.value()},
                      {"ready", parts.replica.ready()},
                      {"roles",
                       {{"source_reader", roles.source_reader},
                        {"zone_distributor", roles.zone_distributor},
                        {"voter", roles.voter}}},
                      {"accepted", toJson(parts.replica.record())},
                      {"newest_accepted_seen", accepted.value()},
                      {"in_force", in_force == nullptr ? 0 : in_force->version.value()},
                      {"newest_staged", parts.replica.newestStaged().value()},
                      {"converged", isConverged(view, census, accepted)},
                      {"zones", std::move(zones)},
                      {"zones_missing", zonesToJson(census.missing)},
                      {"source", sourceStatus(parts.reader)},
                      {"recovery", recoveryStatus(parts.replica.statistics())}});
}

}  // namespace coursepond::admin
