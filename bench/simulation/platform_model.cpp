#include "platform_model.h"

#include <nlohmann/json.hpp>

#include "core/digest.h"

namespace coursepond::simulation {
namespace {

using Json = nlohmann::json;

constexpr Duration kShortestRead = std::chrono::milliseconds(2);
constexpr Duration kLongestRead = std::chrono::milliseconds(8);
/// Lag of a stale platform.
constexpr Duration kStaleness = std::chrono::seconds(20);

Error unavailable() {
  return Error{ErrorKind::kUnavailable, "the platform does not answer", "wait"};
}

const char* stateName(model::MachineState state) {
  return state == model::MachineState::kLive ? "live" : "leaving";
}

Json nodeJson(const model::ListedNode& node) {
  return {{"id", node.id.value()},
          {"zone", node.zone.value()},
          {"address", formatAddress(node.peer_address)},
          {"state", stateName(node.state)}};
}

Json backendJson(const ListedBackend& backend) {
  return {{"id", backend.endpoint.id.value()},
          {"service", backend.service.value()},
          {"zone", backend.endpoint.zone.value()},
          {"address", formatAddress(backend.endpoint.address)},
          {"state", stateName(backend.endpoint.state)}};
}

}  // namespace

class PlatformModel::Client final : public source::PlatformClient {
 public:
  Client(PlatformModel& platform, NodeId reader, ProcessEnvironment& environment)
      : platform_(platform), reader_(std::move(reader)), environment_(environment) {}

  void readNewest(const std::string& entity_tag, source::PlatformCallback callback) override {
    platform_.read(
        reader_, environment_, entity_tag, [this] { return platform_.newestText(); },
        std::move(callback));
  }
  void readConfiguration(Version version, source::PlatformCallback callback) override {
    platform_.read(
        reader_, environment_, "", [this, version] { return platform_.configurationText(version); },
        std::move(callback));
  }
  void readMachines(const std::string& entity_tag, source::PlatformCallback callback) override {
    platform_.read(
        reader_, environment_, entity_tag, [this] { return platform_.machinesText(); },
        std::move(callback));
  }

 private:
  PlatformModel& platform_;
  NodeId reader_;
  ProcessEnvironment& environment_;
};

void PlatformModel::publish(Version version, std::string document) {
  documents_[version] = std::move(document);
  newest_ = std::max(newest_, version);
}

void PlatformModel::setMachines(const std::vector<model::ListedNode>& nodes,
                                const std::vector<ListedBackend>& backends) {
  generation_ = generation_.next();
  Json json = {
      {"generation", generation_.value()}, {"nodes", Json::array()}, {"backends", Json::array()}};
  for (const model::ListedNode& node : nodes) json["nodes"].push_back(nodeJson(node));
  for (const ListedBackend& backend : backends) json["backends"].push_back(backendJson(backend));
  const bool first = lists_.empty();
  lists_.push_back({first ? TimePoint() : time_.now(), json.dump()});
  constexpr std::size_t kListsKept = 256;
  if (lists_.size() > kListsKept) lists_.pop_front();
}

void PlatformModel::setCondition(PlatformCondition condition) {
  condition_ = condition;
  // A stale platform still answers with at least version 1: stale data was published once.
  stale_newest_ = Version(newest_.value() > 1 ? newest_.value() - 1 : newest_.value());
}

std::unique_ptr<source::PlatformClient> PlatformModel::makeClient(const NodeId& reader,
                                                                  ProcessEnvironment& environment) {
  return std::make_unique<Client>(*this, reader, environment);
}

void PlatformModel::read(const NodeId& reader, ProcessEnvironment& environment,
                         const std::string& entity_tag,
                         const std::function<Result<std::string>()>& body,
                         source::PlatformCallback callback) {
  if (on_read_) on_read_(reader);
  if (condition_ == PlatformCondition::kSilent) return;
  auto deliver = [answer = answer(entity_tag, body()), callback = std::move(callback)] {
    callback(answer);
  };
  time_.schedule(random_.between(kShortestRead, kLongestRead),
                 environment.guarded(std::move(deliver)));
}

Result<source::PlatformAnswer> PlatformModel::answer(const std::string& entity_tag,
                                                     const Result<std::string>& body) const {
  if (condition_ == PlatformCondition::kDown) return unavailable();
  if (!body.has_value()) return body.error();
  source::PlatformAnswer answer;
  answer.entity_tag = Digest::of(*body).toHex();
  answer.not_modified = answer.entity_tag == entity_tag;
  if (answer.not_modified) return answer;
  const bool cut = condition_ == PlatformCondition::kMalformed;
  answer.body = cut ? body->substr(0, body->size() / 2) : *body;
  return answer;
}

Result<std::string> PlatformModel::newestText() const {
  const Version shown = condition_ == PlatformCondition::kStale ? stale_newest_ : newest_;
  return Json({{"newest", shown.value()}}).dump();
}

Result<std::string> PlatformModel::configurationText(Version version) const {
  const auto found = documents_.find(version);
  const bool hidden = condition_ == PlatformCondition::kStale && version > stale_newest_;
  if (found == documents_.end() || hidden) {
    return Error{ErrorKind::kNotFound, "no such version", "read a published one"};
  }
  return found->second;
}

Result<std::string> PlatformModel::machinesText() const {
  const Duration lag =
      condition_ == PlatformCondition::kStale ? std::max(kStaleness, machine_lag_) : machine_lag_;
  const DatedList* shown = &lists_.front();
  for (const DatedList& list : lists_) {
    if (list.since <= time_.now() - lag) shown = &list;
  }
  return shown->text;
}

}  // namespace coursepond::simulation
