#include "platform.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "core/digest.h"

namespace coursepond::standin {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kServerError = 500;
constexpr std::size_t kEntityTagDigits = 16;
constexpr std::string_view kConfigurationsPath = "/v1/configurations";
constexpr std::string_view kControlConfigurationsPath = "/control/configurations/";

struct FaultName {
  std::string_view name;
  PlatformFault fault;
};

constexpr std::array kFaultNames{
    FaultName{"none", PlatformFault::kNone},
    FaultName{"stale", PlatformFault::kStale},
    FaultName{"regressing", PlatformFault::kRegressing},
    FaultName{"refuse", PlatformFault::kRefuse},
    FaultName{"hang", PlatformFault::kHang},
    FaultName{"error", PlatformFault::kError},
    FaultName{"truncated", PlatformFault::kTruncated},
    FaultName{"cut", PlatformFault::kCut},
    FaultName{"invalid_version", PlatformFault::kInvalidVersion},
};

std::string_view stateName(MachineState state) {
  switch (state) {
    case MachineState::kLive:
      return "live";
    case MachineState::kLeaving:
      return "leaving";
    case MachineState::kGone:
      return "gone";
  }
  return "gone";
}

Error malformed(std::string message) {
  return {ErrorKind::kMalformed, std::move(message),
          "see docs/operators/RUNNING.md for the control endpoints"};
}

HttpReply errorReply(int status, const Error& error) {
  return jsonReply(
      status,
      json{{"kind", kindName(error.kind)}, {"message", error.message}, {"remedy", error.remedy}}
          .dump());
}

std::optional<Version> parseVersion(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return Version(value);
}

json parseObject(std::string_view text) {
  json parsed = json::parse(text, nullptr, false);
  return parsed.is_object() ? parsed : json::object();
}

Result<Machine> parseMachine(const json& item, bool backend) {
  if (!item.is_object()) return malformed("a machine is not an object");
  Machine machine;
  const auto read = [&](const char* key) { return item.value(key, std::string()); };
  try {
    machine = {read("id"), backend ? read("service") : "", read("zone"), read("address")};
    const auto state = parseMachineState(item.value("state", std::string("live")));
    if (!state) return malformed("the state of machine '" + machine.id + "' is unknown");
    machine.state = *state;
  } catch (const json::exception& error) {
    return malformed(std::string("a machine is malformed: ") + error.what());
  }
  if (machine.id.empty() || machine.address.empty()) {
    return malformed("a machine has no id or no address");
  }
  if (backend && machine.service.empty()) {
    return malformed("back end '" + machine.id + "' has no service");
  }
  return machine;
}

std::string machinesText(const MachineList& list) {
  json nodes = json::array();
  json backends = json::array();
  for (const Machine& machine : list.machines) {
    json item{{"id", machine.id},
              {"zone", machine.zone},
              {"address", machine.address},
              {"state", stateName(machine.state)}};
    if (machine.service.empty()) {
      nodes.push_back(std::move(item));
    } else {
      item["service"] = machine.service;
      backends.push_back(std::move(item));
    }
  }
  return json{{"generation", list.generation.value()},
              {"nodes", std::move(nodes)},
              {"backends", std::move(backends)}}
      .dump();
}

}  // namespace

std::optional<PlatformFault> parsePlatformFault(std::string_view name) {
  const auto found = std::find_if(kFaultNames.begin(), kFaultNames.end(),
                                  [&](const FaultName& entry) { return entry.name == name; });
  if (found == kFaultNames.end()) return std::nullopt;
  return found->fault;
}

std::optional<MachineState> parseMachineState(std::string_view name) {
  for (const MachineState state :
       {MachineState::kLive, MachineState::kLeaving, MachineState::kGone}) {
    if (stateName(state) == name) return state;
  }
  return std::nullopt;
}

Result<MachineList> parseMachineList(std::string_view text) {
  const json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object()) return malformed("the machine list is not a JSON object");
  MachineList list;
  if (parsed.contains("generation") && parsed["generation"].is_number_unsigned()) {
    list.generation = Generation(parsed["generation"].get<std::uint64_t>());
  }
  for (const char* kind : {"nodes", "backends"}) {
    for (const json& item : parsed.value(kind, json::array())) {
      const Result<Machine> machine = parseMachine(item, std::string_view(kind) == "backends");
      if (!machine) return machine.error();
      list.machines.push_back(*machine);
    }
  }
  return list;
}

void Platform::addConfiguration(Version version, std::string document) {
  documents_[version] = std::move(document);
}

Result<Version> Platform::publish(Version version) {
  if (!documents_.contains(version)) {
    return Error{ErrorKind::kNotFound,
                 "no configuration with version " + std::to_string(version.value()),
                 "add it with POST /control/configurations/{version}"};
  }
  published_.newest = version;
  return version;
}

void Platform::replaceMachines(MachineList list) {
  list.generation = std::max(list.generation, published_.machines.generation.next());
  published_.machines = std::move(list);
}

Result<Generation> Platform::setMachineState(std::string_view id, MachineState state) {
  std::vector<Machine>& machines = published_.machines.machines;
  const auto found = std::find_if(machines.begin(), machines.end(),
                                  [&](const Machine& machine) { return machine.id == id; });
  if (found == machines.end()) {
    return Error{ErrorKind::kNotFound, "machine '" + std::string(id) + "' does not exist",
                 "see /v1/machines for the ids"};
  }
  if (state == MachineState::kGone) {
    machines.erase(found);
  } else {
    found->state = state;
  }
  published_.machines.generation = published_.machines.generation.next();
  return published_.machines.generation;
}

void Platform::upsertMachine(Machine machine) {
  std::vector<Machine>& machines = published_.machines.machines;
  const auto found = std::find_if(machines.begin(), machines.end(),
                                  [&](const Machine& other) { return other.id == machine.id; });
  if (found == machines.end()) {
    machines.push_back(std::move(machine));
  } else {
    *found = std::move(machine);
  }
  published_.machines.generation = published_.machines.generation.next();
}

void Platform::setFault(PlatformFault fault, Duration delay) {
  fault_ = fault;
  delay_ = delay;
  state_at_fault_ = published_;
}

const Platform::PublishedState& Platform::visibleState() const {
  return fault_ == PlatformFault::kStale ? state_at_fault_ : published_;
}

PlatformReply Platform::handle(const HttpRequest& request) {
  if (request.path.starts_with("/control/")) {
    PlatformReply result;
    try {
      result.reply = handleControl(request);
    } catch (const json::exception& error) {
      result.reply = errorReply(kBadRequest, malformed(error.what()));
    }
    return result;
  }
  return applyFault(handleRead(request));
}

PlatformReply Platform::applyFault(HttpReply reply) {
  PlatformReply result;
  result.delay = delay_;
  switch (fault_) {
    case PlatformFault::kRefuse:
      result.delivery = PlatformReply::Delivery::kAbort;
      break;
    case PlatformFault::kHang:
      result.delivery = PlatformReply::Delivery::kHang;
      break;
    case PlatformFault::kError:
      reply = jsonReply(kServerError, "{}");
      break;
    case PlatformFault::kTruncated:
      reply.body.resize(reply.body.size() / 2);
      break;
    case PlatformFault::kCut:
      reply.fault = BodyFault::kCut;
      reply.fault_after = reply.body.size() / 2;
      break;
    case PlatformFault::kNone:
    case PlatformFault::kStale:
    case PlatformFault::kRegressing:
    case PlatformFault::kInvalidVersion:
      break;
  }
  const bool answers_correctly = fault_ == PlatformFault::kNone || fault_ == PlatformFault::kStale;
  if (!answers_correctly) ++statistics_.failed;
  result.reply = std::move(reply);
  return result;
}

std::string Platform::newestText() const {
  if (fault_ == PlatformFault::kInvalidVersion) return json{{"newest", "seven"}}.dump();
  std::uint64_t newest = visibleState().newest.value();
  if (fault_ == PlatformFault::kRegressing && newest > 1) --newest;
  return json{{"newest", newest}}.dump();
}

HttpReply Platform::handleRead(const HttpRequest& request) {
  if (request.method != "GET") {
    return errorReply(kMethodNotAllowed, {ErrorKind::kInvalidArgument,
                                          "the platform service is read-only", "use GET"});
  }
  if (request.path == kConfigurationsPath) {
    ++statistics_.newest_reads;
    return conditionalReply(request, newestText());
  }
  if (request.path == "/v1/machines") {
    ++statistics_.machine_reads;
    MachineList list = visibleState().machines;
    if (fault_ == PlatformFault::kRegressing && list.generation.value() > 1) {
      list.generation = Generation(list.generation.value() - 1);
    }
    return conditionalReply(request, machinesText(list));
  }
  const std::string prefix = std::string(kConfigurationsPath) + "/";
  if (request.path.starts_with(prefix)) {
    ++statistics_.configuration_reads;
    const auto version = parseVersion(request.path.substr(prefix.size()));
    if (version && *version <= visibleState().newest && documents_.contains(*version)) {
      return conditionalReply(request, documents_.at(*version));
    }
  }
  return errorReply(kNotFound, {ErrorKind::kNotFound, "unknown path " + request.path,
                                "see /v1/configurations for the newest version"});
}

HttpReply Platform::conditionalReply(const HttpRequest& request, std::string body) {
  const std::string tag = '"' + Digest::of(body).toHex().substr(0, kEntityTagDigits) + '"';
  HttpReply reply = jsonReply(kOk, std::move(body));
  if (request.header("If-None-Match") == tag) {
    ++statistics_.not_modified;
    reply.status = kNotModified;
    reply.body.clear();
  }
  reply.headers.push_back({"ETag", tag});
  return reply;
}

HttpReply Platform::handleControl(const HttpRequest& request) {
  if (request.path == "/control/statistics") return jsonReply(kOk, statisticsText());
  if (request.path == "/control/publish") return controlPublish(request);
  if (request.path == "/control/fault") return controlFault(request);
  if (request.path.starts_with("/control/machines")) return controlMachines(request);
  if (request.path.starts_with(kControlConfigurationsPath)) {
    const auto version = parseVersion(request.path.substr(kControlConfigurationsPath.size()));
    if (!version) return errorReply(kBadRequest, malformed("the version is not a number"));
    addConfiguration(*version, request.body);
    return jsonReply(kOk, "{}");
  }
  return errorReply(kNotFound, malformed("unknown control endpoint " + request.path));
}

HttpReply Platform::controlPublish(const HttpRequest& request) {
  const json body = parseObject(request.body);
  if (!body.contains("version") || !body["version"].is_number_unsigned()) {
    return errorReply(kBadRequest, malformed("the body of publish must be {\"version\": N}"));
  }
  const Result<Version> version = publish(Version(body["version"].get<std::uint64_t>()));
  if (!version) return errorReply(kNotFound, version.error());
  return jsonReply(kOk, json{{"newest", version->value()}}.dump());
}

HttpReply Platform::controlMachines(const HttpRequest& request) {
  if (request.path == "/control/machines/state") {
    const json body = parseObject(request.body);
    const auto state = parseMachineState(body.value("state", std::string()));
    if (!state)
      return errorReply(kBadRequest, malformed("the state must be live, leaving or gone"));
    const Result<Generation> changed = setMachineState(body.value("id", std::string()), *state);
    if (!changed) return errorReply(kNotFound, changed.error());
  } else {
    const Result<MachineList> list = parseMachineList(request.body);
    if (!list) return errorReply(kBadRequest, list.error());
    if (request.path == "/control/machines/upsert") {
      for (const Machine& machine : list->machines) upsertMachine(machine);
    } else {
      replaceMachines(*list);
    }
  }
  return jsonReply(kOk, json{{"generation", generation().value()}}.dump());
}

HttpReply Platform::controlFault(const HttpRequest& request) {
  const json body = parseObject(request.body);
  const auto fault = parsePlatformFault(body.value("mode", std::string("none")));
  if (!fault) return errorReply(kBadRequest, malformed("unknown fault mode"));
  setFault(*fault, std::chrono::milliseconds(body.value("delay_ms", 0)));
  return jsonReply(kOk, "{}");
}

std::string Platform::statisticsText() const {
  return json{{"newest_reads", statistics_.newest_reads},
              {"configuration_reads", statistics_.configuration_reads},
              {"machine_reads", statistics_.machine_reads},
              {"not_modified", statistics_.not_modified},
              {"failed", statistics_.failed},
              {"newest", newest().value()},
              {"generation", generation().value()}}
      .dump();
}

}  // namespace coursepond::standin
