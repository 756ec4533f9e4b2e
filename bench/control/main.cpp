// Measures how fast and at what cost configuration reaches every proxy: compares coursepond with
// two baselines on the same workload. See docs/MEASUREMENTS.md, "Control path".

#include <cstdio>
#include <cxxopts.hpp>
#include <string>
#include <vector>

#include "figures.h"
#include "runner.h"

namespace {

using namespace coursepond::bench;

struct Options {
  std::vector<std::string> shapes;
  std::vector<std::string> nodes;
  std::vector<std::string> ways;
  std::string routes;
  std::string seed;
};

Options readOptions(int argc, char** argv) {
  cxxopts::Options parser("coursepond-bench-control", "Convergence time and control bytes.");
  parser.add_options()(
      "shapes", "magnolia,freight",
      cxxopts::value<std::vector<std::string>>()->default_value("magnolia,freight"))(
      "nodes", "numbers of nodes",
      cxxopts::value<std::vector<std::string>>()->default_value("20,100,500"))(
      "ways", "coursepond,polling,pushing",
      cxxopts::value<std::vector<std::string>>()->default_value("coursepond,polling,pushing"))(
      "routes", "routes of the configuration", cxxopts::value<std::string>()->default_value("120"))(
      "seed", "of the run", cxxopts::value<std::string>()->default_value("1"));
  const cxxopts::ParseResult parsed = parser.parse(argc, argv);
  return {parsed["shapes"].as<std::vector<std::string>>(),
          parsed["nodes"].as<std::vector<std::string>>(),
          parsed["ways"].as<std::vector<std::string>>(), parsed["routes"].as<std::string>(),
          parsed["seed"].as<std::string>()};
}

SystemKind systemKindNamed(const std::string& name) {
  if (name == "polling") return SystemKind::kPolling;
  if (name == "pushing") return SystemKind::kPushing;
  return SystemKind::kCoursepond;
}

std::uint32_t numberOf(const std::string& text) {
  return static_cast<std::uint32_t>(std::stoul(text));
}

MeshShape shapeOf(const Options& options, const std::string& name, const std::string& nodes) {
  MeshShape shape = name == "freight" ? freight(numberOf(nodes)) : magnolia(numberOf(nodes));
  shape.routes = numberOf(options.routes);
  return shape;
}

}  // namespace

int main(int argc, char** argv) {
  const Options options = readOptions(argc, argv);
  std::string breakdowns;
  std::fputs(tableHead().c_str(), stdout);
  for (const std::string& shape_name : options.shapes) {
    for (const std::string& nodes : options.nodes) {
      for (const std::string& way : options.ways) {
        const MeshShape shape = shapeOf(options, shape_name, nodes);
        const Figures figures =
            runWork(systemKindNamed(way), shape, WorkPlan(), numberOf(options.seed));
        std::fputs(tableRow(figures).c_str(), stdout);
        std::fflush(stdout);
        if (systemKindNamed(way) == SystemKind::kCoursepond) breakdowns += breakdown(figures);
      }
    }
  }
  std::printf("\n%s", breakdowns.c_str());
  return 0;
}
