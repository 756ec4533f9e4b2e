#include "cli/status_command.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "cli/api_client.h"
#include "cli/options.h"
#include "node/text_table.h"

namespace coursepond::cli {
namespace {

constexpr char kStatusExamples[] =
    "  coursepond status --node 10.0.0.7:9090 --token-file operator.token\n";
constexpr char kProxiesExamples[] =
    "  coursepond proxies --node 10.0.0.7:9090 --token-file operator.token --behind\n"
    "  coursepond proxies --node 10.0.0.7:9090 --token-file operator.token --zone b --json\n";

std::string formatVersion(Version version) {
  return version == Version() ? "none" : std::to_string(version.value());
}

std::string formatVersions(const std::vector<VersionCount>& versions) {
  std::string text;
  for (const VersionCount& entry : versions) {
    text += (text.empty() ? "" : ", ") + formatVersion(entry.version) + " (" +
            std::to_string(entry.proxies) + ")";
  }
  return text.empty() ? "-" : text;
}

std::string describeAcceptance(const StatusDocument& status) {
  if (status.accepted == Version()) return "no version is accepted";
  return "accepted version " + formatVersion(status.accepted) + ", " +
         (status.converged ? "in force on every proxy" : "not in force everywhere");
}

std::string firstOr(const std::vector<std::string>& texts, const std::string& otherwise) {
  return texts.empty() ? otherwise : texts.front();
}

ExitCode fail(const std::string& command, const Error& error, Streams streams) {
  streams.error << "coursepond " << command << ": " << describe(error) << "\n";
  return exitCodeOf(error);
}

/// Reads one resource of the API. A refusal is returned as an error.
Result<ApiAnswer> readResource(ApiClient& client, const std::string& target) {
  Result<ApiAnswer> answer = client.get(target);
  if (!answer) return answer;
  if (std::optional<Error> refusal = refusalOf(*answer)) return *refusal;
  return answer;
}

ExitCode runStatus(const Arguments& arguments, Streams streams) {
  cxxopts::Options options("coursepond status",
                           "Shows the accepted version and its rollout progress in each zone");
  addApiOptions(options);
  const cxxopts::ParseResult parsed = parseArguments(options, arguments);
  if (helpWasPrinted(parsed, options, kStatusExamples, streams.out)) return ExitCode::kOk;
  Result<ApiClient> client = makeApiClient(parsed);
  if (!client) {
    fail("status", client.error(), streams);
    return ExitCode::kUsage;
  }
  const Result<ApiAnswer> answer = readResource(*client, "/v1/status");
  if (!answer) return fail("status", answer.error(), streams);
  if (parsed.count("json") > 0) {
    streams.out << prettyJson(answer->body) << "\n";
    return ExitCode::kOk;
  }
  const Result<StatusDocument> status = parseStatus(answer->body);
  if (!status) return fail("status", status.error(), streams);
  streams.out << renderStatus(*status);
  return ExitCode::kOk;
}

/// Selects the proxies to show.
struct ProxyFilter {
  std::string zone;  ///< Empty: all zones.
  bool behind_only = false;
};

ProxyFilter readFilter(const cxxopts::ParseResult& parsed) {
  ProxyFilter filter;
  if (parsed.count("zone") > 0) filter.zone = parsed["zone"].as<std::string>();
  filter.behind_only = parsed.count("behind") > 0;
  return filter;
}

void applyFilter(ProxiesDocument& document, const ProxyFilter& filter) {
  Version newest;
  for (const ProxyDocument& proxy : document.proxies) newest = std::max(newest, proxy.accepted);
  std::erase_if(document.proxies, [&filter, newest](const ProxyDocument& proxy) {
    const bool other_zone = !filter.zone.empty() && proxy.zone.value() != filter.zone;
    return other_zone || (filter.behind_only && proxy.in_force >= newest);
  });
}

std::string proxiesToJson(const ProxiesDocument& document) {
  nlohmann::json list = nlohmann::json::array();
  for (const ProxyDocument& proxy : document.proxies) {
    list.push_back({{"node", proxy.node.value()},
                    {"zone", proxy.zone.value()},
                    {"in_force", proxy.in_force.value()},
                    {"accepted", proxy.accepted.value()},
                    {"staged", proxy.staged.value()},
                    {"last_error", proxy.last_error}});
  }
  const nlohmann::json body = {{"proxies", std::move(list)},
                               {"zones_missing", document.zones_missing}};
  return prettyJson(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

ExitCode runProxies(const Arguments& arguments, Streams streams) {
  cxxopts::Options options("coursepond proxies", "Lists the version each proxy holds");
  addApiOptions(options);
  options.add_options()("zone", "Only proxies of this zone", cxxopts::value<std::string>(), "ZONE")(
      "behind", "Only proxies without the newest accepted version");
  const cxxopts::ParseResult parsed = parseArguments(options, arguments);
  if (helpWasPrinted(parsed, options, kProxiesExamples, streams.out)) return ExitCode::kOk;
  Result<ApiClient> client = makeApiClient(parsed);
  if (!client) {
    fail("proxies", client.error(), streams);
    return ExitCode::kUsage;
  }
  const Result<ApiAnswer> answer = readResource(*client, "/v1/proxies");
  if (!answer) return fail("proxies", answer.error(), streams);
  Result<ProxiesDocument> proxies = parseProxies(answer->body);
  if (!proxies) return fail("proxies", proxies.error(), streams);
  applyFilter(*proxies, readFilter(parsed));
  streams.out << (parsed.count("json") > 0 ? proxiesToJson(*proxies) + "\n"
                                           : renderProxies(*proxies));
  return ExitCode::kOk;
}

}  // namespace

std::string renderStatus(const StatusDocument& status) {
  std::string text = describeAcceptance(status) + "\nnode " + status.node.value() + " of zone " +
                     status.zone.value() + ": " + (status.ready ? "ready" : "not ready") +
                     ", in force " + formatVersion(status.in_force) + ", newest staged " +
                     formatVersion(status.staged) + "\n\n";
  node::TextTable table({"ZONE", "NODES", "REACHABLE", "ANSWERED", "CURRENT", "BEHIND",
                         "IN FORCE (PROXIES)", "ERROR"});
  for (const StatusZone& zone : status.zones) {
    table.addRow({zone.zone.value(), std::to_string(zone.nodes), zone.reachable ? "yes" : "NO",
                  zone.answered ? "yes" : "NO", std::to_string(zone.current),
                  std::to_string(zone.behind), formatVersions(zone.versions),
                  firstOr(zone.errors, "-")});
  }
  return text + table.render();
}

std::string renderProxies(const ProxiesDocument& proxies) {
  node::TextTable table({"NODE", "ZONE", "IN FORCE", "ACCEPTED", "STAGED", "LAST ERROR"});
  for (const ProxyDocument& proxy : proxies.proxies) {
    table.addRow({proxy.node.value(), proxy.zone.value(), formatVersion(proxy.in_force),
                  formatVersion(proxy.accepted), formatVersion(proxy.staged),
                  proxy.last_error.empty() ? "-" : proxy.last_error});
  }
  std::string text = table.render();
  for (const std::string& zone : proxies.zones_missing) {
    text += "zone " + zone + " did not answer\n";
  }
  return text;
}

Command statusCommand() {
  return Command{"status", "Shows the accepted version and the state of each zone", kStatusExamples,
                 runStatus};
}

Command proxiesCommand() {
  return Command{"proxies", "Lists the version each proxy holds", kProxiesExamples, runProxies};
}

}  // namespace coursepond::cli
