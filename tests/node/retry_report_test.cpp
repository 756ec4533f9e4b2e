#include "node/retry_report.h"

#include <doctest/doctest.h>

namespace coursepond::node {

using runtime::LogField;

TEST_CASE("a service gets a line when something was repeated or denied, with what is new") {
  const ServiceName stock("stock");
  proxy::RetryAccounts retries({.ratio = 0.5, .burst = 2});
  RetryReport report;
  for (int number = 0; number < 4; ++number) retries.onFirstAttempt(stock);
  CHECK(report.next(retries).empty());

  retries.onFirstAttempt(stock);
  CHECK(retries.takeRepeat(stock, proxy::RepeatReason::kServerFailed));
  CHECK(retries.takeRepeat(stock, proxy::RepeatReason::kAnswerLost));
  CHECK_FALSE(retries.takeRepeat(stock, proxy::RepeatReason::kAnswerLost));
  const auto lines = report.next(retries);
  REQUIRE(lines.size() == 1);
  CHECK(lines[0] == std::vector<LogField>{{"service", "stock"},
                                          {"first_attempts", "1"},
                                          {"repeats", "server_failed=1 answer_lost=1"},
                                          {"calls_of_repeats", "0.0"},
                                          {"denied", "1"},
                                          {"left", "0.0"}});
  CHECK(report.next(retries).empty());
}

TEST_CASE("calls of runs that are repeats are told for the called service") {
  proxy::RetryAccounts retries;
  retries.onRunStarted(0);
  retries.onCall(ServiceName("prices"));
  retries.onRunStarted(1);
  RetryReport report;
  const auto lines = report.next(retries);
  REQUIRE(lines.size() == 1);
  CHECK(lines[0][0] == LogField{"service", "prices"});
  CHECK(lines[0][3] == LogField{"calls_of_repeats", "0.5"});
}

}  // namespace coursepond::node
