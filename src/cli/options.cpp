#include "cli/options.h"

#include <fstream>
#include <sstream>

namespace coursepond::cli {

cxxopts::ParseResult parseArguments(cxxopts::Options& options, const Arguments& arguments) {
  options.add_options()("h,help", "Show this help");
  std::vector<const char*> words = {"coursepond"};
  for (const std::string& argument : arguments) words.push_back(argument.c_str());
  cxxopts::ParseResult parsed = options.parse(static_cast<int>(words.size()), words.data());
  if (!parsed.unmatched().empty()) {
    throw cxxopts::exceptions::no_such_option(parsed.unmatched().front());
  }
  return parsed;
}

bool helpWasPrinted(const cxxopts::ParseResult& parsed, const cxxopts::Options& options,
                    const std::string& examples, std::ostream& out) {
  if (parsed.count("help") == 0) return false;
  out << options.help() << "\nExamples:\n" << examples;
  return true;
}

Result<std::string> readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file.good() && !file.eof()) {
    return Error{ErrorKind::kNotFound, "cannot read '" + path + "'",
                 "pass a file that exists and is readable"};
  }
  return text.str();
}

}  // namespace coursepond::cli
