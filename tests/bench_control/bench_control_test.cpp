// Small runs of the control bench: coursepond meets its targets, and equal runs give equal results.

#include <doctest/doctest.h>

#include "runner.h"

namespace coursepond::bench {
namespace {

constexpr double kMaxBytesPerChange = 2000;
constexpr double kMaxIdleBytesPerSecond = 2000;

WorkPlan shortPlan() {
  WorkPlan plan;
  plan.warm_up = std::chrono::seconds(30);
  plan.idle = std::chrono::seconds(10);
  plan.changes = 2;
  plan.churn = std::chrono::seconds(5);
  return plan;
}

void checkComplete(const Figures& figures) {
  CHECK(figures.started_in_time);
  CHECK(figures.missing == 0);
  CHECK(figures.churn_missing == 0);
  CHECK(figures.convergence.count() == std::size_t{2} * figures.nodes);
}

}  // namespace

TEST_CASE("coursepond meets the targets of the control path in a small mesh") {
  const Figures figures = runWork(SystemKind::kCoursepond, freight(12), shortPlan(), 3);
  checkComplete(figures);
  CHECK(figures.convergence.percentile(0.99) < 1000);
  CHECK(figures.perChangeAndNode() < kMaxBytesPerChange);
  CHECK(figures.idlePerNodeSecond() < kMaxIdleBytesPerSecond);
  CHECK(figures.source_reads < 6);
}

TEST_CASE("both baselines distribute every change in time") {
  checkComplete(runWork(SystemKind::kPolling, freight(12), shortPlan(), 3));
  checkComplete(runWork(SystemKind::kPushing, freight(12), shortPlan(), 3));
}

TEST_CASE("two runs with the same seed give the same results") {
  const Figures first = runWork(SystemKind::kCoursepond, freight(6), shortPlan(), 9);
  const Figures second = runWork(SystemKind::kCoursepond, freight(6), shortPlan(), 9);
  CHECK(tableRow(first) == tableRow(second));
}

TEST_CASE("percentiles are computed from the sorted delays") {
  Delays delays;
  for (const int milliseconds : {30, 10, 20}) delays.add(std::chrono::milliseconds(milliseconds));
  CHECK(delays.percentile(0) == 10);
  CHECK(delays.percentile(0.5) == 20);
  CHECK(delays.percentile(1) == 30);
  CHECK(Delays().percentile(0.5) == 0);
}

}  // namespace coursepond::bench
