/// coursepond-load: sends open-loop load to nodes or back ends and checks the answers against the
/// journals of the back ends.

#include <unistd.h>

#include <chrono>
#include <cxxopts.hpp>
#include <iostream>

#include "journal_reader.h"
#include "load_run.h"
#include "report.h"
#include "verification.h"

namespace coursepond::load {

namespace {

/// Exit statuses other than EXIT_SUCCESS.
constexpr int kViolationStatus = 1;
constexpr int kUsageStatus = 2;

struct ProgramOptions {
  LoadOptions load;
  JournalSources journals;
  Duration journal_delay{};
  bool json = false;
};

cxxopts::Options describeFlags() {
  cxxopts::Options options("coursepond-load", "Open-loop HTTP load with answers checked");
  auto add = options.add_options();
  add("targets", "IP:PORT,... that get the requests in turn",
      cxxopts::value<std::vector<std::string>>());
  add("request", "\"WEIGHT METHOD HOST TARGET [once]\", repeated for a mix",
      cxxopts::value<std::vector<std::string>>());
  add("rate", "Requests per second", cxxopts::value<double>()->default_value("100"));
  add("duration-ms", "How long to send", cxxopts::value<std::int64_t>()->default_value("10000"));
  add("connections", "At most, per target and thread",
      cxxopts::value<std::size_t>()->default_value("32"));
  add("threads", "Sending threads", cxxopts::value<unsigned>()->default_value("1"));
  add("deadline-ms", "Told to the targets; 0 for none",
      cxxopts::value<std::int64_t>()->default_value("0"));
  add("timeout-ms", "When a request is given up",
      cxxopts::value<std::int64_t>()->default_value("10000"));
  add("answer-bytes", "Size of answers whose target names none",
      cxxopts::value<std::size_t>()->default_value("200"));
  add("id-prefix", "Begins each request id; default: unique to the run",
      cxxopts::value<std::string>()->default_value(""));
  add("backends", "IP:PORT,... whose journals are checked",
      cxxopts::value<std::vector<std::string>>());
  add("journal-file", "Journal files to be checked, also of killed back ends",
      cxxopts::value<std::vector<std::string>>());
  add("journal-delay-ms", "Wait before journals are read",
      cxxopts::value<std::int64_t>()->default_value("200"));
  add("json", "Report as JSON");
  add("help", "This text");
  return options;
}

std::vector<std::string> readList(const cxxopts::ParseResult& flags, const char* name) {
  if (flags.count(name) == 0) return {};
  return flags[name].as<std::vector<std::string>>();
}

Result<std::vector<Address>> readAddresses(const cxxopts::ParseResult& flags, const char* name) {
  std::vector<Address> addresses;
  for (const std::string& text : readList(flags, name)) {
    const Result<Address> address = parseAddress(text);
    if (!address) return address.error();
    addresses.push_back(*address);
  }
  return addresses;
}

Duration readDuration(const cxxopts::ParseResult& flags, const char* name) {
  return std::chrono::milliseconds(flags[name].as<std::int64_t>());
}

/// Returns a request id prefix that is unique among the runs on this machine.
std::string makeIdPrefix() {
  const auto now = std::chrono::system_clock::now().time_since_epoch().count();
  return "load-" + std::to_string(::getpid()) + "-" + std::to_string(now);
}

Result<std::vector<RequestKind>> readKinds(const cxxopts::ParseResult& flags) {
  std::vector<RequestKind> kinds;
  for (const std::string& text : readList(flags, "request")) {
    Result<RequestKind> kind = parseRequestKind(text, flags["answer-bytes"].as<std::size_t>());
    if (!kind) return kind.error();
    if (kind->weight > 0) kinds.push_back(std::move(*kind));
  }
  return kinds;
}

Result<ProgramOptions> readOptions(const cxxopts::ParseResult& flags) {
  ProgramOptions options;
  const Result<std::vector<Address>> targets = readAddresses(flags, "targets");
  if (!targets) return targets.error();
  const Result<std::vector<Address>> back_ends = readAddresses(flags, "backends");
  if (!back_ends) return back_ends.error();
  const Result<std::vector<RequestKind>> kinds = readKinds(flags);
  if (!kinds) return kinds.error();
  if (targets->empty() || kinds->empty()) {
    return Error{ErrorKind::kInvalidArgument, "no targets or no requests with a weight above zero",
                 "pass --targets and --request"};
  }
  options.load.targets = *targets;
  options.load.kinds = *kinds;
  options.load.rate = flags["rate"].as<double>();
  options.load.duration = readDuration(flags, "duration-ms");
  options.load.connections_per_target = flags["connections"].as<std::size_t>();
  options.load.deadline = readDuration(flags, "deadline-ms");
  options.load.timeout = readDuration(flags, "timeout-ms");
  options.load.threads = std::max(1U, flags["threads"].as<unsigned>());
  options.load.id_prefix = flags["id-prefix"].as<std::string>();
  if (options.load.id_prefix.empty()) options.load.id_prefix = makeIdPrefix();
  options.journals = {*back_ends, readList(flags, "journal-file")};
  options.journal_delay = readDuration(flags, "journal-delay-ms");
  options.json = flags.count("json") > 0;
  return options;
}

int runAndReport(const ProgramOptions& options) {
  const RunResult result = runLoad(options.load);
  const bool check_journals = !options.journals.empty();
  standin::JournalEntries entries;
  if (check_journals) {
    ::usleep(static_cast<useconds_t>(options.journal_delay.count()));
    Result<standin::JournalEntries> journals = readJournals(options.journals);
    if (!journals) {
      std::cerr << describe(journals.error()) << '\n';
      return kViolationStatus;
    }
    entries = std::move(*journals);
  }
  const Verification verification =
      verify(result, options.load.id_prefix, check_journals ? &entries : nullptr);
  const auto format = options.json ? formatJsonReport : formatReport;
  std::cout << format(result, verification, check_journals) << std::flush;
  return verification.violations() == 0 ? EXIT_SUCCESS : kViolationStatus;
}

int runProgram(int argc, char** argv) {
  cxxopts::Options description = describeFlags();
  const cxxopts::ParseResult flags = description.parse(argc, argv);
  if (flags.count("help") > 0) {
    std::cout << description.help();
    return EXIT_SUCCESS;
  }
  const Result<ProgramOptions> options = readOptions(flags);
  if (!options) {
    std::cerr << describe(options.error()) << '\n';
    return kUsageStatus;
  }
  return runAndReport(*options);
}

}  // namespace

}  // namespace coursepond::load

int main(int argc, char** argv) {
  try {
    return coursepond::load::runProgram(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "coursepond-load: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
