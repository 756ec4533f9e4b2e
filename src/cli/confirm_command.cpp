#include "cli/confirm_command.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

#include "cli/api_client.h"
#include "cli/options.h"

namespace coursepond::cli {
namespace {

using Clock = std::chrono::steady_clock;

constexpr char kExamples[] =
    "  coursepond confirm PLAN --wait --node 10.0.0.7:9090 --token-file operator.token\n";
constexpr auto kPollInterval = std::chrono::milliseconds(200);

/// One execution of the command.
class Confirmation {
 public:
  Confirmation(ApiClient client, std::string plan, Streams streams)
      : client_(std::move(client)), target_("/v1/plans/" + std::move(plan)), streams_(streams) {}

  /// Confirms the plan and stores the JSON answer.
  ExitCode confirm() {
    const Result<ApiAnswer> known = client_.get(target_);
    if (!known) return fail(known.error());
    if (const std::optional<Error> refusal = refusalOf(*known)) return fail(*refusal);
    const Result<PlanDocument> plan = parsePlan(known->body);
    if (!plan) return fail(plan.error());
    version_ = plan->version;

    const Result<ApiAnswer> answer = client_.post(target_ + "/confirm", "");
    if (!answer) return fail(lostAnswer(answer.error()));
    if (const std::optional<Error> refusal = refusalOf(*answer)) return fail(*refusal);
    answer_ = answer->body;
    return ExitCode::kOk;
  }

  /// Waits until the version is in force on every proxy, and prints the progress.
  ExitCode wait(Clock::duration limit) {
    const Clock::time_point deadline = Clock::now() + limit;
    while (Clock::now() < deadline) {
      readProgress();
      if (progress_.done) return ExitCode::kOk;
      std::this_thread::sleep_for(kPollInterval);
    }
    streams_.error << "coursepond confirm: accepted, but not in force everywhere in time (remedy: "
                      "see coursepond proxies --behind)\n";
    return ExitCode::kNotConverged;
  }

  Version version() const { return version_; }
  const std::string& answer() const { return answer_; }
  const Progress& progress() const { return progress_; }

 private:
  /// The request may have reached the node, so this checks the plan's status.
  Error lostAnswer(const Error& error) {
    const Result<ApiAnswer> known = client_.get(target_);
    if (known && !refusalOf(*known)) {
      const Result<PlanDocument> plan = parsePlan(known->body);
      if (plan && plan->status == "accepted") {
        return Error{ErrorKind::kOutcomeUnknown,
                     "the answer was lost (" + error.message + "), but the plan is accepted",
                     "confirm it again to see the answer; confirming twice is harmless"};
      }
    }
    return Error{ErrorKind::kOutcomeUnknown, "the answer was lost: " + error.message,
                 "run coursepond status on any node, and confirm the same plan again; confirming "
                 "twice is harmless"};
  }

  /// Ignores a failed poll: polling continues until the deadline.
  void readProgress() {
    const Result<ApiAnswer> answer = client_.get("/v1/status");
    if (!answer || refusalOf(*answer)) return;
    const Result<StatusDocument> status = parseStatus(answer->body);
    if (!status) return;
    Progress now = progressOf(*status, version_);
    if (now.text != progress_.text) streams_.error << now.text << std::endl;
    progress_ = std::move(now);
  }

  ExitCode fail(const Error& error) {
    streams_.error << "coursepond confirm: " << describe(error) << "\n";
    return exitCodeOf(error);
  }

  ApiClient client_;
  std::string target_;
  Streams streams_;
  Version version_;
  std::string answer_;
  Progress progress_;
};

void printResult(const Confirmation& confirmation, bool waited, bool as_json, std::ostream& out) {
  if (!as_json) {
    out << "version " << confirmation.version().value() << " is accepted"
        << (waited && confirmation.progress().done ? " and in force on every proxy" : "") << "\n";
    return;
  }
  nlohmann::json body = nlohmann::json::parse(confirmation.answer(), nullptr, false);
  if (waited && body.is_object()) {
    body["converged"] = confirmation.progress().done;
    body["proxies_current"] = confirmation.progress().current;
    body["proxies_total"] = confirmation.progress().total;
  }
  out << prettyJson(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)) << "\n";
}

ExitCode run(const Arguments& arguments, Streams streams) {
  cxxopts::Options options("coursepond confirm", "Makes a planned version the accepted one");
  addApiOptions(options);
  options.add_options()("wait", "Wait until it is in force on every proxy, and show the progress")(
      "wait-ms", "How long --wait waits", cxxopts::value<std::uint32_t>()->default_value("60000"),
      "MS")("plan", "The plan's id", cxxopts::value<std::string>(), "PLAN");
  options.parse_positional({"plan"});
  options.positional_help("PLAN");
  const cxxopts::ParseResult parsed = parseArguments(options, arguments);
  if (helpWasPrinted(parsed, options, kExamples, streams.out)) return ExitCode::kOk;
  if (parsed.count("plan") == 0) {
    streams.error
        << "coursepond confirm: no plan is specified (remedy: coursepond plan returns one)\n";
    return ExitCode::kUsage;
  }
  Result<ApiClient> client = makeApiClient(parsed);
  if (!client) {
    streams.error << "coursepond confirm: " << describe(client.error()) << "\n";
    return ExitCode::kUsage;
  }
  Confirmation confirmation(std::move(*client), parsed["plan"].as<std::string>(), streams);
  ExitCode outcome = confirmation.confirm();
  if (outcome != ExitCode::kOk) return outcome;
  const bool waits = parsed.count("wait") > 0;
  if (waits) {
    outcome = confirmation.wait(std::chrono::milliseconds(parsed["wait-ms"].as<std::uint32_t>()));
  }
  printResult(confirmation, waits, parsed.count("json") > 0, streams.out);
  return outcome;
}

}  // namespace

Progress progressOf(const StatusDocument& status, Version version) {
  Progress progress;
  std::string behind;
  const bool known = status.accepted >= version;
  for (const StatusZone& zone : status.zones) {
    const std::uint64_t current = known ? zone.current : 0;
    const std::uint64_t total = std::max(zone.nodes, zone.current + zone.behind);
    progress.current += current;
    progress.total += total;
    if (current < total) {
      behind += ", zone " + zone.zone.value() + " " + std::to_string(total - current) + " behind";
    }
  }
  progress.done = known && status.converged;
  progress.text =
      std::to_string(progress.current) + "/" + std::to_string(progress.total) + " proxies" + behind;
  return progress;
}

Command confirmCommand() {
  return Command{"confirm", "Makes a planned version the accepted one", kExamples, run};
}

}  // namespace coursepond::cli
