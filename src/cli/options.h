#pragma once

/// Parses the flags of a command with cxxopts, including --help.

#include <cxxopts.hpp>
#include <optional>
#include <string>

#include "cli/command.h"
#include "core/error.h"

namespace coursepond::cli {

/// Adds --help and parses. Throws cxxopts exceptions on invalid flags.
cxxopts::ParseResult parseArguments(cxxopts::Options& options, const Arguments& arguments);

/// Prints the help and the examples if --help was given. If it returns true, the command is done.
bool helpWasPrinted(const cxxopts::ParseResult& parsed, const cxxopts::Options& options,
                    const std::string& examples, std::ostream& out);

/// Returns the content of the file, or kNotFound.
Result<std::string> readFile(const std::string& path);

}  // namespace coursepond::cli
