#include "node/retry_report.h"

#include <doctest/doctest.h>

#include "support/virtual_environment.h"

namespace coursepond::node {

using proxy::RepeatReason;
using proxy::RetryBudgetUse;
using runtime::LogField;

TEST_CASE("a service is reported when requests were repeated or denied, with the changes since") {
  const ServiceName stock("stock");
  proxy::VirtualEnvironment environment;
  proxy::RetryAccounts retries(environment, {.ratio = 0.5, .burst = 2});
  retries.setNodes(1);
  RetryReport report;
  for (int number = 0; number < 4; ++number) retries.onFirstAttempt(stock, "r");
  CHECK(report.next(retries).empty());

  retries.onFirstAttempt(stock, "r");
  CHECK(retries.spendRepeat(stock, RepeatReason::kServerFailed, RetryBudgetUse::kAll));
  CHECK(retries.spendRepeat(stock, RepeatReason::kAnswerLost, RetryBudgetUse::kAll));
  CHECK_FALSE(retries.spendRepeat(stock, RepeatReason::kAnswerLost, RetryBudgetUse::kAll));
  retries.refundRepeat(stock);
  const auto lines = report.next(retries);
  REQUIRE(lines.size() == 1);
  CHECK(lines[0] == std::vector<LogField>{{"service", "stock"},
                                          {"first_attempts", "1"},
                                          {"repeats", "server_failed=1 answer_lost=1"},
                                          {"given_back", "1"},
                                          {"calls_of_repeats", "0.0"},
                                          {"denied", "1"},
                                          {"runs_denied", "0"},
                                          {"left", "1.0"}});
  CHECK(report.next(retries).empty());
}

TEST_CASE("calls made by repeated runs are reported for the called service") {
  proxy::VirtualEnvironment environment;
  proxy::RetryAccounts retries(environment);
  proxy::ServerRun run{.request = "r1", .repeat_share = 1};
  REQUIRE(retries.admit(run));
  retries.onStarted(run);
  retries.onFirstAttempt(ServiceName("prices"), "r1.1");
  retries.remove(run);
  RetryReport report;
  const auto lines = report.next(retries);
  REQUIRE(lines.size() == 1);
  CHECK(lines[0][0] == LogField{"service", "prices"});
  CHECK(lines[0][4] == LogField{"calls_of_repeats", "1.0"});
}

}  // namespace coursepond::node
