#include "source/shared_state.h"

#include <nlohmann/json.hpp>

#include "model/document.h"

namespace coursepond::source {
namespace {

using Json = nlohmann::json;

Json serverToJson(const model::ServerEntry& server) {
  return {{"id", server.id.value()},
          {"service", server.service.value()},
          {"address", formatAddress(server.address)},
          {"zone", server.zone.value()},
          {"slots", server.slots},
          {"leaving", server.state == model::MachineState::kLeaving},
          {"revision", server.revision.value()}};
}

/// Throws what nlohmann throws, or std::system_error for an address that is none.
model::ServerEntry serverFromJson(const Json& json) {
  model::ServerEntry server;
  server.id = EndpointId(json.at("id").get<std::string>());
  server.service = ServiceName(json.at("service").get<std::string>());
  server.address = parseAddress(json.at("address").get<std::string>()).value();
  server.zone = ZoneId(json.at("zone").get<std::string>());
  server.slots = json.at("slots").get<std::uint32_t>();
  const bool is_leaving = json.at("leaving").get<bool>();
  server.state = is_leaving ? model::MachineState::kLeaving : model::MachineState::kLive;
  server.revision = Generation(json.at("revision").get<std::uint64_t>());
  return server;
}

Error malformed(const std::string& what) {
  return Error{ErrorKind::kMalformed, "a peer's state cannot be read: " + what,
               "run the same version of coursepond on all machines"};
}

}  // namespace

std::string encodeSharedState(const SharedState& state) {
  Json servers = Json::array();
  for (const model::ServerEntry& server : state.servers) servers.push_back(serverToJson(server));
  const Json json = {{"revision", state.revision.value()},
                     {"version", state.configuration.version.value()},
                     {"configuration", model::canonicalText(state.configuration)},
                     {"servers", std::move(servers)}};
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

Result<SharedState> decodeSharedState(std::string_view bytes) {
  try {
    const Json json = Json::from_cbor(bytes);
    SharedState state;
    state.revision = Generation(json.at("revision").get<std::uint64_t>());
    const Version version(json.at("version").get<std::uint64_t>());
    Result<model::Configuration> configuration =
        model::parseCanonical(version, json.at("configuration").get<std::string>());
    if (!configuration) return configuration.error();
    state.configuration = std::move(*configuration);
    for (const Json& server : json.at("servers")) state.servers.push_back(serverFromJson(server));
    return state;
  } catch (const Json::exception& error) {
    return malformed(error.what());
  } catch (const std::system_error& error) {
    return malformed(error.what());
  }
}

}  // namespace coursepond::source
