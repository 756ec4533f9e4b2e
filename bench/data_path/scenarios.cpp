#include "scenarios.h"

namespace coursepond::data_path {
namespace {

using std::chrono::seconds;

/// Cost tolerance so large that the first of two random servers is always chosen.
constexpr double kNoPreference = 1e12;
/// Retry budget that no run can exhaust.
constexpr std::uint32_t kUnboundedPercent = 1'000'000;

ServerChange change(Duration at, std::size_t server, std::function<void(ServerShape&)> apply) {
  return {at, [server, apply = std::move(apply)](Servers& servers) {
            apply(servers[server]->shape());
          }};
}

ServerChange changeAll(Duration at, std::function<void(ServerShape&)> apply) {
  return {at, [apply = std::move(apply)](Servers& servers) {
            for (const auto& server : servers) apply(server->shape());
          }};
}

Scenario scenario(std::string name, double load) {
  Scenario scenario;
  scenario.name = std::move(name);
  scenario.load = load;
  return scenario;
}

Scenario retryStorm(std::string name, std::uint32_t budget_percent) {
  Scenario storm = scenario(std::move(name), 0.75);
  storm.retry_budget_percent = budget_percent;
  storm.changes = {
      changeAll(seconds(7), [](ServerShape& shape) { shape.lost_answers = 0.5; }),
      changeAll(seconds(12), [](ServerShape& shape) { shape.lost_answers = 0; }),
  };
  return storm;
}

}  // namespace

std::vector<Policy> policies() {
  const double slots = ServerShape().slots;
  Policy random{"random, no limit search", {}};
  random.settings.balancer.cost_tolerance = kNoPreference;
  random.settings.concurrency.min_limit = slots;
  Policy two_choices{"two choices, no limit search", {}};
  two_choices.settings.concurrency.min_limit = slots;
  Policy no_reports{"two choices and limit search, reports unused", {}};
  no_reports.settings.concurrency.full_report_load = 2;
  return {random, two_choices, no_reports, Policy{"two choices and limit search (default)", {}}};
}

std::vector<Scenario> balancingScenarios() {
  std::vector<Scenario> scenarios;
  scenarios.push_back(scenario("70 % load", 0.7));
  scenarios.push_back(scenario("90 % load", 0.9));
  scenarios.push_back(scenario("130 % load", 1.3));

  Scenario uneven = scenario("80 % load, half of it on one node", 0.8);
  uneven.busiest_node_fraction = 0.5;
  scenarios.push_back(uneven);

  Scenario slow = scenario("50 % load, one server 5 times slower", 0.5);
  slow.changes = {change(seconds(1), 0, [](ServerShape& shape) { shape.slowness = 5; })};
  scenarios.push_back(slow);

  Scenario outside = scenario("40 % load, one server has 8 of 10 slots taken by others", 0.4);
  outside.changes = {change(seconds(0), 0, [](ServerShape& shape) { shape.taken_slots = 8; })};
  scenarios.push_back(outside);

  Scenario lagging = scenario("70 % load, reports a second late", 0.7);
  lagging.changes = {
      changeAll(seconds(0), [](ServerShape& shape) { shape.report = ReportKind::kLagging; })};
  scenarios.push_back(lagging);

  Scenario lying =
      scenario("50 % load, a 5 times slower server claims to be idle, another full", 0.5);
  lying.changes = {
      change(seconds(0), 0,
             [](ServerShape& shape) {
               shape.slowness = 5;
               shape.report = ReportKind::kAlwaysIdle;
             }),
      change(seconds(0), 1, [](ServerShape& shape) { shape.report = ReportKind::kAlwaysFull; })};
  scenarios.push_back(lying);
  return scenarios;
}

std::vector<Scenario> retryScenarios() {
  return {retryStorm("75 % load, half the answers lost for 5 s, budget 20 %", 20),
          retryStorm("the same without a budget", kUnboundedPercent),
          retryStorm("the same without retries", 0)};
}

}  // namespace coursepond::data_path
