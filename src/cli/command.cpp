#include "cli/command.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <exception>

#include "cli/check_command.h"
#include "cli/confirm_command.h"
#include "cli/explain_command.h"
#include "cli/node_command.h"
#include "cli/plan_command.h"
#include "cli/status_command.h"
#include "cli/version_command.h"

namespace coursepond::cli {
namespace {

constexpr std::size_t kNameWidth = 10;

void printHelp(std::ostream& out) {
  out << "coursepond: configuration distribution for a service mesh\n\n"
         "Usage: coursepond COMMAND [options]\n\nCommands:\n";
  for (const Command& command : commands()) {
    std::string name = command.name;
    name.resize(std::max(kNameWidth, name.size()), ' ');
    out << "  " << name << command.summary << "\n";
  }
  out << "\nExamples:\n";
  for (const Command& command : commands()) out << command.examples;
  out << "\n`coursepond COMMAND --help` lists a command's options.\n"
         "Exit codes: 0 done, 1 refused or mistakes found, 2 wrong usage or settings,\n"
         "3 unreachable or cannot listen, 4 outcome unknown, 5 requests cut at a stop,\n"
         "6 not in force everywhere in time.\n";
}

const Command* findCommand(const std::string& name) {
  for (const Command& command : commands()) {
    if (command.name == name) return &command;
  }
  return nullptr;
}

}  // namespace

const std::vector<Command>& commands() {
  static const std::vector<Command> all = {nodeCommand(),    checkCommand(),  planCommand(),
                                           confirmCommand(), statusCommand(), proxiesCommand(),
                                           explainCommand(), versionCommand()};
  return all;
}

ExitCode runCommandLine(const Arguments& arguments, Streams streams) {
  if (arguments.empty()) {
    printHelp(streams.error);
    return ExitCode::kUsage;
  }
  const std::string& name = arguments.front();
  if (name == "--help" || name == "-h" || name == "help") {
    printHelp(streams.out);
    return ExitCode::kOk;
  }
  const Command* command = name == "--version" ? findCommand("version") : findCommand(name);
  if (command == nullptr) {
    streams.error << "coursepond: there is no command '" << name
                  << "' (remedy: see coursepond --help)\n";
    return ExitCode::kUsage;
  }
  try {
    return command->run(Arguments(arguments.begin() + 1, arguments.end()), streams);
  } catch (const cxxopts::exceptions::exception& error) {
    streams.error << "coursepond " << name << ": " << error.what() << " (remedy: see coursepond "
                  << name << " --help)\n";
    return ExitCode::kUsage;
  } catch (const std::exception& error) {
    streams.error << "coursepond " << name << ": " << error.what() << "\n";
    return ExitCode::kRefused;
  }
}

}  // namespace coursepond::cli
