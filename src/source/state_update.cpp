#include "source/state_update.h"

#include <nlohmann/json.hpp>

#include "distribution/compression.h"
#include "model/document.h"

namespace coursepond::source {
namespace {

using Json = nlohmann::json;

/// Upper bound for the decompressed size: 40 times the configuration of 280 services and their
/// routes.
constexpr std::size_t kMaxStateBytes = std::size_t{32} * 1024 * 1024;

Json serverToJson(const model::ServerEntry& server) {
  return {{"id", server.id.value()},
          {"service", server.service.value()},
          {"address", formatAddress(server.address)},
          {"zone", server.zone.value()},
          {"slots", server.slots},
          {"leaving", server.state == model::MachineState::kLeaving},
          {"started_ms", server.started_ms},
          {"warm_up_left_ms", toMilliseconds(server.remaining_warm_up)},
          {"revision", server.revision.number.value()}};
}

/// `era`: the era of the whole update. Throws the exceptions of nlohmann::json, or
/// std::system_error for an invalid address.
model::ServerEntry serverFromJson(const Json& json, Era era) {
  model::ServerEntry server;
  server.id = EndpointId(json.at("id").get<std::string>());
  server.service = ServiceName(json.at("service").get<std::string>());
  server.address = parseAddress(json.at("address").get<std::string>()).value();
  server.zone = ZoneId(json.at("zone").get<std::string>());
  server.slots = json.at("slots").get<std::uint32_t>();
  const bool is_leaving = json.at("leaving").get<bool>();
  server.state = is_leaving ? model::MachineState::kLeaving : model::MachineState::kLive;
  server.started_ms = json.at("started_ms").get<std::uint64_t>();
  server.remaining_warm_up =
      std::chrono::milliseconds(json.at("warm_up_left_ms").get<std::chrono::milliseconds::rep>());
  server.revision = {era, Generation(json.at("revision").get<std::uint64_t>())};
  return server;
}

Error malformed(const std::string& what) {
  return Error{ErrorKind::kMalformed, "a peer's state cannot be read: " + what,
               "run the same version of coursepond on all machines"};
}

/// Throws like serverFromJson, or std::system_error for an invalid configuration.
void readConfiguration(const Json& json, StateUpdate& update) {
  if (const auto whole = json.find("configuration"); whole != json.end()) {
    const Version version(json.at("version").get<std::uint64_t>());
    update.configuration = std::make_shared<const model::Configuration>(
        model::parseCanonical(version, whole->get_ref<const std::string&>()).value());
  } else if (const auto delta = json.find("delta"); delta != json.end()) {
    update.delta = model::deltaFromText(delta->get_ref<const std::string&>()).value();
  }
}

Result<StateUpdate> fromJson(const Json& json) {
  StateUpdate update;
  const Era era(json.value("era", std::uint64_t{0}));
  update.revision = {era, Generation(json.at("revision").get<std::uint64_t>())};
  update.is_complete = json.at("complete").get<bool>();
  for (const Json& server : json.at("servers")) {
    update.servers.push_back(serverFromJson(server, era));
  }
  for (const Json& id : json.at("removed")) {
    update.removed_servers.emplace_back(id.get<std::string>());
  }
  if (const auto zones = json.find("drained_zones"); zones != json.end()) {
    update.drained_zones.emplace();
    for (const Json& zone : *zones) update.drained_zones->emplace_back(zone.get<std::string>());
  }
  readConfiguration(json, update);
  return update;
}

}  // namespace

std::string encodeStateUpdate(const StateUpdate& update) {
  Json servers = Json::array();
  for (const model::ServerEntry& server : update.servers) servers.push_back(serverToJson(server));
  Json removed = Json::array();
  for (const EndpointId& id : update.removed_servers) removed.push_back(id.value());
  Json json = {{"era", update.revision.era.value()},
               {"revision", update.revision.number.value()},
               {"complete", update.is_complete},
               {"servers", std::move(servers)},
               {"removed", std::move(removed)}};
  if (update.drained_zones) {
    Json zones = Json::array();
    for (const ZoneId& zone : *update.drained_zones) zones.push_back(zone.value());
    json["drained_zones"] = std::move(zones);
  }
  if (update.configuration) {
    json["version"] = update.configuration->version.value();
    json["configuration"] = model::canonicalText(*update.configuration);
  } else if (update.delta) {
    json["delta"] = model::deltaToText(*update.delta);
  }
  std::string bytes;
  Json::to_cbor(json, bytes);
  return distribution::compressText(bytes);
}

Result<StateUpdate> decodeStateUpdate(std::string_view bytes) {
  const Result<std::string> text = distribution::decompressText(bytes, kMaxStateBytes);
  if (!text) return text.error();
  try {
    return fromJson(Json::from_cbor(*text));
  } catch (const Json::exception& error) {
    return malformed(error.what());
  } catch (const std::system_error& error) {
    return malformed(error.what());
  }
}

Result<WatchBatch> toBatch(StateUpdate update, const model::Configuration* held) {
  WatchBatch batch;
  batch.revision = update.revision;
  batch.is_complete = update.is_complete;
  batch.age = update.age;
  batch.servers = std::move(update.servers);
  batch.removed_servers = std::move(update.removed_servers);
  if (update.drained_zones) {
    batch.lists_zones = true;
    for (ZoneId& zone : *update.drained_zones) {
      batch.zone_changes.push_back({std::move(zone), true, SourceRevision()});
    }
  }
  if (update.configuration) {
    batch.configurations.push_back(std::move(update.configuration));
  } else if (update.delta) {
    if (held == nullptr) {
      return Error{ErrorKind::kBaseMismatch, "a peer sent a delta, but no configuration is held",
                   "ask for the whole configuration"};
    }
    Result<model::Configuration> target =
        model::applyDelta(*held, *update.delta, model::DeltaCheck::kVersions);
    if (!target) return target.error();
    batch.configurations.push_back(
        std::make_shared<const model::Configuration>(std::move(*target)));
  }
  return batch;
}

}  // namespace coursepond::source
