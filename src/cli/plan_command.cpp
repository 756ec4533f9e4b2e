#include "cli/plan_command.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "cli/api_client.h"
#include "cli/options.h"
#include "node/text_table.h"

namespace coursepond::cli {
namespace {

constexpr char kExamples[] =
    "  coursepond plan --version newest --node 10.0.0.7:9090 --token-file operator.token\n"
    "  COURSEPOND_TOKEN=... coursepond plan --version 12 --node 10.0.0.7:9090 --json\n";
constexpr char kNewest[] = "newest";

std::string joined(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) text += (text.empty() ? "" : ", ") + name;
  return text.empty() ? "-" : text;
}

std::string formatVersions(const std::vector<VersionCount>& versions) {
  std::string text;
  for (const VersionCount& entry : versions) {
    const std::string version =
        entry.version == Version() ? "none" : std::to_string(entry.version.value());
    text += (text.empty() ? "" : ", ") + version + " (" + std::to_string(entry.proxies) + ")";
  }
  return text.empty() ? "-" : text;
}

std::string renderChanges(const PlanDocument& plan) {
  node::TextTable table({"", "ADDED", "CHANGED", "REMOVED"});
  const auto add = [&table](const char* kind, const ChangeDocument& changes) {
    table.addRow({kind, joined(changes.added), joined(changes.changed), joined(changes.removed)});
  };
  add("routes", plan.routes);
  add("services", plan.services);
  add("secrets", plan.secrets);
  return table.render();
}

std::string renderZones(const PlanDocument& plan) {
  node::TextTable table(
      {"ZONE", "NODES", "PROXIES TO CHANGE", "FROM VERSION (PROXIES)", "ROUTES AFFECTED"});
  for (const PlanZone& zone : plan.zones) {
    const std::string to_change =
        zone.answered ? std::to_string(zone.proxies_to_change) : "not answered";
    table.addRow({zone.zone.value(), std::to_string(zone.nodes), to_change,
                  formatVersions(zone.from_versions), std::to_string(zone.routes_affected)});
  }
  return table.render();
}

std::string renderBytes(const PlanDocument& plan) {
  return "estimated bytes: " + std::to_string(plan.bytes_per_node_staged) + " per node to stage, " +
         std::to_string(plan.bytes_per_node_confirmed) + " per node to confirm, " +
         std::to_string(plan.bytes_total) + " in all\n";
}

/// Returns the request body: {"version": 12} or {"version": "newest"}.
Result<std::string> requestBody(const std::string& version) {
  if (version == kNewest) return nlohmann::json{{"version", kNewest}}.dump();
  std::uint64_t number = 0;
  const auto [end, status] =
      std::from_chars(version.data(), version.data() + version.size(), number);
  if (status != std::errc() || end != version.data() + version.size() || number == 0) {
    return Error{ErrorKind::kInvalidArgument, "'" + version + "' is not a version",
                 "write a number above zero, or newest"};
  }
  return nlohmann::json{{"version", number}}.dump();
}

ExitCode fail(const Error& error, Streams streams) {
  streams.error << "coursepond plan: " << describe(error) << "\n";
  return exitCodeOf(error);
}

void printRefusal(const ApiAnswer& answer, const Error& refusal, Streams streams) {
  streams.error << "coursepond plan: " << describe(refusal) << "\n";
  for (const MistakeDocument& mistake : parseMistakes(answer.body)) {
    streams.error << "  " << mistake.path << ": " << mistake.message
                  << " (remedy: " << mistake.remedy << ")\n";
  }
}

ExitCode run(const Arguments& arguments, Streams streams) {
  cxxopts::Options options("coursepond plan",
                           "Shows what confirming a published version would change, and stages it");
  addApiOptions(options);
  options.add_options()("version", "The published version, a number or newest",
                        cxxopts::value<std::string>()->default_value(kNewest), "N");
  const cxxopts::ParseResult parsed = parseArguments(options, arguments);
  if (helpWasPrinted(parsed, options, kExamples, streams.out)) return ExitCode::kOk;

  const Result<std::string> body = requestBody(parsed["version"].as<std::string>());
  Result<ApiClient> client = makeApiClient(parsed);
  if (!body || !client) {
    streams.error << "coursepond plan: " << describe(!body ? body.error() : client.error()) << "\n";
    return ExitCode::kUsage;
  }
  const Result<ApiAnswer> answer = client->post("/v1/plans", *body);
  if (!answer) return fail(answer.error(), streams);
  const bool as_json = parsed.count("json") > 0;
  if (as_json) streams.out << prettyJson(answer->body) << "\n";
  if (const std::optional<Error> refusal = refusalOf(*answer)) {
    printRefusal(*answer, *refusal, streams);
    return exitCodeOf(*refusal);
  }
  const Result<PlanDocument> plan = parsePlan(answer->body);
  if (!plan) return fail(plan.error(), streams);
  if (!as_json) streams.out << renderPlan(*plan, parsed["node"].as<std::string>());
  return plan->valid ? ExitCode::kOk : ExitCode::kRefused;
}

}  // namespace

std::string renderPlan(const PlanDocument& plan, const std::string& node) {
  std::string text = "plan " + plan.id.value() + "\n";
  text += "version " + std::to_string(plan.version.value()) + " on top of " +
          (plan.base == Version() ? "nothing" : "version " + std::to_string(plan.base.value())) +
          ", " + plan.status + "\n\n";
  if (!plan.valid) return text + "its content is not on this node: it cannot be confirmed yet\n";
  text += renderChanges(plan) + "\n" + renderZones(plan) + "\n" + renderBytes(plan);
  if (!plan.platform_reached) text += "the platform was not reached: newest version read so far\n";
  if (!plan.zones_missing.empty()) {
    text += "zones that did not answer: " + joined(plan.zones_missing) + "\n";
  }
  return text + "nothing has changed yet; to confirm:\n  coursepond confirm " + plan.id.value() +
         " --wait --node " + node + "\n";
}

Command planCommand() {
  return Command{"plan", "Shows what confirming a published version would change", kExamples, run};
}

}  // namespace coursepond::cli
