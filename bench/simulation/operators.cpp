#include "operators.h"

#include <nlohmann/json.hpp>
#include <set>

#include "model/document.h"

namespace coursepond::simulation {
namespace {

using Json = nlohmann::json;

constexpr Duration kOperatorLatency = std::chrono::milliseconds(1);
constexpr Duration kOperatorTimeout = std::chrono::seconds(12);
/// Racing operators begin at multiples of this interval, plus a random delay of at most the spread.
constexpr Duration kRaceInterval = std::chrono::milliseconds(500);
constexpr Duration kRaceSpread = std::chrono::milliseconds(4);
constexpr Duration kLongestThinkTime = std::chrono::milliseconds(300);
/// Probability that a plan uses the version before the newest one.
constexpr double kOlderPlanProbability = 0.15;

Json bodyOf(const admin::AdminResponse& response) {
  return Json::parse(response.json_body, nullptr, false);
}

std::string errorKind(const admin::AdminResponse& response) {
  const Json body = bodyOf(response);
  if (!body.is_object() || !body.contains("error")) return {};
  return body["error"].value("kind", "");
}

/// Returns "yes", "no" or "unknown", or an empty string if the body is not a confirmation answer.
std::string tookEffect(const admin::AdminResponse& response) {
  const Json body = bodyOf(response);
  return body.is_object() ? body.value("took_effect", "") : std::string();
}

/// Returns the version that the accepted one replaced, if the answer names it.
std::optional<Version> baseOf(const admin::AdminResponse& response) {
  const Json body = bodyOf(response);
  if (!body.is_object() || !body.contains("base")) return std::nullopt;
  return Version(body["base"].get<std::uint64_t>());
}

}  // namespace

Operators::Operators(VirtualTime& time, Mesh& mesh, PlatformModel& platform,
                     ConfigurationChecks& checks, Trace& trace, const Deployment& deployment,
                     std::uint64_t seed, Guard without)
    : time_(time),
      mesh_(mesh),
      platform_(platform),
      checks_(checks),
      trace_(trace),
      deployment_(deployment),
      random_(seed),
      without_(without) {}

Version Operators::publish() {
  published_ = published_.next();
  const std::string text = documentText(deployment_, published_);
  checks_.onPublished(*model::parseDocument(text));
  platform_.publish(published_, text);
  return published_;
}

void Operators::publishBroken() {
  published_ = published_.next();
  platform_.publish(published_, brokenDocumentText(deployment_, published_));
}

void Operators::start(const OperatorSettings& settings, Duration end) {
  settings_ = settings;
  end_ = end;
  for (std::uint32_t index = 0; index < settings_.operators; ++index) beginRound();
}

void Operators::beginRound() {
  time_.schedule(untilNextRound(), [this] {
    if (time_.elapsed() >= end_) return;
    if (random_.chance(settings_.publishes)) publish();
    const bool older = published_ > Version(1) && random_.chance(kOlderPlanProbability);
    const Version version = older ? Version(published_.value() - 1) : published_;
    plan(random_.below(mesh_.machineCount()), version);
    beginRound();
  });
}

Duration Operators::untilNextRound() {
  const Duration pause = random_.between(settings_.shortest_interval, settings_.longest_interval);
  if (!settings_.race) return pause;
  const Duration next = time_.elapsed() + pause;
  return pause + kRaceInterval - next % kRaceInterval + random_.between(Duration(0), kRaceSpread);
}

void Operators::checkMajorityHolds(Version version) {
  if (mesh_.sinceLastDeath() < kOperatorTimeout) return;
  std::set<ZoneId> zones;
  for (NodeProcess* process : mesh_.processes()) {
    if (process->control().replica().record().version >= version) {
      zones.insert(process->identity().zone);
    }
  }
  if (2 * zones.size() > deployment_.zones.size()) return;
  checks_.onAcceptedWithoutMajority(version, zones.size());
}

void Operators::plan(std::size_t machine, Version version) {
  ++statistics_.plans;
  const admin::AdminRequest request{"POST", "/v1/plans", kOperatorToken,
                                    Json({{"version", version.value()}}).dump()};
  call(machine, request, [this, machine, version](const admin::AdminResponse* response) {
    if (response == nullptr || response->status / 100 != 2) {
      ++statistics_.plans_refused;
      return;
    }
    const Plan plan{bodyOf(*response).at("id").get<std::string>(), version};
    const Duration think_time = settings_.race ? kRaceSpread : kLongestThinkTime;
    time_.schedule(random_.between(Duration(0), think_time),
                   [this, machine, plan] { confirm(machine, plan); });
  });
}

void Operators::confirm(std::size_t machine, const Plan& plan) {
  const ConfirmationNumber confirmation = checks_.onConfirmSent(plan.version);
  const admin::AdminRequest request{"POST", "/v1/plans/" + plan.id + "/confirm", kOperatorToken,
                                    ""};
  call(machine, request, [this, confirmation, plan](const admin::AdminResponse* response) {
    onConfirmAnswer(confirmation, plan, response);
  });
}

void Operators::onConfirmAnswer(ConfirmationNumber confirmation, const Plan& plan,
                                const admin::AdminResponse* response) {
  const ConfirmationOutcome outcome = outcomeOf(response);
  const std::string answer = response == nullptr
                                 ? "no answer"
                                 : std::to_string(response->status) + " " + errorKind(*response);
  trace_.note(time_.elapsed(), "operator",
              "confirmed version " + std::to_string(plan.version.value()) + ": " + answer);
  if (outcome == ConfirmationOutcome::kAccepted) {
    ++statistics_.accepted;
    checkMajorityHolds(plan.version);
  }
  if (outcome == ConfirmationOutcome::kRefused) ++statistics_.refused;
  if (outcome == ConfirmationOutcome::kUnknown) ++statistics_.unknown;
  checks_.onConfirmationAnswered(confirmation, outcome,
                                 response == nullptr ? std::nullopt : baseOf(*response));
}

ConfirmationOutcome Operators::outcomeOf(const admin::AdminResponse* response) const {
  if (response == nullptr) return ConfirmationOutcome::kUnknown;
  const std::string effect = tookEffect(*response);
  const bool accepted = effect == "yes";
  if (accepted && without_ == Guard::kTruthfulRefusal) return ConfirmationOutcome::kRefused;
  if (errorKind(*response) == "no_quorum" && without_ == Guard::kMajority)
    return ConfirmationOutcome::kAccepted;
  if (accepted) return ConfirmationOutcome::kAccepted;
  return effect == "unknown" ? ConfirmationOutcome::kUnknown : ConfirmationOutcome::kRefused;
}

void Operators::call(std::size_t machine, admin::AdminRequest request,
                     const std::function<void(const admin::AdminResponse*)>& callback) {
  NodeProcess* process = mesh_.process(machine);
  if (process == nullptr) return callback(nullptr);
  auto answered = std::make_shared<bool>(false);
  auto answer = [answered, callback](const admin::AdminResponse* response) {
    if (std::exchange(*answered, true)) return;
    callback(response);
  };
  time_.schedule(kOperatorTimeout, [answer] { answer(nullptr); });
  auto on_response = [this, answer](const admin::AdminResponse& response) {
    time_.schedule(kOperatorLatency, [answer, response] { answer(&response); });
  };
  auto arrive = [process, request = std::move(request), on_response] {
    process->control().api().handle(request, on_response);
  };
  time_.schedule(kOperatorLatency,
                 [mailbox = process->mailbox(), arrive] { mailbox.deliver(arrive); });
}

}  // namespace coursepond::simulation
