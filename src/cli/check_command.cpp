#include "cli/check_command.h"

#include <nlohmann/json.hpp>

#include "cli/options.h"
#include "model/document.h"
#include "runtime/settings.h"

namespace coursepond::cli {
namespace {

constexpr char kExamples[] =
    "  coursepond check node.toml\n"
    "  coursepond check configuration-7.json --json\n";

/// A mistake in a settings file or a configuration document.
struct Finding {
  std::string place;     ///< "line 3, node.zone" or "routes[2].service".
  std::string expected;  ///< May be empty.
  Error error;
};

bool isConfiguration(const std::string& path, const std::string& text) {
  if (path.ends_with(".json")) return true;
  if (path.ends_with(".toml")) return false;
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  return first != std::string::npos && text[first] == '{';
}

std::string placeOf(const runtime::SettingMistake& mistake) {
  if (mistake.line == 0) return mistake.key;
  const std::string line = "line " + std::to_string(mistake.line);
  return mistake.key.empty() ? line : line + ", " + mistake.key;
}

std::vector<Finding> checkSettings(const std::string& text) {
  std::vector<Finding> findings;
  for (const runtime::SettingMistake& mistake : runtime::loadSettings(text, {}).mistakes) {
    findings.push_back(Finding{placeOf(mistake), mistake.expected, mistake.error});
  }
  return findings;
}

std::vector<Finding> checkConfiguration(const std::string& text) {
  std::vector<Finding> findings;
  for (const model::DocumentMistake& mistake : model::checkDocument(text)) {
    findings.push_back(Finding{mistake.path, "", mistake.error});
  }
  return findings;
}

void printText(const std::string& path, const std::vector<Finding>& findings, std::ostream& out) {
  for (const Finding& finding : findings) {
    out << path << ": " << finding.place << ": " << kindName(finding.error.kind) << ": "
        << finding.error.message;
    if (!finding.expected.empty()) out << "; expected " << finding.expected;
    out << " (remedy: " << finding.error.remedy << ")\n";
  }
  if (findings.empty()) {
    out << path << ": no mistakes\n";
  } else {
    out << path << ": " << findings.size() << (findings.size() == 1 ? " mistake\n" : " mistakes\n");
  }
}

void printJson(const std::string& path, const std::vector<Finding>& findings, std::ostream& out) {
  nlohmann::json mistakes = nlohmann::json::array();
  for (const Finding& finding : findings) {
    mistakes.push_back({{"place", finding.place},
                        {"kind", kindName(finding.error.kind)},
                        {"message", finding.error.message},
                        {"expected", finding.expected},
                        {"remedy", finding.error.remedy}});
  }
  const nlohmann::json report = {{"file", path}, {"mistakes", std::move(mistakes)}};
  out << report.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
}

ExitCode run(const Arguments& arguments, Streams streams) {
  cxxopts::Options options("coursepond check",
                           "Lists all mistakes in a settings file (TOML) or a configuration "
                           "document (JSON)");
  options.add_options()("json", "Print JSON")("file", "The file to check",
                                              cxxopts::value<std::string>(), "FILE");
  options.parse_positional({"file"});
  options.positional_help("FILE");
  const cxxopts::ParseResult parsed = parseArguments(options, arguments);
  if (helpWasPrinted(parsed, options, kExamples, streams.out)) return ExitCode::kOk;
  if (parsed.count("file") == 0) {
    streams.error << "coursepond check: no file is specified (remedy: coursepond check FILE)\n";
    return ExitCode::kUsage;
  }
  const auto path = parsed["file"].as<std::string>();
  const Result<std::string> text = readFile(path);
  if (!text) {
    streams.error << "coursepond check: " << describe(text.error()) << "\n";
    return ExitCode::kUsage;
  }
  const std::vector<Finding> findings =
      isConfiguration(path, *text) ? checkConfiguration(*text) : checkSettings(*text);
  const bool as_json = parsed.count("json") > 0;
  as_json ? printJson(path, findings, streams.out) : printText(path, findings, streams.out);
  return findings.empty() ? ExitCode::kOk : ExitCode::kRefused;
}

}  // namespace

Command checkCommand() {
  return Command{"check", "Lists all mistakes in a settings or configuration file", kExamples, run};
}

}  // namespace coursepond::cli
