#include "cli/version_command.h"

#include <nlohmann/json.hpp>

#include "cli/options.h"
#include "runtime/peer_hello.h"

namespace coursepond::cli {
namespace {

constexpr char kProgramVersion[] = "0.1.0";
constexpr char kExamples[] = "  coursepond version --json\n";

ExitCode run(const Arguments& arguments, Streams streams) {
  cxxopts::Options options("coursepond version", "Shows the program's version");
  options.add_options()("json", "Print JSON");
  const cxxopts::ParseResult parsed = parseArguments(options, arguments);
  if (helpWasPrinted(parsed, options, kExamples, streams.out)) return ExitCode::kOk;
  if (parsed.count("json") > 0) {
    const nlohmann::json version = {{"version", kProgramVersion},
                                    {"peer_protocol", runtime::kPeerProtocolVersion}};
    streams.out << version.dump() << "\n";
  } else {
    streams.out << "coursepond " << kProgramVersion << ", peer protocol "
                << runtime::kPeerProtocolVersion << "\n";
  }
  return ExitCode::kOk;
}

}  // namespace

Command versionCommand() {
  return Command{"version", "Shows the program's version", kExamples, run};
}

}  // namespace coursepond::cli
