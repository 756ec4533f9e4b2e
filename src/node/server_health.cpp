#include "node/server_health.h"

#include <algorithm>
#include <charconv>

namespace coursepond::node {
namespace {

/// A later answer would describe an outdated state.
constexpr Duration kHealthTimeout = std::chrono::milliseconds(600);
/// Only the head of an answer is used.
constexpr std::uint64_t kMaxHealthBytes = std::uint64_t{256} * 1024;

std::optional<Duration> parseMilliseconds(std::string_view text) {
  double milliseconds = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, status] = std::from_chars(text.data(), end, milliseconds);
  const bool is_time = status == std::errc() && rest == end && milliseconds >= 0;
  if (!is_time) return std::nullopt;
  constexpr double kMaxMilliseconds = 3'600'000;
  return Duration(static_cast<Duration::rep>(std::min(milliseconds, kMaxMilliseconds) * 1000));
}

}  // namespace

std::optional<ingress::ServerHealth> healthOf(const runtime::HttpClientResponse& response,
                                              const runtime::HeaderNames& names) {
  if (runtime::findHeader(response.headers, names.not_run)) return std::nullopt;
  const auto instance = runtime::findHeader(response.headers, names.instance);
  if (!instance || instance->empty()) return std::nullopt;
  ingress::ServerHealth health;
  health.instance = *instance;
  if (const auto cold = runtime::findHeader(response.headers, names.cold_left)) {
    const std::optional<Duration> left = parseMilliseconds(*cold);
    if (!left) return std::nullopt;
    health.cold_left = *left;
  }
  health.said_leaving = runtime::findHeader(response.headers, names.draining) == "1";
  if (const auto limit = runtime::findHeader(response.headers, names.server_limit)) {
    health.limit = proxy::readLimit(*limit);
  }
  return health;
}

runtime::HttpClientLimits ServerHealthClient::limits() {
  runtime::HttpClientLimits limits;
  limits.body_bytes = kMaxHealthBytes;
  return limits;
}

void ServerHealthClient::fetch(Callback callback) {
  if (path_.empty()) return;
  runtime::HttpClientRequest request;
  request.target = path_;
  client_.request(
      server_, std::move(request), kHealthTimeout,
      [this, callback = std::move(callback)](const Result<runtime::HttpClientResponse>& response) {
        if (!response) return;
        if (const auto health = healthOf(*response, names_)) callback(*health);
      });
}

}  // namespace coursepond::node
