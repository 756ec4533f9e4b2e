#include "cli/node_command.h"

#include "cli/options.h"
#include "node/node.h"
#include "runtime/settings.h"

namespace coursepond::cli {
namespace {

constexpr char kExamples[] =
    "  coursepond node --config /etc/coursepond.toml\n"
    "  coursepond node --config node.toml --set node.id=a7 --set node.zone=a --print-settings\n";

void printMistakes(const std::string& source, const std::vector<runtime::SettingMistake>& mistakes,
                   std::ostream& error) {
  for (const runtime::SettingMistake& mistake : mistakes) {
    error << source << ": " << describe(mistake) << "\n";
  }
}

Result<std::vector<runtime::SettingOverride>> readOverrides(const cxxopts::ParseResult& parsed) {
  std::vector<runtime::SettingOverride> overrides;
  if (parsed.count("set") == 0) return overrides;
  for (const std::string& text : parsed["set"].as<std::vector<std::string>>()) {
    const Result<runtime::SettingOverride> setting = runtime::parseOverride(text);
    if (!setting) return setting.error();
    overrides.push_back(*setting);
  }
  return overrides;
}

/// Returns an empty text if there is no settings file: then all settings come from flags.
Result<std::string> readSettingsFile(const cxxopts::ParseResult& parsed) {
  if (parsed.count("config") == 0) return std::string();
  return readFile(parsed["config"].as<std::string>());
}

/// Describes the settings file, for detecting changes to it. `text` is its content at startup.
/// Flags still override the file after a change.
node::SettingsFile settingsFile(const cxxopts::ParseResult& parsed, std::string text,
                                const std::vector<runtime::SettingOverride>& overrides) {
  if (parsed.count("config") == 0) return {};
  const auto path = parsed["config"].as<std::string>();
  return {std::move(text), [path] { return readFile(path); },
          [overrides](const std::string& text) { return runtime::loadSettings(text, overrides); }};
}

ExitCode run(const Arguments& arguments, Streams streams, const node::Extensions& extensions) {
  cxxopts::Options options("coursepond node", "Runs one node until SIGTERM or SIGINT");
  options.add_options()("c,config", "Settings file (TOML)", cxxopts::value<std::string>(), "FILE")(
      "s,set", "Override one setting; may be repeated", cxxopts::value<std::vector<std::string>>(),
      "SECTION.KEY=VALUE")("print-settings",
                           "Show the settings in force, without secrets, and exit");
  const cxxopts::ParseResult parsed = parseArguments(options, arguments);
  if (helpWasPrinted(parsed, options, kExamples, streams.out)) return ExitCode::kOk;

  const Result<std::string> file = readSettingsFile(parsed);
  if (!file) {
    streams.error << "coursepond node: " << describe(file.error()) << "\n";
    return ExitCode::kUsage;
  }
  const Result<std::vector<runtime::SettingOverride>> overrides = readOverrides(parsed);
  if (!overrides) {
    streams.error << "coursepond node: --set: " << describe(overrides.error()) << "\n";
    return ExitCode::kUsage;
  }
  const runtime::SettingsOutcome outcome = runtime::loadSettings(*file, *overrides);
  if (!outcome.mistakes.empty()) {
    const bool has_file = parsed.count("config") > 0;
    printMistakes(has_file ? parsed["config"].as<std::string>() : "settings", outcome.mistakes,
                  streams.error);
    return ExitCode::kUsage;
  }
  if (parsed.count("print-settings") > 0) {
    streams.out << runtime::printSettings(outcome.settings);
    return ExitCode::kOk;
  }
  return node::runNode(outcome.settings, extensions, settingsFile(parsed, *file, *overrides));
}

}  // namespace

Command nodeCommand(const node::Extensions& extensions) {
  return Command{"node", "Runs one node: a proxy and its part of the control plane", kExamples,
                 [extensions](const Arguments& arguments, Streams streams) {
                   return run(arguments, streams, extensions);
                 }};
}

}  // namespace coursepond::cli
