#pragma once

/// The commands of the `coursepond` program.

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "node/exit_code.h"

namespace coursepond::cli {

using node::ExitCode;

/// Output streams of a command: results go to `out`, errors and progress to `error`.
struct Streams {
  std::ostream& out;
  std::ostream& error;
};

/// Command line arguments without the program's name.
using Arguments = std::vector<std::string>;

struct Command {
  std::string name;
  std::string summary;   ///< One line.
  std::string examples;  ///< Complete command lines, one per line.
  /// Runs the command with the arguments after its name.
  std::function<ExitCode(const Arguments&, Streams)> run;
};

/// All commands, in the order of the help text.
const std::vector<Command>& commands();

/// Runs the command given by `arguments` (without the program's name). Never throws.
ExitCode runCommandLine(const Arguments& arguments, Streams streams);

}  // namespace coursepond::cli
