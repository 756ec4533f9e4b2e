#include "node/retry_report.h"

#include <array>
#include <cstdio>

namespace coursepond::node {
namespace {

std::string formatOneDecimal(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.1f", value);
  return text.data();
}

/// Formats the repeats since the last report by reason: "server_failed=3 answer_lost=1".
std::string formatRepeatsSince(const proxy::RetryStatistics& reported,
                               const proxy::RetryStatistics& now) {
  std::string text;
  for (std::size_t index = 0; index < proxy::kRepeatReasons; ++index) {
    const std::uint64_t count = now.repeats[index] - reported.repeats[index];
    if (count == 0) continue;
    if (!text.empty()) text += " ";
    text += std::string(proxy::repeatReasonName(static_cast<proxy::RepeatReason>(index))) + "=" +
            std::to_string(count);
  }
  return text;
}

}  // namespace

std::vector<std::vector<runtime::LogField>> RetryReport::next(const proxy::RetryAccounts& retries) {
  std::vector<std::vector<runtime::LogField>> lines;
  for (const auto& [service, account] : retries.all()) {
    proxy::RetryStatistics& reported = last_reported_[service];
    const proxy::RetryStatistics& now = account.statistics;
    const std::string repeats = formatRepeatsSince(reported, now);
    const std::uint64_t denied = now.denied - reported.denied;
    const double calls = now.calls_of_repeats - reported.calls_of_repeats;
    const std::uint64_t runs_denied = now.runs_denied - reported.runs_denied;
    const bool is_unchanged = repeats.empty() && denied == 0 && runs_denied == 0 && calls == 0;
    if (!is_unchanged) {
      lines.push_back(
          {{"service", service.value()},
           {"first_attempts", std::to_string(now.first_attempts - reported.first_attempts)},
           {"repeats", repeats},
           {"given_back", std::to_string(now.given_back - reported.given_back)},
           {"calls_of_repeats", formatOneDecimal(calls)},
           {"denied", std::to_string(denied)},
           {"runs_denied", std::to_string(runs_denied)},
           {"left", formatOneDecimal(account.allowance.left())}});
    }
    reported = now;
  }
  return lines;
}

}  // namespace coursepond::node
