/// coursepond-sim: runs scenarios on a virtual clock and checks all promises during the run.

#include <algorithm>
#include <atomic>
#include <cxxopts.hpp>
#include <iostream>
#include <mutex>
#include <thread>

#include "report_text.h"
#include "simulation.h"

namespace {

using namespace coursepond::simulation;

constexpr int kExitViolation = 1;
constexpr int kExitUsage = 2;

struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t last = 1;
};

struct CommandLine {
  Scenario scenario;
  SeedRange seeds;
  Guard without = Guard::kNone;
  std::string without_name;
  bool json = false;
  bool trace = false;
  unsigned threads = 1;
};

[[noreturn]] void refuse(const std::string& message) {
  std::cerr << message << "\n";
  std::exit(kExitUsage);
}

SeedRange parseSeeds(const std::string& text) {
  const std::size_t dots = text.find("..");
  if (dots == std::string::npos) refuse("--seeds wants A..B, for example 1..1000");
  return {std::stoull(text.substr(0, dots)), std::stoull(text.substr(dots + 2))};
}

std::string scenarioNames() {
  std::string names;
  for (const Scenario& scenario : scenarios()) names += (names.empty() ? "" : "|") + scenario.name;
  return names;
}

std::string guardNames() {
  std::string names;
  for (const GuardName& name : kGuardNames) {
    names += (names.empty() ? "" : "|") + std::string(name.without);
  }
  return names;
}

CommandLine parseCommandLine(int argc, char** argv) {
  cxxopts::Options options("coursepond-sim", "Deterministic simulation of a coursepond mesh.");
  auto add = options.add_options();
  add("scenario", scenarioNames(), cxxopts::value<std::string>()->default_value("everything"));
  add("seed", "the seed of one run", cxxopts::value<std::uint64_t>()->default_value("1"));
  add("seeds", "a range of seeds, A..B", cxxopts::value<std::string>());
  add("without", "leave a safeguard out: " + guardNames(), cxxopts::value<std::string>());
  add("trace", "print every event to the error output");
  add("json", "one JSON object a seed");
  add("threads", "seeds run at a time", cxxopts::value<unsigned>()->default_value("1"));
  add("help", "show this");
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << "\n";
    std::exit(0);
  }
  CommandLine line;
  const Scenario* scenario = findScenario(parsed["scenario"].as<std::string>());
  if (scenario == nullptr) refuse("no such scenario; choose one of " + scenarioNames());
  line.scenario = *scenario;
  const auto seed = parsed["seed"].as<std::uint64_t>();
  line.seeds = {seed, seed};
  if (parsed.count("seeds") > 0) line.seeds = parseSeeds(parsed["seeds"].as<std::string>());
  if (parsed.count("without") > 0) {
    line.without_name = parsed["without"].as<std::string>();
    const std::optional<Guard> guard = findGuard(line.without_name);
    if (!guard) refuse("no such safeguard; choose one of " + guardNames());
    line.without = *guard;
  }
  line.trace = parsed.count("trace") > 0;
  line.json = parsed.count("json") > 0;
  line.threads = std::max(1U, parsed["threads"].as<unsigned>());
  return line;
}

/// Runs the seeds, several in parallel. Reports are printed in the order in which runs end.
class SeedRunner {
 public:
  explicit SeedRunner(const CommandLine& line) : line_(line), next_(line.seeds.first) {}

  int runAll() {
    std::vector<std::jthread> threads;
    for (unsigned index = 0; index < line_.threads; ++index) {
      threads.emplace_back([this] { runSome(); });
    }
    threads.clear();  // Joins them.
    if (line_.seeds.first != line_.seeds.last && !line_.json) std::cout << totals_.text() << "\n";
    return totals_.violations() == 0 ? 0 : kExitViolation;
  }

 private:
  void runSome() {
    for (std::uint64_t seed = next_++; seed <= line_.seeds.last; seed = next_++) {
      RunOptions options;
      options.scenario = line_.scenario;
      options.seed = seed;
      options.without = line_.without;
      if (line_.trace) options.trace_output = &std::cerr;
      print(run(options));
    }
  }

  void print(const RunReport& report) {
    const std::lock_guard lock(mutex_);
    totals_.add(report);
    const RunName name{line_.scenario.name, line_.without_name};
    std::cout << (line_.json ? reportJson(name, report) : reportLine(name, report)) << std::endl;
    if (report.violation && !line_.json) std::cout << violationText(name, report) << std::endl;
  }

  const CommandLine& line_;
  std::atomic<std::uint64_t> next_;
  std::mutex mutex_;
  Totals totals_;
};

}  // namespace

int main(int argc, char** argv) {
  try {
    const CommandLine line = parseCommandLine(argc, argv);
    return SeedRunner(line).runAll();
  } catch (const std::exception& failure) {
    std::cerr << "coursepond-sim: " << failure.what() << "\n";
    return kExitUsage;
  }
}
