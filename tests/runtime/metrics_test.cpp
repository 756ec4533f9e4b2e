#include "runtime/metrics.h"

#include <doctest/doctest.h>

using namespace coursepond::runtime;

TEST_CASE("metrics are read when they are requested, and printed in the text format") {
  double value = 1;
  MetricTable table;
  table.addCounter("things_total", "Things.", [&value] { return value; });
  table.add(Metric{"refused_total", MetricType::kGauge, "Refused.", {"reason"}, [] {
                     return std::vector<MetricSample>{{{{"reason", "x"}}, 2}};
                   }});
  value = 7;
  const std::string text = table.exposition();
  CHECK(text.find("# HELP coursepond_things_total Things.\n") != std::string::npos);
  CHECK(text.find("# TYPE coursepond_things_total counter\n") != std::string::npos);
  CHECK(text.find("coursepond_things_total 7\n") != std::string::npos);
  CHECK(text.find("coursepond_refused_total{reason=\"x\"} 2\n") != std::string::npos);
  CHECK(table.reference().find("| `coursepond_refused_total` | gauge | reason | Refused. |") !=
        std::string::npos);
}
